"""The agent of one host: what is in force, told to its entries."""

from asyncio import Queue
from functools import singledispatchmethod
from logging import getLogger
from random import Random

from mode import Service

from cowslipmill.agent.feed import Feed
from cowslipmill.agent.messages import DocumentInForce
from cowslipmill.agent.messages import Facts
from cowslipmill.document.checker import decode_document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.hosts.view import View
from cowslipmill.platform.hostlist import HostList
from cowslipmill.platform.watcher import PlatformDown
from cowslipmill.platform.watcher import Published
from cowslipmill.platform.watcher import Report
from cowslipmill.platform.watcher import Watcher
from cowslipmill.settings.settings import AgentSettings

LOG = getLogger(__name__)


class Agent(Service):
    """Takes in what the platform publishes and feeds the entries.

    Attributes:
        settings: Settings of this process.
        view: Facts about hosts and servers.
        version: Version of the document in force; 0 for none.
    """

    def __init__(self, settings: AgentSettings, random: Random) -> None:
        """Makes the parts; nothing starts yet."""
        super().__init__()
        self.settings = settings
        self.view = View()
        self.version = 0
        self.platform_down = False
        self.reports: Queue[Report] = Queue()
        self.watcher = Watcher(settings.platform, self.reports, random)
        self.feed = Feed(settings.feed_listen)

    async def on_start(self) -> None:
        """Starts the watch and the feed."""
        await self.add_runtime_dependency(self.feed)
        await self.add_runtime_dependency(self.watcher)

    @Service.task
    async def take_reports(self) -> None:
        """Takes in one report after the other."""
        while not self.should_stop:
            self.take(await self.reports.get())

    @singledispatchmethod
    def take(self, report: Report) -> None:
        """Takes in one report of the watcher."""
        raise TypeError(f'not a report: {report!r}')

    @take.register
    def take_published(self, report: Published) -> None:
        """Puts a newer document in force."""
        self.platform_down = False
        try:
            document = decode_document(report.raw)
        except InvalidDocument as error:
            LOG.warning('document refused', extra={'reason': str(error)})
            return
        if document.version <= self.version:
            return
        self.version = document.version
        self.watcher.version = document.version
        message = DocumentInForce(version=document.version, raw=report.raw)
        self.feed.publish(message, message)
        LOG.info('document in force', extra={'version': self.version})

    @take.register
    def take_host_list(self, report: HostList) -> None:
        """Merges the host list into the view."""
        self.platform_down = False
        news = self.view.merge(report.hosts)
        if not news:
            return
        whole = Facts(facts=tuple(self.view.facts.values()), age_ms=0)
        self.feed.publish(whole, Facts(facts=tuple(news), age_ms=0))

    @take.register
    def take_platform_down(self, report: PlatformDown) -> None:
        """Goes on with what is in force."""
        if not self.platform_down:
            LOG.warning('platform down', extra={'reason': report.reason})
        self.platform_down = True
