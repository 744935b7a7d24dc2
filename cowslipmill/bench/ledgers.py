"""Reads what the stand-in servers really did."""

from asyncio import gather
from collections import Counter
from collections.abc import Iterable

from aiohttp import ClientSession
from msgspec import json

from cowslipmill.standin.ledger import Execution
from cowslipmill.standin.settings import ServerSettings


async def read_ledger(
    session: ClientSession, server: ServerSettings
) -> list[Execution]:
    """Returns every execution of one server."""
    url = f'http://{server.address}/standin/ledger'
    async with session.get(url) as answer:
        answer.raise_for_status()
        return json.decode(await answer.read(), type=list[Execution])


async def count_executions(
    session: ClientSession, servers: Iterable[ServerSettings]
) -> Counter[str]:
    """Returns how often each request identifier was started, anywhere."""
    ledgers = await gather(
        *(read_ledger(session, server) for server in servers)
    )
    return Counter(
        execution.request_id for ledger in ledgers for execution in ledger
    )
