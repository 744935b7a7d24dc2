"""Outgoing links to every peer that is called."""

from random import Random
from typing import Any

from mode import Service

from cowslipmill.peers.frame import FrameCodec
from cowslipmill.peers.link import encode_news
from cowslipmill.peers.link import Link
from cowslipmill.peers.link import Unreachable

MAX_LINKS = 1024


class PeerLinks(Service):
    """Opens a link to a peer when it is first called.

    Attributes:
        links: Open links by address.
    """

    def __init__(
        self,
        name: str,
        keys: tuple[str, ...],
        codec: FrameCodec,
        random: Random,
    ) -> None:
        """Keeps what each link needs."""
        super().__init__()
        self.name = name
        self.keys = keys
        self.codec = codec
        self.random = random
        self.links: dict[str, Link] = {}

    async def get_or_open(self, address: str) -> Link | None:
        """Returns the link to an address, opened if need be."""
        link = self.links.get(address)
        if link is not None:
            return link
        if len(self.links) >= MAX_LINKS or self.should_stop:
            return None
        link = Link(address, self.name, self.keys, self.codec, self.random)
        self.links[address] = link
        await self.add_runtime_dependency(link)
        return link

    def open(self, address: str) -> None:
        """Opens the link to a peer ahead of its first message."""
        if address not in self.links:
            self.add_future(self.get_or_open(address))

    def send(self, address: str, message: Any) -> bool:
        """Queues one message.

        Returns:
            False if the peer is out of reach or its queue is full.
        """
        return self.send_raw(address, encode_news(self.codec, message))

    def send_all(self, addresses: list[str], message: Any) -> None:
        """Queues one message for several peers, encoded once."""
        raw = encode_news(self.codec, message)
        for address in addresses:
            self.send_raw(address, raw)

    def send_raw(self, address: str, raw: bytes) -> bool:
        """Queues an encoded message."""
        link = self.links.get(address)
        if link is not None:
            return link.enqueue(raw)
        self.add_future(self.send_first(address, raw))
        return True

    async def send_first(self, address: str, raw: bytes) -> None:
        """Opens a link and queues its first message."""
        link = await self.get_or_open(address)
        if link is not None:
            link.enqueue(raw)

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Sends a message and waits for its reply.

        Returns:
            The reply, or `Unreachable`.
        """
        link = await self.get_or_open(address)
        if link is None:
            return Unreachable('too many links')
        return await link.call(message, timeout_s)

    def abort(self) -> None:
        """Ends every connection without waiting for the peers."""
        for link in self.links.values():
            link.abort()

    async def disconnect(self, address: str) -> None:
        """Closes the link to a peer that is gone."""
        link = self.links.pop(address, None)
        if link is not None:
            await self.remove_dependency(link)
            await link.stop()
