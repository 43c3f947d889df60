"""Long answers that a disk node writes over two seconds, in pieces."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins.case import run_case
from review.standins.clients import Call, Client
from review.standins.discovery import Discovery
from review.standins.http_messages import Message
from review.standins.nodes import Node, whole_answer
from review.standins.platform import Broker, base_settings, free_port
from review.standins.record import Record

PIECE_BYTES = 16 * 1024
PIECE_COUNT = 20  # 320 KiB in all
PIECE_INTERVAL_S = 0.1  # so that an answer is written in two seconds
ANSWER = bytes(number % 251 for number in range(PIECE_BYTES * PIECE_COUNT))
CALL_COUNT = 6  # half of them with a length, half in chunks
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(ANSWER),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
KEYS = {"length": "0000000000000001", "chunks": "0000000000000002"}


class LongAnswers:
    """A node that writes long answers, and notes those that the broker cuts off.

    :param interval_s: between two pieces; 0: the answer is written at once
    """

    def __init__(self, record: Record, interval_s: float) -> None:
        self.cut_off: dict[str, int] = {}  # attempts by call ID
        self._record = record
        self._interval_s = interval_s

    async def run(self, node: Node, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one read."""
        call = message.headers["x-call-id"]
        form = "chunks" if KEYS["chunks"] in message.target else "length"
        written = 0
        try:
            writer.write(HEADS[form])
            for first in range(0, len(ANSWER), PIECE_BYTES):
                piece = ANSWER[first : first + PIECE_BYTES]
                await asyncio.sleep(self._interval_s)
                writer.write(piece if form == "length" else b"%x\r\n%b\r\n" % (len(piece), piece))
                await writer.drain()
                written += len(piece)
            if form == "chunks":
                writer.write(b"0\r\n\r\n")
            self._record.write("node-answered", id=call, form=form)
        except ConnectionError:
            self.cut_off[call] = self.cut_off.get(call, 0) + 1
            self._record.write("node-cut-off", id=call, form=form, written=written)
            raise


async def play(folder: Path, record: Record, has_trouble: bool) -> list[str]:
    """Read long answers, one after the other; with trouble, the node writes them over two seconds."""
    answers = LongAnswers(record, PIECE_INTERVAL_S if has_trouble else 0.0)

    async def run_short(node: Node, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(whole_answer(b"short"))

    nodes = [Node("s-0", 0, record, answers.run), Node("s-1", 1, record, run_short)]
    for node in nodes:
        await node.start()
    discovery = Discovery(nodes)
    await discovery.start()
    (folder / "tmp").mkdir()
    config = {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.address, "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "peers": [],
        "known": discovery.page(), "settings": base_settings(),
    }  # fmt: skip
    broker = Broker("n0", folder, folder / "tmp", config, record)
    breaks = []
    try:
        await broker.wait_until_ready()
        client = Client(broker.address, record)
        await client.send(Call(shard=1))
        for number in range(CALL_COUNT):
            form = ("length", "chunks")[number % 2]
            call = Call(key=KEYS[form], units=8)
            answer = await client.send(call)
            is_whole = answer is not None and answer.status == 200 and answer.body == ANSWER
            await asyncio.sleep(0.5)  # the node sees the end of its connection at its next write
            if call.id in answers.cut_off and not is_whole:
                status = answer.status if answer is not None else "none"
                breaks.append(
                    f"{call.id} ({form}): cut off {answers.cut_off[call.id]} times while the node wrote; "
                    f"the client's answer: {status}"
                )
        client.close()
        if broker.process.poll() is not None:
            raise RuntimeError("the broker has ended")
        return breaks
    finally:
        broker.end()
        discovery.close()
        for node in nodes:
            node.close()


if __name__ == "__main__":
    run_case(__file__, play)
