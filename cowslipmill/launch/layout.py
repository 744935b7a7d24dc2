"""Settings of every process of a deployment.

The example deployments have the sizes that the requirements give.
"""

from pathlib import Path

from cowslipmill.document.checker import decode_document
from cowslipmill.document.document import Document
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role
from cowslipmill.launch.network import Network
from cowslipmill.publication.hostlist import HostList
from cowslipmill.settings.settings import AgentSettings
from cowslipmill.settings.settings import EntrySettings
from cowslipmill.standin.settings import ServerSettings
from cowslipmill.standin.settings import StandinSettings

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'

FAILURE_DOMAINS = ('domain-a', 'domain-b', 'domain-c')
PEER_KEY = 'loopback-deployments-share-this-peer-key'

SERVER_COUNTS = {
    'caroni': {'registry': 20, 'scheduler': 10, 'credentials': 7},
    'mtatsminda': {'casebook': 20, 'dispatch': 10, 'clerkdesk': 6},
}

ENTRY_PORT = 8080
ENTRY_ADMIN_PORT = 8081
ENTRY_PEER_PORT = 8082
AGENT_PEER_PORT = 8090
AGENT_FEED_PORT = 8091
AGENT_ADMIN_PORT = 8092


class Layout:
    """The hosts, backend servers and settings of a deployment.

    Attributes:
        document: First document that the platform publishes.
        network: Addresses of the processes.
        host_count: Number of entry hosts; each runs one agent and one
            entry.
        servers: Settings of the stand-in backend servers.
    """

    __slots__ = ('document', 'host_count', 'network', 'servers')

    def __init__(
        self,
        document: Document,
        network: Network,
        *,
        host_count: int,
        server_counts: dict[str, int],
        service_ms: float = 10.0,
        seed: int = 1,
    ) -> None:
        """Creates the settings of the stand-in servers."""
        self.document = document
        self.network = network
        self.host_count = host_count
        slots_by_service = {
            service.name: service.slots_per_server
            for service in document.services
        }
        self.servers: list[ServerSettings] = []
        for service, count in server_counts.items():
            for number in range(count):
                index = len(self.servers)
                self.servers.append(
                    ServerSettings(
                        name=f'{service}-{number}',
                        service=service,
                        failure_domain=failure_domain(number),
                        address=network.server(index),
                        slots=slots_by_service[service],
                        service_ms=service_ms,
                        seed=seed * 1_000 + index,
                    )
                )

    @classmethod
    def example(
        cls,
        deployment: str,
        network: Network,
        *,
        host_count: int,
        service_ms: float = 10.0,
        seed: int = 1,
    ) -> 'Layout':
        """Returns the layout of an example deployment.

        Args:
            deployment: `caroni` or `mtatsminda`.
            network: Addresses of the processes.
            host_count: Number of entry hosts.
            service_ms: Mean service time of the stand-in servers.
            seed: Random seed for the service times.
        """
        raw = (EXAMPLES / deployment / 'document.json').read_bytes()
        return cls(
            decode_document(raw),
            network,
            host_count=host_count,
            server_counts=SERVER_COUNTS[deployment],
            service_ms=service_ms,
            seed=seed,
        )

    def host_list(self) -> HostList:
        """Returns the first host list that the platform publishes."""
        hosts = [
            NodeRecord(
                name=f'host-{index}',
                role=Role.ENTRY_HOST,
                address=self.network.host(index, AGENT_PEER_PORT),
                failure_domain=failure_domain(index),
                incarnation=1,
            )
            for index in range(self.host_count)
        ]
        servers = [
            NodeRecord(
                name=server.name,
                role=Role.BACKEND_SERVER,
                address=server.address,
                failure_domain=server.failure_domain,
                incarnation=1,
                service=server.service,
            )
            for server in self.servers
        ]
        return HostList(revision=1, hosts=(*hosts, *servers))

    def agent(self, index: int) -> AgentSettings:
        """Returns the settings of the agent on one host."""
        network = self.network
        return AgentSettings(
            host=f'host-{index}',
            failure_domain=failure_domain(index),
            deployment=self.document.deployment,
            peer_listen=network.host(index, AGENT_PEER_PORT),
            feed_listen=network.host(index, AGENT_FEED_PORT),
            admin_listen=network.host(index, AGENT_ADMIN_PORT),
            platform=f'http://{network.platform()}',
            peer_keys=(PEER_KEY,),
            peers=tuple(
                network.host(other, AGENT_PEER_PORT)
                for other in range(self.host_count)
                if other != index
            ),
        )

    def entry(self, index: int) -> EntrySettings:
        """Returns the settings of the entry on one host."""
        network = self.network
        return EntrySettings(
            name=f'entry-{index}',
            host=f'host-{index}',
            failure_domain=failure_domain(index),
            deployment=self.document.deployment,
            listen=network.host(index, ENTRY_PORT),
            admin_listen=network.host(index, ENTRY_ADMIN_PORT),
            peer_listen=network.host(index, ENTRY_PEER_PORT),
            agent=network.host(index, AGENT_FEED_PORT),
            peer_keys=(PEER_KEY,),
            readiness_wait_ms=200,
        )

    def standins(self, process_count: int) -> list[StandinSettings]:
        """Returns the settings of the stand-in server processes.

        The servers are distributed over the processes in turn.
        """
        return [
            StandinSettings(
                name=f'servers-{number}',
                servers=tuple(self.servers[number::process_count]),
            )
            for number in range(process_count)
        ]

    def platform(self) -> StandinSettings:
        """Returns the settings of the stand-in platform."""
        return StandinSettings(
            name='platform', platform=self.network.platform()
        )


def failure_domain(index: int) -> str:
    """Returns the failure domain of a host or server by its index."""
    return FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
