"""Datagrams between brokers. A peer's place in the configured list is its broker index."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from harriertide.core import events as ev

DISCARD_PORT = 9  # of the discard service, which never sends
# While another process of this broker is in charge, which takes moments: 256 KB at most.
MAX_BUFFERED_MESSAGE_COUNT = 1024
MAX_DATAGRAM_BYTES = 256  # the platform drops longer ones
READ_BYTES = 65536  # the longest datagram there can be

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """host:port as the socket calls want it."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Peers(asyncio.DatagramProtocol):
    """Sends to the listed peers, and receives from them only.

    :param peers: host:port of each broker, in the order of their indexes
    :param own_index: of this broker
    :param post: takes what was received, for the core
    """

    def __init__(self, peers: list[str], own_index: int, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._post = post
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None  # where another process may share the address
        self._buffered: list[ev.PeerMessageReceived] | None = None  # None: messages go to the core at once
        self.set_peers(peers, own_index)

    def set_peers(self, peers: list[str], own_index: int) -> None:
        """Go by this list from now on."""
        self._peers = [parse_address(peer) for peer in peers]
        self._indexes = {peer: index for index, peer in enumerate(self._peers) if index != own_index}

    async def listen(self, at: Address, shared: bool) -> None:
        """Open the address.

        :param shared: another process of this broker may have it open, or will
        """
        loop = asyncio.get_running_loop()
        if not shared:
            await loop.create_datagram_endpoint(lambda: self, local_addr=at)
            return
        shared_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            shared_socket.setblocking(False)
            shared_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            shared_socket.bind(at)
            await loop.create_datagram_endpoint(lambda: self, sock=shared_socket)
        except BaseException:
            shared_socket.close()
            raise
        self._socket = shared_socket

    @property
    def is_open(self) -> bool:
        """Whether the address is open."""
        return self._transport is not None

    def start_buffering(self) -> None:
        """Buffer messages from now on: another process of this broker is still in charge."""
        self._buffered = []

    def deliver_buffered(self) -> None:
        """Hand the core the buffered messages, and each new one as it is received."""
        buffered = self._buffered or []
        self._buffered = None
        for message in buffered:
            self._post(message)

    def drain_and_close(self) -> None:
        """Close the address once all datagrams that have arrived are read.

        Connected to a port that never sends, the socket gets no more datagrams: the kernel delivers those
        that arrive from then on to the other process, and none is lost between the last read and the close.
        """
        if self._socket is not None:
            with suppress(OSError):
                self._socket.connect((self._socket.getsockname()[0], DISCARD_PORT))
            with suppress(OSError):  # nothing more is there
                while True:
                    self.datagram_received(*self._socket.recvfrom(READ_BYTES))
        self.close()

    def connection_made(self, transport: Any) -> None:
        """Remember where to send."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Hand a message to the core, or buffer it; datagrams of unknown senders are counted as junk."""
        index = self._indexes.get((addr[0], addr[1]))
        if index is None or len(data) > MAX_DATAGRAM_BYTES:
            self.counts["junk"] += 1
            return
        if self._buffered is None:
            self._post(ev.PeerMessageReceived(index, data))
        elif len(self._buffered) < MAX_BUFFERED_MESSAGE_COUNT:
            self._buffered.append(ev.PeerMessageReceived(index, data))

    def error_received(self, exc: Exception) -> None:
        """Count what the system reports of earlier sends, such as a peer that is down."""
        self.counts["errors"] += 1

    def send(self, recipient_index: int, body: bytes) -> None:
        """Send one message; it may be lost."""
        is_known = 0 <= recipient_index < len(self._peers)
        if self._transport is None or not is_known or len(body) > MAX_DATAGRAM_BYTES:
            self.counts["unsent"] += 1
            return
        self._transport.sendto(body, self._peers[recipient_index])

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
        self._transport = None
        self._socket = None
