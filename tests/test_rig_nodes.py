"""The stand-in storage nodes of the rigs."""

from __future__ import annotations

import asyncio
import gzip
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from harriertide.cli import node
from harriertide.lab.rigs.nodes import LONG_BYTES, Node, RigLogs
from harriertide.lab.rigs.object_node import ObjectNode

REQUEST = b"GET / HTTP/1.1\r\nX-Call-Id: a\r\nX-Extent: units=1\r\nX-Storage-Class: free\r\nX-Long: 1\r\n\r\n"


def test_a_node_that_closes_behind_its_answer_sends_all_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a long answer that the rig cuts short, for which the soak would blame the broker."""

    async def drain_nothing(writer: asyncio.StreamWriter) -> None:
        """Leave in the buffer what the system does not take at once."""

    monkeypatch.setattr(asyncio.StreamWriter, "drain", drain_nothing)

    async def main() -> None:
        logs = RigLogs(tmp_path)
        rig_node = Node("s0", 0, logs, fault="close")
        await rig_node.start()
        host, port = rig_node.entry()["dial"].rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        assert len(await reader.read()) == LONG_BYTES
        writer.close()
        assert rig_node.server is not None
        rig_node.server.close()
        logs.close()

    asyncio.run(main())


@asynccontextmanager
async def object_nodes() -> AsyncIterator[list[int]]:
    """The ports of the stand-in nodes that keep bodies."""
    runner, port = await node.listen(node.StandInNode(node.NodeOptions(4, 4, 0, 1)), "127.0.0.1", 0)
    rig_node = ObjectNode("b1", 0.0, lambda name, method, path: None)
    await rig_node.open()
    try:
        yield [port, rig_node.port]
    finally:
        await runner.cleanup()
        await rig_node.close()


async def send(port: int, request: bytes) -> bytes:
    """Send a request, the last on its connection, and return what comes back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    response = await reader.read()
    writer.close()
    return response


def test_a_stand_in_node_keeps_the_bytes_that_it_was_sent_or_refuses_them() -> None:
    """Guards against stand-ins that accept coded bytes without a word, and so hide a broker's fault."""
    head = b"PUT /v/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    coded = gzip.compress(b"page")
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(coded), coded)

    async def main() -> None:
        async with object_nodes() as ports:
            for port in ports:
                refused = await send(port, head + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks)
                assert refused.startswith(b"HTTP/1.1 501 ")
                read = await send(port, head.replace(b"PUT", b"GET") + b"\r\n")
                assert read.startswith(b"HTTP/1.1 404 ")
                fields = b"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
                assert (await send(port, head + fields + chunks)).startswith(b"HTTP/1.1 200 ")
                assert (await send(port, head.replace(b"PUT", b"GET") + b"\r\n")).endswith(coded)

    asyncio.run(main())
