"""Datagrams between brokers: accepted senders and the maximum length."""

from __future__ import annotations

import asyncio
from typing import Any

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.platform.peers import Peers
from tests.helpers import SETTINGS


def test_datagrams_of_unlisted_peers_are_dropped_and_malformed_ones_have_no_effect() -> None:
    """Datagrams arrive from unknown senders and from the broker's own address, and overlong ones from a peer.

    They are counted and dropped. A malformed message of a peer causes no fault in the core.
    """
    received: list[Any] = []
    peers = Peers(["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"], 0, received.append)
    peers.datagram_received(b"ok", ("127.0.0.1", 3))
    peers.datagram_received(b"own", ("127.0.0.1", 1))
    peers.datagram_received(b"who", ("127.0.0.1", 9))
    peers.datagram_received(b"x" * 257, ("127.0.0.1", 2))
    assert received == [ev.PeerMessageReceived(2, b"ok")] and peers.counts["junk"] == 3
    core = Reducer(SETTINGS, 1)
    core.step(
        1,
        [
            ev.PeerMessageReceived(1, b""),
            ev.PeerMessageReceived(1, b"FT\x02odd"),
            ev.PeerMessageReceived(7, b"\xff" * 256),
        ],
    )
    assert core.counts["module_faults"] == 0


def test_no_datagram_is_over_256_bytes() -> None:
    """A message that is too long, or addressed to an unlisted peer, is counted and not sent."""

    async def main() -> None:
        loop, datagrams = asyncio.get_running_loop(), asyncio.Queue[bytes]()

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: Any) -> None:
                datagrams.put_nowait(data)

        transport, _ = await loop.create_datagram_endpoint(Receiver, local_addr=("127.0.0.1", 0))
        address = f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"
        peers = Peers(["127.0.0.1:1", address], 0, lambda event: None)
        await loop.create_datagram_endpoint(lambda: peers, local_addr=("127.0.0.1", 0))
        peers.send(1, b"x" * 257)
        peers.send(5, b"nobody")
        peers.send(1, b"x" * 256)
        async with asyncio.timeout_at(loop.time() + 5):
            assert len(await datagrams.get()) == 256
        assert peers.counts["unsent"] == 2
        peers.close()
        transport.close()

    asyncio.run(main())
