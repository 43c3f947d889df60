"""An event loop whose clock moves only when nothing is left to do, on a network in memory.

The whole program runs on it unchanged, its HTTP included: minutes pass in seconds, and one seed gives one
run. Nothing leaves the process. What is bound to an address here is found here only.
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
WALL_US = 1_700_000_000_000_000  # the wall clock at the begin of a run, in Unix microseconds


class NothingLeftError(RuntimeError):
    """All tasks wait for something that can't happen any more."""


class _VirtualClock(selectors.SelectSelector):
    """In place of waiting for sockets it moves the time on."""

    now_ns = 1_000_000_000

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise NothingLeftError("no timer is set and nothing is ready")
        if timeout > 0:
            self.now_ns += ceil(timeout * 1e9)
        return []


class _Timer(asyncio.TimerHandle):
    """Of several at one moment the one set first goes first; a heap alone would take any of them."""

    __slots__ = ("place",)
    place: int

    def __lt__(self, other: _Timer) -> bool:  # type: ignore[override]
        return (self.when(), self.place) < (other.when(), other.place)


class Loop(asyncio.SelectorEventLoop):
    """The event loop of one simulation."""

    def __init__(self, network: Network | None = None) -> None:
        self._clock = _VirtualClock()
        self.network = network or Network()
        self._dialled: dict[int, Address] = {}  # by descriptor of a socket that connects
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
        timer.place = self._timer_count
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
        """Remember where a socket was connected to: create_connection takes it from there."""
        await self._reach(address[:2])
        self._dialled[sock.fileno()] = address[:2]

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **named: Any
    ) -> Any:
        """Connect to a listener in memory."""
        bound: socket.socket | None = named.get("sock")
        if bound is None:
            there = (host, port)
            await self._reach(there)
        else:
            there = self._dialled.pop(bound.fileno())
            bound.close()
        factory = self.network.listeners.get(there)
        if factory is None:
            raise ConnectionRefusedError(111, "nobody listens there")
        here = self.network.address("127.0.0.1", 0)
        near = MemoryConnection(self, self.network, here, there)
        far = MemoryConnection(self, self.network, there, here)
        far.start(factory(), near)
        protocol = protocol_factory()
        near.start(protocol, far)
        return near, protocol

    async def _reach(self, there: Address) -> None:
        """There and back."""
        trip_s = 2 * self.network.delay(("127.0.0.1", 0), there)
        if trip_s > 0:
            await asyncio.sleep(trip_s)
        if there not in self.network.listeners:
            raise ConnectionRefusedError(111, "nobody listens there")

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
