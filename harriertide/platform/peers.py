"""Datagrams between brokers. A peer's place in the configured list is its number."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from harriertide.core import events as ev

DATAGRAM_BYTES = 256  # a longer one is not allowed on the wire


def address(text: str) -> tuple[str, int]:
    """host:port as the socket calls want it."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Peers(asyncio.DatagramProtocol):
    """Sends to and hears from the listed peers only."""

    def __init__(self, peers: list[str], own: int, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._post = post
        self._transport: asyncio.DatagramTransport | None = None
        self.relist(peers, own)

    def relist(self, peers: list[str], own: int) -> None:
        """These are the peers from now on, in the order of their numbers."""
        self._peers = [address(peer) for peer in peers]
        self._numbers = {peer: number for number, peer in enumerate(self._peers) if number != own}

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        number = self._numbers.get((addr[0], addr[1]))
        if number is None or len(data) > DATAGRAM_BYTES:
            self.counts["junk"] += 1
            return
        self._post(ev.Heard(number, data))

    def error_received(self, exc: Exception) -> None:
        self.counts["errors"] += 1

    def tell(self, head: int, body: bytes) -> None:
        """Send one message; it may be lost."""
        if self._transport is None or not 0 <= head < len(self._peers) or len(body) > DATAGRAM_BYTES:
            self.counts["unsent"] += 1
            return
        self._transport.sendto(body, self._peers[head])

    def close(self) -> None:
        """Let go of the socket."""
        if self._transport is not None:
            self._transport.close()
