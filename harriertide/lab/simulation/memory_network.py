"""A network in memory, for programs in virtual time: connections, datagrams and listeners without sockets.

Transports take the place of asyncio's, and are called by the protocols that use them as those are.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

Address = tuple[str, int]
FIRST_PORT = 20_000


class Network:
    """Who listens where, and how long bytes take.

    :param delay: from one address to another, in seconds
    :param loses: whether it loses a datagram from one address to another
    """

    def __init__(
        self,
        delay: Callable[[Address, Address], float] = lambda here, there: 0.0,
        loses: Callable[[Address, Address], bool] = lambda here, there: False,
    ) -> None:
        self.delay = delay
        self.loses = loses
        self.listeners: dict[Address, Callable[[], Any]] = {}  # factories of protocols
        self.datagrams: dict[Address, MemoryDatagrams] = {}
        self._last_port = FIRST_PORT

    def address(self, host: str, port: int) -> Address:
        """Return this address, with a free port for 0."""
        if port:
            return host, port
        self._last_port += 1
        return host, self._last_port


class MemoryConnection(asyncio.Transport):
    """One side of a connection. What is written arrives in order after the network's delay.

    On its way, and until it is read, b"" is an end and None an abrupt end.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, here: Address, there: Address
    ) -> None:
        super().__init__()
        self._loop = loop
        self._network = network
        self._here = here
        self._there = there
        self._peer: MemoryConnection | None = None
        self._protocol: Any = None
        self._arriving: deque[tuple[float, bytes | None]] = deque()  # when, and what
        self._unread: deque[bytes | None] = deque()  # arrived while reading was paused
        self._is_paused = False
        self._is_closing = False
        self._has_sent_end = False
        self._is_lost = False

    def start(self, protocol: Any, peer: MemoryConnection) -> None:
        """Hand it to the protocol that uses it.

        :param peer: the other side
        """
        self._peer = peer
        self._protocol = protocol
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return an address, or a check for unread bytes or the other side's end; there is no socket."""
        checks = {"unread": self._has_unread, "ended": self._is_ended_by_peer}
        return {"peername": self._there, "sockname": self._here, **checks}.get(name, default)

    def _is_ended_by_peer(self) -> bool:
        """Whether the other side's end has come, maybe behind bytes that were not read."""
        now_s = self._loop.time()
        arrived = [data for at_s, data in self._arriving if at_s <= now_s]
        return not all([*self._unread, *arrived])

    def _has_unread(self) -> bool:
        return bool(self._unread or (self._arriving and self._arriving[0][0] <= self._loop.time()))

    # --- sending --------------------------------------------------------------------------------------

    def _send(self, data: bytes | None) -> None:
        if self._peer is not None:
            self._peer.expect(self._loop.time() + self._network.delay(self._here, self._there), data)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        if data and not (self._is_closing or self._has_sent_end):
            self._send(bytes(data))

    def write_eof(self) -> None:
        """Send an end, and go on reading."""
        if not (self._is_closing or self._has_sent_end):
            self._has_sent_end = True
            self._send(b"")

    def can_write_eof(self) -> bool:
        """Return True."""
        return True

    def get_write_buffer_size(self) -> int:
        """Return 0: all that is written is out at once."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: all that is written is out at once."""

    def is_closing(self) -> bool:
        """Whether it is closed, or about to be."""
        return self._is_closing

    def close(self) -> None:
        """Send an end, and close."""
        if not self._is_closing:
            if not self._has_sent_end:
                self._send(b"")
            self._is_closing = True
            self._loop.call_soon(self._lose, None)

    def abort(self) -> None:
        """Close at once; the other side sees a reset where bytes lie here unread."""
        if not self._is_closing:
            self._send(None if self._has_unread() else b"")
            self._is_closing = True
            self._loop.call_soon(self._lose, None)

    # --- receiving ------------------------------------------------------------------------------------

    def expect(self, at_s: float, data: bytes | None) -> None:
        """The other side has sent something, which arrives at that time, or behind what is on its way."""
        if self._arriving:
            at_s = max(at_s, self._arriving[-1][0])
        self._arriving.append((at_s, data))
        if at_s <= self._loop.time():
            self._loop.call_soon(self._arrive)
        else:
            self._loop.call_at(at_s, self._arrive)

    def pause_reading(self) -> None:
        """Keep what arrives."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Hand on what was kept."""
        self._is_paused = False
        self._loop.call_soon(self._read)

    def is_reading(self) -> bool:
        """Whether what arrives is handed on."""
        return not (self._is_paused or self._is_closing)

    def set_protocol(self, protocol: Any) -> None:
        """Hand what arrives to this one."""
        self._protocol = protocol

    def get_protocol(self) -> Any:
        """Return the protocol that uses it."""
        return self._protocol

    def _arrive(self) -> None:
        self._unread.append(self._arriving.popleft()[1])
        self._read()

    def _read(self) -> None:
        while self._unread and not (self._is_paused or self._is_closing or self._is_lost):
            data = self._unread.popleft()
            if data is None:
                self._is_closing = True
                self._loop.call_soon(self._lose, ConnectionResetError("reset by peer"))
            elif data:
                self._protocol.data_received(data)
            elif not self._protocol.eof_received():
                self.close()

    def _lose(self, fault: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._protocol.connection_lost(fault)


class MemoryDatagrams(asyncio.DatagramTransport):
    """An address for datagrams. What is sent to nobody is lost."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, here: Address, protocol: Any
    ) -> None:
        super().__init__()
        self._loop = loop
        self._network = network
        self._here = here
        self._protocol = protocol
        self._is_closing = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram, which may be lost."""
        receiver = self._network.datagrams.get(addr)
        if receiver is not None and not self._network.loses(self._here, addr):
            at_s = self._loop.time() + self._network.delay(self._here, addr)
            self._loop.call_at(at_s, receiver.receive, bytes(data), self._here)

    def receive(self, data: bytes, sender: Address) -> None:
        """Hand a datagram to the protocol."""
        self._protocol.datagram_received(data, sender)

    def is_closing(self) -> bool:
        """Whether it is closed."""
        return self._is_closing

    def close(self) -> None:
        """Receive nothing any more."""
        self._is_closing = True
        if self._network.datagrams.pop(self._here, None) is not None:
            self._loop.call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        """Close."""
        self.close()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return its address; there is no socket."""
        return {"sockname": self._here}.get(name, default)


class _NamedSocket:
    """In place of a listening socket: its address."""

    def __init__(self, address: Address) -> None:
        self._address = address

    def getsockname(self) -> Address:
        return self._address


class MemoryServer:
    """A listener.

    :param bound: a socket of the program's that it listens on; only its address is used
    """

    def __init__(self, network: Network, address: Address, bound: socket.socket | None) -> None:
        self._network = network
        self._address = address
        self._bound = bound
        self.sockets = (_NamedSocket(address),)

    def close(self) -> None:
        """Take no connections any more; those that were taken go on."""
        self._network.listeners.pop(self._address, None)
        if self._bound is not None:
            self._bound.close()

    async def wait_closed(self) -> None:
        """Do nothing: connections that were taken go on."""

    def is_serving(self) -> bool:
        """Whether it takes connections."""
        return self._address in self._network.listeners
