"""The stand-in storage nodes of the rigs."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from harriertide.lab.rigs.nodes import LONG_BYTES, Node, RigLogs

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
        node = Node("s0", 0, logs, fault="close")
        await node.start()
        host, port = node.entry()["dial"].rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        assert len(await reader.read()) == LONG_BYTES
        writer.close()
        assert node.server is not None
        node.server.close()
        logs.close()

    asyncio.run(main())
