"""An event loop whose clock moves only when nothing is left to do, on a network in memory.

The whole program runs on it unchanged, its HTTP included: minutes pass in seconds, and one seed gives one
run. Nothing leaves the process. What is bound to an address here is found here only.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from heapq import heappush
from math import ceil
from typing import Any, TypeVar

T = TypeVar("T")
Address = tuple[str, int]
WALL_US = 1_700_000_000_000_000
FIRST_PORT = 20_000


class NothingLeftError(RuntimeError):
    """All tasks wait for something that can't happen any more."""


class _Clock(selectors.SelectSelector):
    """In place of waiting for sockets it moves the time on."""

    now_ns = 1_000_000_000

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise NothingLeftError("no timer is set and nothing is ready")
        if timeout > 0:
            self.now_ns += ceil(timeout * 1e9)
        return []


class Network:
    """Who listens where, and how long bytes take.

    delay: from one address to another, in seconds. loses: whether it loses a datagram from one to another.
    """

    def __init__(
        self,
        delay: Callable[[Address, Address], float] = lambda here, there: 0.0,
        loses: Callable[[Address, Address], bool] = lambda here, there: False,
    ) -> None:
        self.delay, self.loses = delay, loses
        self.doors: dict[Address, Callable[[], Any]] = {}
        self.datagrams: dict[Address, Datagrams] = {}
        self._port = FIRST_PORT

    def address(self, host: str, port: int) -> Address:
        """This address, with a free port for 0."""
        if port:
            return host, port
        self._port += 1
        return host, self._port


class Pipe(asyncio.Transport):
    """One side of a connection in memory. What is written arrives in order after the network's delay."""

    def __init__(self, loop: Loop, here: Address, there: Address) -> None:
        super().__init__()
        self._loop, self._here, self._there = loop, here, there
        self.peer: Pipe | None = None
        self._protocol: Any = None
        self._coming: deque[tuple[float, bytes | None]] = deque()  # None: an abrupt end; b"": an end
        self._held: deque[bytes | None] = deque()  # arrived while reading was paused
        self._paused = self._closing = self._ended = self._lost = False

    def begin(self, protocol: Any) -> None:
        """Hand it to who uses it."""
        self._protocol = protocol
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Addresses, and whether something lies here unread; there is no socket."""
        found = {"peername": self._there, "sockname": self._here, "unread": self._unread}
        found["ended"] = self._over
        return found.get(name, default)

    def _over(self) -> bool:
        """Whether the other side's end has come, maybe behind bytes that were not read."""
        now = self._loop.time()
        return not all([*self._held, *(data for at, data in self._coming if at <= now)])

    def _unread(self) -> bool:
        return bool(self._held or (self._coming and self._coming[0][0] <= self._loop.time()))

    # --- sending -------------------------------------------------------------------------------

    def _tell(self, what: bytes | None) -> None:
        peer = self.peer
        if peer is None:
            return
        at = self._loop.time() + self._loop.network.delay(self._here, self._there)
        if peer._coming:
            at = max(at, peer._coming[-1][0])
        peer._coming.append((at, what))
        if at <= self._loop.time():
            self._loop.call_soon(peer._arrive)
        else:
            self._loop.call_at(at, peer._arrive)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if data and not (self._closing or self._ended):
            self._tell(bytes(data))

    def write_eof(self) -> None:
        if not (self._closing or self._ended):
            self._ended = True
            self._tell(b"")

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """All that is written is out at once."""

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        if not self._closing:
            if not self._ended:
                self._tell(b"")
            self._closing = True
            self._loop.call_soon(self._lose, None)

    def abort(self) -> None:
        if not self._closing:
            self._tell(None if self._unread() else b"")
            self._closing = True
            self._loop.call_soon(self._lose, None)

    # --- receiving -----------------------------------------------------------------------------

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        self._loop.call_soon(self._read)

    def is_reading(self) -> bool:
        return not (self._paused or self._closing)

    def set_protocol(self, protocol: Any) -> None:
        self._protocol = protocol

    def get_protocol(self) -> Any:
        return self._protocol

    def _arrive(self) -> None:
        self._held.append(self._coming.popleft()[1])
        self._read()

    def _read(self) -> None:
        while self._held and not (self._paused or self._closing or self._lost):
            what = self._held.popleft()
            if what is None:
                self._closing = True
                self._loop.call_soon(self._lose, ConnectionResetError("reset by peer"))
            elif what:
                self._protocol.data_received(what)
            elif not self._protocol.eof_received():
                self.close()

    def _lose(self, fault: Exception | None) -> None:
        if not self._lost:
            self._lost = True
            self._protocol.connection_lost(fault)


