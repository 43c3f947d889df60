"""Frames between members on real sockets: in order, within bounds, and over again when one comes back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from harriertide.consensus.transport import MAX_FRAME_BYTES, MAX_QUEUED_BYTES, WRITE_BUFFER_BYTES, Transport

HOST = "127.0.0.1"
WITHIN_S = 10.0


async def eventually(look: Callable[[], bool]) -> None:
    async with asyncio.timeout(WITHIN_S):
        while not look():
            await asyncio.sleep(0.005)


def test_frames_come_in_order_whether_they_were_held_or_written_at_once() -> None:
    """Frames are queued or written beside the task, and must not overtake each other."""

    async def main() -> None:
        heard: list[bytes] = []
        near, far = (
            Transport(lambda payload: True),
            Transport(lambda payload: bool(heard.append(payload)) or True),
        )
        port = await far.listen((HOST, 0))
        sent = [b"%d" % number * (1 + number % 7 * 500) for number in range(600)]
        for number, payload in enumerate(sent):
            near.send("b", (HOST, port), payload)
            if number % 50 == 0:
                await asyncio.sleep(0)  # in one turn and over many
            if number == 300:
                await eventually(lambda: len(heard) == 301)  # and on a connection that is up and idle
        await eventually(lambda: len(heard) == len(sent))
        assert heard == sent and near.counts["frames_out"] == len(sent) and not near.counts["dropped"]
        near.send("b", (HOST, port), b"x" * (MAX_FRAME_BYTES + 1))
        assert near.counts["unsent"] == 1
        await near.close()
        await far.close()

    asyncio.run(main())


def test_a_member_that_takes_nothing_costs_the_others_nothing_and_holds_no_more_than_it_may() -> None:
    """A member accepts a connection and never reads. Its queue keeps its bound, and the others get all."""

    async def main() -> None:
        stuck = asyncio.Event()

        async def deaf(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await stuck.wait()

        server = await asyncio.start_server(deaf, HOST, 0, limit=1024)
        heard: list[bytes] = []
        near, far = (
            Transport(lambda payload: True),
            Transport(lambda payload: bool(heard.append(payload)) or True),
        )
        port, silent = await far.listen((HOST, 0)), int(server.sockets[0].getsockname()[1])
        for number in range(200):
            near.send("deaf", (HOST, silent), b"x" * 100_000)  # twenty megabytes
            near.send("b", (HOST, port), b"%d" % number)
            await asyncio.sleep(0)
        await eventually(lambda: len(heard) == 200)
        route = near.routes["deaf"]
        assert near.counts["dropped"] > 0 and route.queued_bytes <= MAX_QUEUED_BYTES
        assert route.is_connected and route.buffered_bytes <= WRITE_BUFFER_BYTES + MAX_FRAME_BYTES
        stuck.set()
        server.close()
        await near.close()
        await far.close()

    asyncio.run(main())


def test_one_that_comes_back_hears_again_and_what_it_missed_is_gone() -> None:
    """A member restarts. What was sent meanwhile is dropped, not delivered late, and new frames reach it."""

    async def main() -> None:
        heard: list[bytes] = []

        def take(payload: bytes) -> bool:
            heard.append(payload)
            return True

        near, far = Transport(lambda payload: True), Transport(take)
        port = await far.listen((HOST, 0))
        near.send("b", (HOST, port), b"1")
        await eventually(lambda: heard == [b"1"])
        await far.close()
        await eventually(lambda: not near.routes["b"].is_connected)  # seen at once, not by the next loss
        near.send("b", (HOST, port), b"2")
        await eventually(lambda: near.counts["unreached"] > 0)
        again = Transport(take)
        await again.listen((HOST, port))
        near.send("b", (HOST, port), b"3")
        await eventually(lambda: heard[-1] == b"3")
        assert b"2" not in heard
        await near.close()
        await again.close()

    asyncio.run(main())
