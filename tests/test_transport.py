"""Transport on real sockets: frame order, queue limits, and reconnection to a restarted member."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from harriertide.consensus.transport import MAX_FRAME_BYTES, MAX_QUEUED_BYTES, WRITE_BUFFER_BYTES, Transport

HOST = "127.0.0.1"
TIMEOUT_S = 10.0


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def test_queued_and_directly_written_frames_arrive_in_order() -> None:
    """Some frames are queued and others are written directly; none may overtake another."""

    async def main() -> None:
        received: list[bytes] = []
        sender, receiver = (
            Transport(lambda payload: True),
            Transport(lambda payload: bool(received.append(payload)) or True),
        )
        port = await receiver.listen((HOST, 0))
        sent = [b"%d" % number * (1 + number % 7 * 500) for number in range(600)]
        for number, payload in enumerate(sent):
            sender.send("b", (HOST, port), payload)
            if number % 50 == 0:
                await asyncio.sleep(0)  # sends within one turn of the event loop and across several
            if number == 300:
                await wait_until(lambda: len(received) == 301)  # then sends on an idle connection
        await wait_until(lambda: len(received) == len(sent))
        assert received == sent and sender.counts["frames_out"] == len(sent) and not sender.counts["dropped"]
        sender.send("b", (HOST, port), b"x" * (MAX_FRAME_BYTES + 1))
        assert sender.counts["unsent"] == 1
        await sender.close()
        await receiver.close()

    asyncio.run(main())


def test_a_member_that_does_not_read_has_a_bounded_queue_and_delays_no_other_member() -> None:
    """A member accepts a connection and never reads. Its queue stays bounded; the others get all frames."""

    async def main() -> None:
        finished = asyncio.Event()

        async def accept_without_reading(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await finished.wait()

        server = await asyncio.start_server(accept_without_reading, HOST, 0, limit=1024)
        received: list[bytes] = []
        sender, receiver = (
            Transport(lambda payload: True),
            Transport(lambda payload: bool(received.append(payload)) or True),
        )
        port, stalled_port = await receiver.listen((HOST, 0)), int(server.sockets[0].getsockname()[1])
        for number in range(200):
            sender.send("deaf", (HOST, stalled_port), b"x" * 100_000)  # 20 MB in total
            sender.send("b", (HOST, port), b"%d" % number)
            await asyncio.sleep(0)
        await wait_until(lambda: len(received) == 200)
        peer_sender = sender.peer_senders["deaf"]
        assert sender.counts["dropped"] > 0 and peer_sender.queued_bytes <= MAX_QUEUED_BYTES
        assert peer_sender.is_connected and peer_sender.buffered_bytes <= WRITE_BUFFER_BYTES + MAX_FRAME_BYTES
        finished.set()
        server.close()
        await sender.close()
        await receiver.close()

    asyncio.run(main())


def test_a_restarted_member_receives_new_frames_and_no_stale_ones() -> None:
    """A member restarts. Frames sent while it was down are dropped; new frames reach it."""

    async def main() -> None:
        received: list[bytes] = []

        def receive(payload: bytes) -> bool:
            received.append(payload)
            return True

        sender, receiver = Transport(lambda payload: True), Transport(receive)
        port = await receiver.listen((HOST, 0))
        sender.send("b", (HOST, port), b"1")
        await wait_until(lambda: received == [b"1"])
        await receiver.close()
        # The loss is detected before the next send.
        await wait_until(lambda: not sender.peer_senders["b"].is_connected)
        sender.send("b", (HOST, port), b"2")
        await wait_until(lambda: sender.counts["unreached"] > 0)
        restarted_receiver = Transport(receive)
        await restarted_receiver.listen((HOST, port))
        sender.send("b", (HOST, port), b"3")
        await wait_until(lambda: received[-1] == b"3")
        assert b"2" not in received
        await sender.close()
        await restarted_receiver.close()

    asyncio.run(main())
