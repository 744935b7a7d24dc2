"""The settings of a host process."""

from msgspec import Struct

Address = tuple[str, int]

# Memory limit of a host process unless its settings name one.
DEFAULT_MEMORY_MB = 300.0


class HostSettings(Struct, frozen=True):
    """Settings that a host process reads at its start.

    Attributes:
        name: The host's name.
        failure_domain: The failure domain that the host is in.
        callers_listen: Address for connections from callers.
        readiness_listen: Address for the platform's readiness checks.
        peer_listen: Address for connections from other hosts.
        seeds: Addresses of some other hosts; any may be out of date.
        store: Address of the platform's store.
        stop_s: Seconds from SIGTERM to SIGKILL.
        retry_share: Retries and hedges allowed as a fraction of the requests,
            over all hosts.
        retry_reserve: Number of retries and hedges allowed beyond that share,
            over all hosts.
        leaving_s: Seconds for which a leaving server goes on serving.
        first_start: Whether all hosts of the deployment start for the first
            time, so that none has a view yet.
        peer_address: Address at which other hosts reach this one, if it
            differs from `peer_listen`.
        server_source_ip: Local IP address of connections to servers; empty
            if the system chooses it.
        memory_mb: Memory limit of the process in MiB.
        processor: Processor time that the host has, in seconds a second of a
            usual core; 0.0 if that is not known.
    """

    name: str
    failure_domain: str
    callers_listen: Address
    readiness_listen: Address
    peer_listen: Address
    seeds: tuple[Address, ...]
    store: Address
    stop_s: float
    retry_share: float
    retry_reserve: float
    leaving_s: float
    first_start: bool = False
    peer_address: Address | None = None
    server_source_ip: str = ''
    memory_mb: float = DEFAULT_MEMORY_MB
    processor: float = 0.0
