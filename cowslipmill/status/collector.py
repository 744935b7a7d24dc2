"""Collects the status of agents."""

from asyncio import gather
from asyncio import Semaphore
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from msgspec import json
from msgspec import MsgspecError

from cowslipmill.agent.status import AgentStatus

CALL_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 4_194_304
MAX_CONCURRENT_CALLS = 16


@dataclass(frozen=True, slots=True)
class HostReport:
    """The status of one agent.

    Attributes:
        address: Administration address of the agent.
        status: The decoded status.
        received_at: When the response was read, in monotonic seconds.
    """

    address: str
    status: AgentStatus
    received_at: float


@dataclass(frozen=True, slots=True)
class NoResponse:
    """A failed call to an administration address.

    Attributes:
        address: Administration address that was called.
        reason: Why there is no usable response, on one line.
    """

    address: str
    reason: str


HostResult = HostReport | NoResponse


async def collect_status(
    session: ClientSession,
    addresses: Sequence[str],
    clock: Callable[[], float],
) -> tuple[HostResult, ...]:
    """Fetches the status of agents, a bounded number at once.

    Args:
        session: HTTP session for the calls.
        addresses: Administration addresses.
        clock: Returns monotonic seconds.

    Returns:
        One result for each address, in order.
    """
    semaphore = Semaphore(MAX_CONCURRENT_CALLS)

    async def fetch_status(address: str) -> HostResult:
        async with semaphore:
            raw = await fetch_page(session, address, '/status')
        if isinstance(raw, NoResponse):
            return raw
        try:
            status = json.decode(raw, type=AgentStatus)
        except MsgspecError as error:
            return NoResponse(address, f'not a status: {error}')
        return HostReport(address, status, clock())

    return tuple(
        await gather(*(fetch_status(address) for address in addresses))
    )


async def fetch_page(
    session: ClientSession, address: str, path: str
) -> bytes | NoResponse:
    """Fetches a page of at most `MAX_RESPONSE_BYTES` bytes.

    Returns:
        The body of a response with status 200, else the reason why there is
        none.
    """
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with session.get(
            f'http://{address}{path}', timeout=timeout, allow_redirects=False
        ) as response:
            if response.status != 200:
                return NoResponse(address, f'status {response.status}')
            raw = bytearray()
            async for chunk in response.content.iter_chunked(65_536):
                raw += chunk
                if len(raw) > MAX_RESPONSE_BYTES:
                    return NoResponse(address, 'answer exceeds its size bound')
            return bytes(raw)
    except TimeoutError:
        return NoResponse(address, f'no answer within {CALL_TIMEOUT_S:g} s')
    except (ClientError, OSError) as error:
        return NoResponse(address, str(error) or type(error).__name__)