class Datagrams(asyncio.DatagramTransport):
    """A place for datagrams. What is sent to nobody is lost."""

    def __init__(self, loop: Loop, here: Address, protocol: Any) -> None:
        super().__init__()
        self._loop, self.here, self._protocol, self._closing = loop, here, protocol, False

    def sendto(self, data: Any, addr: Any = None) -> None:
        there = self._loop.network.datagrams.get(addr)
        if there is not None and not self._loop.network.loses(self.here, addr):
            at = self._loop.time() + self._loop.network.delay(self.here, addr)
            self._loop.call_at(at, there._protocol.datagram_received, bytes(data), self.here)

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        self._closing = True
        if self._loop.network.datagrams.pop(self.here, None) is not None:
            self._loop.call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"sockname": self.here}.get(name, default)


class _Name:
    def __init__(self, address: Address) -> None:
        self._address = address

    def getsockname(self) -> Address:
        return self._address


class Server:
    """A listener in memory."""

    def __init__(self, loop: Loop, at: Address, bound: socket.socket | None) -> None:
        self._loop, self._at, self._bound = loop, at, bound  # of bound only the address is used
        self.sockets = (_Name(at),)

    def close(self) -> None:
        self._loop.network.doors.pop(self._at, None)
        if self._bound is not None:
            self._bound.close()

    async def wait_closed(self) -> None:
        """Connections that were taken go on."""

    def is_serving(self) -> bool:
        return self._at in self._loop.network.doors


class _Timer(asyncio.TimerHandle):
    """Of several at one moment the one set first goes first; a heap alone would take any of them."""

    __slots__ = ("place",)
    place: int

    def __lt__(self, other: _Timer) -> bool:  # type: ignore[override]
        return (self.when(), self.place) < (other.when(), other.place)


class Loop(asyncio.SelectorEventLoop):
    """The event loop of one simulated plant."""

    def __init__(self, network: Network | None = None) -> None:
        self._virtual = _Clock()
        self.network = network or Network()
        self._dialled: dict[int, Address] = {}
        self._timers = 0
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now_ns / 1e9

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        timer = _Timer(when, callback, args, self, context)
        self._timers += 1
        timer.place = self._timers
        heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    def wall_us(self) -> int:
        """The wall's time, the same in every run."""
        return WALL_US + self._virtual.now_ns // 1000

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **named: Any
    ) -> Any:
        bound: socket.socket | None = named.get("sock")
        at = self.network.address(host, port) if bound is None else bound.getsockname()[:2]
        if at in self.network.doors:
            raise OSError(98, "address in use")
        self.network.doors[at] = protocol_factory
        return Server(self, at, bound)

    async def sock_connect(self, sock: Any, address: Any) -> None:
        await self._reach(address[:2])
        self._dialled[sock.fileno()] = address[:2]

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **named: Any
    ) -> Any:
        bound: socket.socket | None = named.get("sock")
        if bound is None:
            there = (host, port)
            await self._reach(there)
        else:
            there = self._dialled.pop(bound.fileno())
            bound.close()
        factory = self.network.doors.get(there)
        if factory is None:
            raise ConnectionRefusedError(111, "nobody listens there")
        here = self.network.address("127.0.0.1", 0)
        near, far = Pipe(self, here, there), Pipe(self, there, here)
        near.peer, far.peer = far, near
        far.begin(factory())
        protocol = protocol_factory()
        near.begin(protocol)
        return near, protocol

    async def _reach(self, there: Address) -> None:
        """There and back."""
        trip = 2 * self.network.delay(("127.0.0.1", 0), there)
        if trip > 0:
            await asyncio.sleep(trip)
        if there not in self.network.doors:
            raise ConnectionRefusedError(111, "nobody listens there")

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **named: Any
    ) -> Any:
        at = self.network.address(*local_addr)
        if at in self.network.datagrams:
            raise OSError(98, "address in use")
        protocol = protocol_factory()
        transport = self.network.datagrams[at] = Datagrams(self, at, protocol)
        protocol.connection_made(transport)
        return transport, protocol


def run(main: Coroutine[Any, Any, T], network: Network | None = None) -> T:
    """As asyncio.run, on a loop of this kind."""
    with asyncio.Runner(loop_factory=lambda: Loop(network)) as runner:
        return runner.run(main)
