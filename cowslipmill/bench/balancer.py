"""The platform's balancer in front of the entries."""

from asyncio import gather
from asyncio import timeout

from aiohttp import ClientError
from aiohttp import ClientSession
from mode import Service

POLL_S = 0.05
POLL_TIMEOUT_S = 1.0


class Balancer(Service):
    """Gives callers the entries that say they are ready, in turn.

    Attributes:
        admins: Administration address of each entry by its address.
        ready: Addresses of the entries that were ready at the last poll.
    """

    def __init__(self, session: ClientSession, admins: dict[str, str]) -> None:
        """Takes every entry as ready until the first poll."""
        super().__init__()
        self.session = session
        self.admins = admins
        self.ready = list(admins)

    @Service.task
    async def poll(self) -> None:
        """Asks every entry again and again."""
        while not self.should_stop:
            answers = await gather(
                *(self.is_ready(admin) for admin in self.admins.values())
            )
            found = zip(self.admins, answers, strict=True)
            self.ready = [address for address, ready in found if ready]
            await self.sleep(POLL_S)

    async def is_ready(self, admin: str) -> bool:
        """Tells whether an entry wants new work."""
        try:
            async with timeout(POLL_TIMEOUT_S):
                async with self.session.get(f'http://{admin}/readyz') as got:
                    return got.status == 200
        except (ClientError, OSError, TimeoutError):
            return False

    def pick(self, number: int) -> str:
        """Returns the entry for the request of this number."""
        addresses = self.ready or list(self.admins)
        return addresses[number % len(addresses)]
