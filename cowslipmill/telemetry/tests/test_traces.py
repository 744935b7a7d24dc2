"""Tests of the spans of a request through real processes."""

from asyncio import sleep
from asyncio import timeout
from collections.abc import AsyncIterator

from aiohttp import ClientSession
from msgspec import json
from msgspec.structs import replace
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network
from cowslipmill.settings.settings import EntrySettings
from cowslipmill.settings.settings import TraceSettings
from cowslipmill.standin.collector import CollectedSpan
from cowslipmill.standin.settings import StandinSettings

BOUND_S = 30.0
POLL_S = 0.1
TRACE = '0af7651916cd43dd8448eb211c80319c'
CALLER_SPAN = 'b7ad6b7169203331'
TRACEPARENT = f'00-{TRACE}-{CALLER_SPAN}-01'


class TracedLayout(Layout):
    """A layout whose entries send every span to the collector."""

    __slots__ = ()

    def entry(self, index: int) -> EntrySettings:
        """Returns the settings of the entry on one host."""
        collector = f'http://{self.network.collector()}'
        traces = TraceSettings(collector=collector, sampled_share=1.0)
        return replace(super().entry(index), traces=traces)


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Starts two hosts and a collector."""
    layout = TracedLayout.example(
        'caroni', Network.for_this_process(), host_count=2
    )
    with Launcher() as launcher:
        settings = StandinSettings(
            name='collector', collector=layout.network.collector()
        )
        launcher.start('standin', 'collector', settings)
        async with ClientSession() as session:
            running = Deployment(layout, launcher, session)
            await running.start()
            yield running


async def collect(deployment: Deployment, count: int) -> list[CollectedSpan]:
    """Polls the collector until it has `count` spans of the test's trace."""
    address = deployment.layout.network.collector()
    url = f'http://{address}/standin/spans'
    async with timeout(BOUND_S):
        while True:
            async with deployment.session.get(url) as response:
                raw = await response.read()
            spans = json.decode(raw, type=list[CollectedSpan])
            found = [span for span in spans if span.trace == TRACE]
            if len(found) >= count:
                return found
            await sleep(POLL_S)


def name_tree(spans: list[CollectedSpan]) -> set[tuple[str, str, str]]:
    """Returns the process, name and parent's name of each span."""
    names = {span.span: span.name for span in spans}
    names[CALLER_SPAN] = 'caller'
    return {
        (span.process, span.name, names.get(span.parent, 'lost'))
        for span in spans
    }


async def test_spans_of_a_request_are_children_of_the_callers_span(
    deployment: Deployment,
) -> None:
    """The spans of choice and attempt are children of the entry's span."""
    address = deployment.layout.entry(0).listen
    url = f'http://{address}/technicians/7/standing'
    headers = {'traceparent': TRACEPARENT}
    async with deployment.session.get(url, headers=headers) as response:
        assert_that(response.status, Equals(200))
    spans = await collect(deployment, 3)
    assert_that(spans, HasLength(3))
    assert_that(
        name_tree(spans),
        Equals(
            {
                ('entry-0', 'request', 'caller'),
                ('entry-0', 'choose', 'request'),
                ('entry-0', 'try', 'request'),
            }
        ),
    )


async def test_spans_of_a_forwarded_request_form_one_trace(
    deployment: Deployment,
) -> None:
    """The spans of both entries and of the call between them are linked."""
    layout = deployment.layout
    first = f'http://{layout.entry(0).listen}/technicians/7/standing'
    async with deployment.session.get(first) as response:
        key = response.headers['Cowslipmill-Next-Key']
    url = f'http://{layout.entry(1).listen}/exams/7/bookings'
    headers = {'traceparent': TRACEPARENT, 'Idempotency-Key': key}
    async with deployment.session.post(url, headers=headers) as response:
        assert_that(response.status, Equals(200))
    assert_that(
        name_tree(await collect(deployment, 5)),
        Equals(
            {
                ('entry-1', 'request', 'caller'),
                ('entry-1', 'pass on', 'request'),
                ('entry-0', 'request passed on', 'pass on'),
                ('entry-0', 'choose', 'request passed on'),
                ('entry-0', 'try', 'request passed on'),
            }
        ),
    )
