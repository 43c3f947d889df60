"""A relay on a link from one broker to another: it loses, delays, doubles and reorders whole frames."""

from __future__ import annotations

import asyncio
import struct
from contextlib import suppress
from random import Random

from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.fault_script import HOST

SHORTEST_DELAY_S, LONGEST_DELAY_S = 0.001, 0.04
SLOW_CHUNK_BYTES = 64
HEADER_BYTES = 8  # length and checksum of a frame


class FrameFaults:
    """Which part of all frames is lost, late, doubled or put behind the next one; shared by all relays."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.ratio = 0.0

    def strikes(self, times: float = 1.0) -> bool:
        """Draw whether a fault strikes, with so many times the ratio."""
        return self._random.random() < self.ratio * times

    def delay_s(self) -> float:
        """Draw how late a frame is."""
        return self._random.uniform(SHORTEST_DELAY_S, LONGEST_DELAY_S)


class FrameRelay:
    """From one broker to another: connections that the first makes, frame by frame.

    is_cut: frames are lost. is_deaf: connections are taken, and nothing is read of them.

    :param target_port: where the second broker listens
    """

    def __init__(self, faults: FrameFaults, target_port: int) -> None:
        self._faults = faults
        self._target_port = target_port
        self._connections: set[asyncio.StreamWriter] = set()
        self.is_cut = False
        self.is_deaf = False
        self.port = 0

    async def open(self) -> None:
        """Listen where the first broker dials."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        far: asyncio.StreamWriter | None = None
        with suppress(ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if self.is_deaf:
                await reader.read()
                return
            _, far = await asyncio.open_connection(HOST, self._target_port)
            await self._forward(reader, far)
        for end in (writer, far):
            if end is not None:
                end.transport.abort()
        self._connections.discard(writer)

    async def _forward(self, reader: asyncio.StreamReader, far: asyncio.StreamWriter) -> None:
        loop, faults, held_back = asyncio.get_running_loop(), self._faults, b""
        while True:
            header = await reader.readexactly(HEADER_BYTES)
            frame = header + await reader.readexactly(struct.unpack("<I", header[:4])[0])
            if self.is_cut or faults.strikes(0.5):
                continue  # lost: what comes behind it goes on
            if faults.strikes():
                await sleep_until(loop.time() + faults.delay_s())
            if not held_back and faults.strikes():
                held_back = frame  # behind the next one
                continue
            doubled = frame if faults.strikes() else b""
            await self._write(far, frame + held_back + doubled)
            held_back = b""

    async def _write(self, far: asyncio.StreamWriter, data: bytes) -> None:
        if self._faults.strikes(0.25):
            for offset in range(0, len(data), SLOW_CHUNK_BYTES):
                far.write(data[offset : offset + SLOW_CHUNK_BYTES])
                await asyncio.sleep(0)
        else:
            far.write(data)
        await far.drain()

    def reset(self) -> None:
        """End all its connections."""
        for connection in list(self._connections):
            connection.transport.abort()

    def close(self) -> None:
        """Listen no more, and end all connections."""
        self._server.close()
        self.reset()
