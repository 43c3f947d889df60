"""Datagrams between brokers. A peer's place in the configured list is its number."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from harriertide.core import events as ev

NOBODY = 9  # the port of the discard service: it says nothing
HELD_MOST = 1024  # messages that are kept while another process of this broker is in charge
DATAGRAM_BYTES = 256  # a longer one is not allowed on the wire


def parse_address(text: str) -> tuple[str, int]:
    """host:port as the socket calls want it."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Peers(asyncio.DatagramProtocol):
    """Sends to and hears from the listed peers only."""

    def __init__(self, peers: list[str], own: int, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._post = post
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        self._buffered: list[ev.PeerMessageReceived] | None = (
            None  # what came before it may be told; None: it may
        )
        self.set_peers(peers, own)

    def set_peers(self, peers: list[str], own: int) -> None:
        """These are the peers from now on, in the order of their numbers."""
        self._peers = [parse_address(peer) for peer in peers]
        self._numbers = {peer: number for number, peer in enumerate(self._peers) if number != own}

    async def listen(self, at: tuple[str, int], shared: bool) -> None:
        """Open the address. shared: another process of this broker may have it, or will take it over."""
        loop = asyncio.get_running_loop()
        if not shared:
            await loop.create_datagram_endpoint(lambda: self, local_addr=at)
            return
        door = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            door.setblocking(False)
            door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            door.bind(at)
            await loop.create_datagram_endpoint(lambda: self, sock=door)
        except BaseException:
            door.close()
            raise
        self._socket = door

    @property
    def is_open(self) -> bool:
        """Whether the address is open."""
        return self._transport is not None

    def start_buffering(self) -> None:
        """Keep what comes: another process of this broker is still in charge."""
        self._buffered = []

    def deliver_buffered(self) -> None:
        """Tell the core what was kept, and all that comes from now on."""
        buffered, self._buffered = self._buffered or [], None
        for message in buffered:
            self._post(message)

    def drain_and_close(self) -> None:
        """Let go of the address, once all that has come to it is read.

        Connected to a port from which nothing comes, the socket gets no more: the system gives what comes
        from then on to the other process, and no message falls between the last read and the close.
        """
        if self._socket is not None:
            with suppress(OSError):
                self._socket.connect((self._socket.getsockname()[0], NOBODY))
            with suppress(OSError):  # nothing more is there
                while True:
                    self.datagram_received(*self._socket.recvfrom(65536))
        self.close()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        number = self._numbers.get((addr[0], addr[1]))
        if number is None or len(data) > DATAGRAM_BYTES:
            self.counts["junk"] += 1
            return
        if self._buffered is None:
            self._post(ev.PeerMessageReceived(number, data))
        elif len(self._buffered) < HELD_MOST:
            self._buffered.append(ev.PeerMessageReceived(number, data))

    def error_received(self, exc: Exception) -> None:
        self.counts["errors"] += 1

    def send(self, head: int, body: bytes) -> None:
        """Send one message; it may be lost."""
        if self._transport is None or not 0 <= head < len(self._peers) or len(body) > DATAGRAM_BYTES:
            self.counts["unsent"] += 1
            return
        self._transport.sendto(body, self._peers[head])

    def close(self) -> None:
        """Let go of the socket."""
        if self._transport is not None:
            self._transport.close()
        self._transport = self._socket = None
