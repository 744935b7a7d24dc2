"""Asks every agent for its status."""

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
MAX_ANSWER_BYTES = 4_194_304
MAX_CALLS_AT_ONCE = 16


@dataclass(frozen=True, slots=True)
class HostReport:
    """The answer of one agent.

    Attributes:
        address: Administration address of the agent.
        status: What it said.
        received_at: When it came, in monotonic seconds.
    """

    address: str
    status: AgentStatus
    received_at: float


@dataclass(frozen=True, slots=True)
class NoResponse:
    """An address that gave no usable answer.

    Attributes:
        address: The address.
        reason: One sentence.
    """

    address: str
    reason: str


HostResult = HostReport | NoResponse


async def collect_status(
    session: ClientSession,
    addresses: Sequence[str],
    clock: Callable[[], float],
) -> tuple[HostResult, ...]:
    """Asks agents for their status, a bounded number at once.

    Args:
        session: Session to call through.
        addresses: Administration addresses.
        clock: Tells monotonic seconds.

    Returns:
        One answer for each address, in order.
    """
    gate = Semaphore(MAX_CALLS_AT_ONCE)

    async def ask(address: str) -> HostResult:
        async with gate:
            raw = await fetch_page(session, address, '/status')
        if isinstance(raw, NoResponse):
            return raw
        try:
            status = json.decode(raw, type=AgentStatus)
        except MsgspecError as error:
            return NoResponse(address, f'not a status: {error}')
        return HostReport(address, status, clock())

    return tuple(await gather(*(ask(address) for address in addresses)))


async def fetch_page(
    session: ClientSession, address: str, path: str
) -> bytes | NoResponse:
    """Reads a page of an administration address, of bounded size."""
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with session.get(
            f'http://{address}{path}', timeout=timeout, allow_redirects=False
        ) as answer:
            if answer.status != 200:
                return NoResponse(address, f'status {answer.status}')
            raw = bytearray()
            async for part in answer.content.iter_chunked(65_536):
                raw += part
                if len(raw) > MAX_ANSWER_BYTES:
                    return NoResponse(address, 'answer exceeds its size bound')
            return bytes(raw)
    except TimeoutError:
        return NoResponse(address, f'no answer within {CALL_TIMEOUT_S:g} s')
    except (ClientError, OSError) as error:
        return NoResponse(address, str(error) or type(error).__name__)
