"""The client connections of this process to its peers."""

from random import Random
from typing import Any

from mode import Service

from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.frame import FrameCodec
from cowslipmill.peers.link import encode_notification
from cowslipmill.peers.link import Link
from cowslipmill.peers.link import Unreachable
from cowslipmill.runtime.backgrounderrors import run_logged

MAX_LINKS = 1024


class PeerLinks(Service):
    """Holds one link per peer, opened with the first message to it.

    Attributes:
        name: Name of this process, sent in the handshake.
        keys: Shared keys; the first one signs.
        codec: Codec of the frames.
        random: Source of the jitter between connection attempts.
        memory: The budget of what waits to be sent; None for no limit.
        links: Links by the peer's address.
    """

    def __init__(
        self,
        name: str,
        keys: tuple[str, ...],
        codec: FrameCodec,
        random: Random,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Initializes the collection without any link."""
        super().__init__()
        self.memory = memory
        self.name = name
        self.keys = keys
        self.codec = codec
        self.random = random
        self.links: dict[str, Link] = {}

    async def get_or_open(self, address: str) -> Link | None:
        """Returns the link to an address and opens it if there is none.

        Returns:
            The link, or None if there are `MAX_LINKS` links or the service
            is stopping.
        """
        link = self.links.get(address)
        if link is not None:
            return link
        if len(self.links) >= MAX_LINKS or self.should_stop:
            return None
        link = Link(
            address,
            self.name,
            self.keys,
            self.codec,
            self.random,
            self.memory,
        )
        self.links[address] = link
        await self.add_runtime_dependency(link)
        return link

    def open(self, address: str) -> None:
        """Starts to open the link to a peer before it is needed."""
        if address not in self.links:
            work = self.get_or_open(address)
            self.add_future(run_logged('peer link', work))

    def send(self, address: str, message: Any) -> bool:
        """Queues a notification to a peer.

        Returns:
            False if it was dropped: the peer is unreachable or its queue is
            full.

        Raises:
            ValueError: If the message is larger than the size limit.
        """
        return self.send_raw(address, encode_notification(self.codec, message))

    def send_all(self, addresses: list[str], message: Any) -> None:
        """Queues a notification to several peers and encodes it only once.

        Raises:
            ValueError: If the message is larger than the size limit.
        """
        raw = encode_notification(self.codec, message)
        for address in addresses:
            self.send_raw(address, raw)

    def send_raw(self, address: str, raw: bytes) -> bool:
        """Queues an encoded frame, on a new link if there is none.

        Returns:
            False if it was dropped. True on a new link, before it is known
            whether the link could be opened.
        """
        link = self.links.get(address)
        if link is not None:
            return link.enqueue(raw)
        work = self.open_and_send(address, raw)
        self.add_future(run_logged('peer link', work))
        return True

    async def open_and_send(self, address: str, raw: bytes) -> None:
        """Opens a link and queues an encoded frame on it."""
        link = await self.get_or_open(address)
        if link is not None:
            link.enqueue(raw)

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Sends a message to a peer and waits for its reply.

        Args:
            address: The peer's address.
            message: The message.
            timeout_s: How long to wait for the reply in seconds.

        Returns:
            The reply, or `Unreachable`.

        Raises:
            ValueError: If the message is larger than the size limit.
        """
        link = await self.get_or_open(address)
        if link is None:
            return Unreachable('too many links or stopping')
        return await link.call(message, timeout_s)

    def abort(self) -> None:
        """Closes every connection without the WebSocket closing handshake."""
        for link in self.links.values():
            link.abort()

    async def disconnect(self, address: str) -> None:
        """Closes the link to a peer and removes it."""
        link = self.links.pop(address, None)
        if link is not None:
            await self.remove_dependency(link)
            await link.stop()
            link.queue.holding.release()
