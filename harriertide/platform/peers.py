"""Datagrams between brokers. The position of a peer in the configured list is its broker index."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from harriertide.core import events as ev

DISCARD_PORT = 9  # port of the discard service (RFC 863), which never sends
# Messages are buffered briefly, while another process of this broker is still in charge; 256 KB at most.
MAX_BUFFERED_MESSAGE_COUNT = 1024
MAX_DATAGRAM_BYTES = 256  # the platform drops longer ones
DATAGRAM_READ_BYTES = 65536  # no UDP datagram is longer

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Split host:port into the address tuple that socket calls take."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Peers(asyncio.DatagramProtocol):
    """Sends datagrams to the listed peers and accepts datagrams from these only.

    :param peers: host:port of each broker, in the order of the broker indexes
    :param own_index: the index of this broker
    :param post: passes received messages to the core
    """

    def __init__(self, peers: list[str], own_index: int, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._post = post
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None  # set if another process may share the address
        self._buffered: list[ev.PeerMessageReceived] | None = None  # None: messages are posted immediately
        self.set_peers(peers, own_index)

    def set_peers(self, peers: list[str], own_index: int) -> None:
        """Replace the list of peers."""
        self._peers = [parse_address(peer) for peer in peers]
        self._indexes = {peer: index for index, peer in enumerate(self._peers) if index != own_index}

    async def listen(self, address: Address, shared: bool) -> None:
        """Open the socket.

        :param address: the address to receive datagrams on
        :param shared: whether another process of this broker may use the same address
        """
        loop = asyncio.get_running_loop()
        if not shared:
            await loop.create_datagram_endpoint(lambda: self, local_addr=address)
            return
        shared_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            shared_socket.setblocking(False)
            shared_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            shared_socket.bind(address)
            await loop.create_datagram_endpoint(lambda: self, sock=shared_socket)
        except BaseException:
            shared_socket.close()
            raise
        self._socket = shared_socket

    @property
    def is_open(self) -> bool:
        """Whether the socket is open."""
        return self._transport is not None

    def start_buffering(self) -> None:
        """Start buffering messages, as another process of this broker is still in charge."""
        self._buffered = []

    def deliver_buffered(self) -> None:
        """Post the buffered messages to the core, and stop buffering."""
        buffered = self._buffered or []
        self._buffered = None
        for message in buffered:
            self._post(message)

    def drain_and_close(self) -> None:
        """Read all datagrams that have arrived, then close the socket.

        The socket is first connected to a port that never sends, so that the kernel delivers later datagrams
        to the other process. No datagram is lost between the last read and the close.
        """
        if self._socket is not None:
            with suppress(OSError):
                self._socket.connect((self._socket.getsockname()[0], DISCARD_PORT))
            with suppress(OSError):  # no datagram is left to read
                while True:
                    self.datagram_received(*self._socket.recvfrom(DATAGRAM_READ_BYTES))
        self.close()

    def connection_made(self, transport: Any) -> None:
        """Store the transport for sending."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Post or buffer a message; overlong datagrams and those of unknown senders are counted as junk."""
        index = self._indexes.get((addr[0], addr[1]))
        if index is None or len(data) > MAX_DATAGRAM_BYTES:
            self.counts["junk"] += 1
            return
        if self._buffered is None:
            self._post(ev.PeerMessageReceived(index, data))
        elif len(self._buffered) < MAX_BUFFERED_MESSAGE_COUNT:
            self._buffered.append(ev.PeerMessageReceived(index, data))

    def error_received(self, exc: Exception) -> None:
        """Count errors that the system reports for earlier sends, such as an unreachable peer."""
        self.counts["errors"] += 1

    def send(self, recipient_index: int, body: bytes) -> None:
        """Send a message, which may be lost."""
        is_listed = 0 <= recipient_index < len(self._peers)
        if self._transport is None or not is_listed or len(body) > MAX_DATAGRAM_BYTES:
            self.counts["unsent"] += 1
            return
        self._transport.sendto(body, self._peers[recipient_index])

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
        self._transport = None
        self._socket = None
