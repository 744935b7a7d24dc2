"""Reads and watches what the platform publishes."""

from dataclasses import dataclass

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout

from cowslipmill.document.decoder import decode
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.publication.hostlist import HostList

TIMEOUT_MARGIN_S = 2.0
MAX_VALUE_BYTES = 1_048_576

CONFIGURATION_PATH = '/v1/configuration'
HOSTS_PATH = '/v1/hosts'


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no usable value.

    Attributes:
        reason: One sentence.
    """

    reason: str


class PlatformClient:
    """Calls the platform's two readable values.

    Attributes:
        base_url: Such as `http://127.0.0.1:7000`.
        calls: Calls made, a waiting watch counted as one.
    """

    __slots__ = ('base_url', 'calls', 'session')

    def __init__(self, base_url: str, session: ClientSession) -> None:
        """Keeps the address and the session to call through."""
        self.base_url = base_url
        self.session = session
        self.calls = 0

    async def read_configuration(
        self, *, after: int, wait_ms: int
    ) -> bytes | None | Unavailable:
        """Reads the raw document.

        Args:
            after: Version already in force; 0 for none.
            wait_ms: How long the platform may hold the call.

        Returns:
            The raw document, None when nothing newer came, or the failure.
        """
        return await self.read(CONFIGURATION_PATH, after, wait_ms)

    async def read_hosts(
        self, *, after: int, wait_ms: int
    ) -> HostList | None | Unavailable:
        """Reads the host list; arguments as for the configuration."""
        raw = await self.read(HOSTS_PATH, after, wait_ms)
        if not isinstance(raw, bytes):
            return raw
        try:
            return decode(raw, HostList)
        except InvalidDocument as error:
            return Unavailable(f'invalid host list: {error}')

    async def read(
        self, path: str, after: int, wait_ms: int
    ) -> bytes | None | Unavailable:
        """Makes one call and returns its value."""
        self.calls += 1
        timeout = ClientTimeout(total=wait_ms / 1000 + TIMEOUT_MARGIN_S)
        query = {'after': str(after), 'wait_ms': str(wait_ms)}
        try:
            async with self.session.get(
                self.base_url + path, params=query, timeout=timeout
            ) as response:
                if response.status == 204:
                    return None
                if response.status != 200:
                    return Unavailable(f'status {response.status}')
                raw = await response.content.read(MAX_VALUE_BYTES + 1)
                while len(raw) <= MAX_VALUE_BYTES:
                    chunk = await response.content.read(MAX_VALUE_BYTES)
                    if not chunk:
                        return raw
                    raw += chunk
                return Unavailable('value exceeds its size bound')
        except (ClientError, TimeoutError, OSError) as error:
            return Unavailable(f'{type(error).__name__}: {error}')
