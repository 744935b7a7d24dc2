"""HTTP client for the values that the platform publishes."""

from dataclasses import dataclass

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout

from cowslipmill.document.decoder import decode
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.publication.hostlist import HostList

# Added to the time for which the platform may hold a call.
TIMEOUT_MARGIN_S = 2.0
MAX_VALUE_BYTES = 1_048_576

CONFIGURATION_PATH = '/v1/configuration'
HOSTS_PATH = '/v1/hosts'


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform returned no usable value.

    Attributes:
        reason: Why, as one line of text.
    """

    reason: str


class PlatformClient:
    """Reads the two values of the platform: configuration and host list.

    Attributes:
        base_url: URL of the platform, such as `http://127.0.0.1:7000`.
        calls: Number of calls made; a call that waits counts as one.
        session: The HTTP session of the calls.
    """

    __slots__ = ('base_url', 'calls', 'session')

    def __init__(self, base_url: str, session: ClientSession) -> None:
        """Stores the URL and the HTTP session."""
        self.base_url = base_url
        self.session = session
        self.calls = 0

    async def read_configuration(
        self, *, after: int, wait_ms: int
    ) -> bytes | None | Unavailable:
        """Reads the raw document.

        Args:
            after: Version already in force; 0 for none.
            wait_ms: How long the platform may hold the call until it has a
                newer document.

        Returns:
            The raw document, None if there was no newer one, or the failure.
        """
        return await self.read(CONFIGURATION_PATH, after, wait_ms)

    async def read_hosts(
        self, *, after: int, wait_ms: int
    ) -> HostList | None | Unavailable:
        """Reads the host list.

        Args:
            after: Revision already known; 0 for none.
            wait_ms: How long the platform may hold the call until it has a
                newer list.

        Returns:
            The list, None if there was no newer one, or the failure.
        """
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
        """Makes one call and returns the body of its response.

        Returns:
            The body, None for status 204 (nothing newer), or the failure.
            A body above MAX_VALUE_BYTES is a failure.
        """
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
