"""An event loop in virtual time, on a network in memory: its clock jumps to the next timer once all is idle.

The whole program runs on it unchanged, its HTTP included: minutes pass in seconds, and one seed gives one
run. Nothing leaves the process: an address that is bound here can be reached from this loop only.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
from collections.abc import Coroutine
from contextvars import Context
from heapq import heappush
from math import ceil
from typing import Any, TypeVar

from harriertide.lab.simulation.memory_network import (
    Address,
    MemoryConnection,
    MemoryDatagrams,
    MemoryServer,
    Network,
)

T = TypeVar("T")
WALL_US = 1_700_000_000_000_000  # the wall clock at the start of a run, in Unix microseconds


class DeadlockError(RuntimeError):
    """All tasks wait, and no timer is set that could wake one."""


class _VirtualClock(selectors.SelectSelector):
    """A selector that advances the clock to the next timer in place of waiting for sockets."""

    now_ns = 1_000_000_000

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise DeadlockError("no timer is set and nothing is ready")
        if timeout > 0:
            self.now_ns += ceil(timeout * 1e9)
        return []


class _Timer(asyncio.TimerHandle):
    """Ordered by time, then by the order in which timers were set, which a heap alone does not keep."""

    __slots__ = ("sequence_number",)
    sequence_number: int

    def __lt__(self, other: _Timer) -> bool:  # type: ignore[override]
        return (self.when(), self.sequence_number) < (other.when(), other.sequence_number)


class Loop(asyncio.SelectorEventLoop):
    """The event loop of one simulation."""

    simulates_network = True  # listening sockets are represented by `create_server` alone

    def __init__(self, network: Network | None = None) -> None:
        self._clock = _VirtualClock()
        self.network = network or Network()
        self._connected_to: dict[int, Address] = {}  # by descriptor of a socket
        self._timer_count = 0
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._clock.now_ns / 1e9

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Call at a time of this loop; calls for one moment come in the order in which they were set."""
        timer = _Timer(when, callback, args, self, context)
        self._timer_count += 1
        timer.sequence_number = self._timer_count
        # asyncio offers no way to order timers: this is what its own call_at does.
        heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]  # noqa: SLF001
        return timer

    def wall_us(self) -> int:
        """Return the wall clock, in Unix microseconds: the same in every run."""
        return WALL_US + self._clock.now_ns // 1000

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **named: Any
    ) -> Any:
        """Listen in memory."""
        bound: socket.socket | None = named.get("sock")
        at = self.network.address(host, port) if bound is None else bound.getsockname()[:2]
        if at in self.network.listeners:
            raise OSError(98, "address in use")
        self.network.listeners[at] = protocol_factory
        return MemoryServer(self.network, at, bound)

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Remember the address for create_connection, which is handed the socket."""
        await self._wait_for_handshake(address[:2])
        self._connected_to[sock.fileno()] = address[:2]

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **named: Any
    ) -> Any:
        """Connect to a listener in memory."""
        bound: socket.socket | None = named.get("sock")
        if bound is None:
            remote = (host, port)
            await self._wait_for_handshake(remote)
        else:
            remote = self._connected_to.pop(bound.fileno())
            bound.close()
        factory = self.network.listeners.get(remote)
        if factory is None:
            raise ConnectionRefusedError(111, "connection refused")
        local = self.network.address("127.0.0.1", 0)
        client = MemoryConnection(self, self.network, local, remote)
        server = MemoryConnection(self, self.network, remote, local)
        server.start(factory(), client)
        protocol = protocol_factory()
        client.start(protocol, server)
        return client, protocol

    async def _wait_for_handshake(self, remote: Address) -> None:
        """Wait one round trip.

        :raises ConnectionRefusedError: nobody listens at that address
        """
        round_trip_s = 2 * self.network.delay(("127.0.0.1", 0), remote)
        if round_trip_s > 0:
            await asyncio.sleep(round_trip_s)
        if remote not in self.network.listeners:
            raise ConnectionRefusedError(111, "connection refused")

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **named: Any
    ) -> Any:
        """Bind an address for datagrams in memory."""
        at = self.network.address(*local_addr)
        if at in self.network.datagrams:
            raise OSError(98, "address in use")
        protocol = protocol_factory()
        transport = self.network.datagrams[at] = MemoryDatagrams(self, self.network, at, protocol)
        protocol.connection_made(transport)
        return transport, protocol


def run(main: Coroutine[Any, Any, T], network: Network | None = None) -> T:
    """Run a coroutine as asyncio.run does, on a loop of this kind."""
    with asyncio.Runner(loop_factory=lambda: Loop(network)) as runner:
        return runner.run(main)
