"""Reads the body of a request within its size and time limits."""

from asyncio import timeout

from aiohttp.web import BaseRequest
from aiohttp.web import RequestPayloadError

from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

BODY_TIMEOUT_S = 10.0
RETRY_AFTER_MS = 1_000
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


async def read_body(request: BaseRequest, max_bytes: int) -> bytes | NotRun:
    """Returns the whole body, or why it was refused.

    Args:
        request: The request, its head checked.
        max_bytes: Size limit of declared and of chunked bodies.
    """
    if not request.body_exists:
        return b''
    if (request.content_length or 0) > max_bytes:
        return NotRun(Reason.REQUEST_TOO_LARGE, 0)
    try:
        async with timeout(BODY_TIMEOUT_S):
            await send_continue(request)
            return await read_chunks(request, max_bytes)
    except TimeoutError:
        return NotRun(Reason.SLOW_CALLER, RETRY_AFTER_MS)
    except RequestPayloadError:
        return NotRun(Reason.BAD_REQUEST, 0, 'the body is malformed')


async def read_chunks(request: BaseRequest, max_bytes: int) -> bytes | NotRun:
    """Returns the whole body, or a refusal once it exceeds `max_bytes`."""
    chunks = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            return NotRun(Reason.REQUEST_TOO_LARGE, 0)
        chunks.append(chunk)
    return b''.join(chunks)


async def send_continue(request: BaseRequest) -> None:
    """Sends `100 Continue` if the caller expects it before the body."""
    if 'Expect' not in request.headers or request.content.is_eof():
        return
    await request.writer.write(CONTINUE_RESPONSE)
    # The final response has not begun: the library must still send its head.
    request.writer.output_size = 0
