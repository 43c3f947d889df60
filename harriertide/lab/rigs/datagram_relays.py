"""Relays between brokers for datagrams, and from each broker to the storage node for connections."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random
from typing import Any

from harriertide.lab.rigs.fault_script import HOST

SHORTEST_DELAY_S, LONGEST_DELAY_S = 0.0014, 0.035
DOUBLED_RATIO = 0.05
READ_BYTES = 65_536


class DatagramRelay(asyncio.DatagramProtocol):
    """From one broker to another, as seen by the sender: what comes here is passed on, or lost.

    The receiver must see it come from where it sends its own to the sender, so it leaves by the relay of the
    way back.
    """

    def __init__(self, relays: Relays, sender: int, receiver: int) -> None:
        self._relays = relays
        self._sender = sender
        self._receiver = receiver
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        """Take the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on late, once or twice, or lose it."""
        relays = self._relays
        if (self._sender, self._receiver) in relays.cut or relays.random.random() < relays.loss_ratio:
            return
        loop = asyncio.get_running_loop()
        back = relays.datagrams[self._receiver, self._sender].transport
        copies = 1 + (relays.random.random() < DOUBLED_RATIO)
        for _ in range(copies):
            delay_s = relays.random.uniform(SHORTEST_DELAY_S, LONGEST_DELAY_S)
            loop.call_later(delay_s, self._deliver, back, data)

    def _deliver(self, back: asyncio.DatagramTransport, data: bytes) -> None:
        if not back.is_closing():
            back.sendto(data, (HOST, self._relays.peer_ports[self._receiver]))


class Relays:
    """All relays of a rig.

    cut: links between brokers on which datagrams are lost. silent: brokers whose way to the node is silent.

    :param peer_ports: where each broker hears the others
    """

    def __init__(self, seed: int, peer_ports: list[int]) -> None:
        self.random = Random(seed)
        self.peer_ports = peer_ports
        self.loss_ratio = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.silent: set[int] = set()
        self.datagrams: dict[tuple[int, int], DatagramRelay] = {}
        self._connections: dict[int, set[asyncio.StreamWriter]] = {}
        self._servers: list[asyncio.Server] = []

    async def open(self) -> None:
        """Open the relays of datagrams; where each broker finds the others is known then."""
        loop, number = asyncio.get_running_loop(), len(self.peer_ports)
        for a in range(number):
            for b in (b for b in range(number) if b != a):
                relay = DatagramRelay(self, a, b)
                await loop.create_datagram_endpoint(lambda relay=relay: relay, local_addr=(HOST, 0))  # type: ignore[misc]
                self.datagrams[a, b] = relay

    def peers(self, place: int) -> list[str]:
        """Return the peer list of a broker's configuration."""

        def port(other: int) -> int:
            if other == place:
                return self.peer_ports[place]
            return int(self.datagrams[place, other].transport.get_extra_info("sockname")[1])

        return [f"{HOST}:{port(other)}" for other in range(len(self.peer_ports))]

    async def open_to_node(self, place: int, node_port: int) -> int:
        """Open a broker's way to the node, and return the port by which it dials it."""
        connections = self._connections[place] = set()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.add(writer)
            far: asyncio.StreamWriter | None = None
            with suppress(ConnectionError, OSError, asyncio.CancelledError):
                far_reader, far = await asyncio.open_connection(HOST, node_port)
                there, back = self._copy(place, reader, far), self._copy(place, far_reader, writer)
                await asyncio.gather(there, back)
            for end in (writer, far):
                if end is not None:
                    end.transport.abort()
            connections.discard(writer)

        server = await asyncio.start_server(serve, HOST, 0)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def _copy(self, place: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            if place not in self.silent:
                writer.write(data)
        writer.write_eof()

    def reset(self, place: int) -> None:
        """End all connections of a broker to the node."""
        for connection in list(self._connections[place]):
            connection.transport.abort()

    def close(self) -> None:
        """Close all relays."""
        for relay in self.datagrams.values():
            relay.transport.close()
        for server in self._servers:
            server.close()
        for place in self._connections:
            self.reset(place)
