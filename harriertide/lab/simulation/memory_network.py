"""A network in memory, for programs in virtual time: connections, datagrams and listeners without sockets.

Its transports have asyncio's interface, and the same protocols run on them.
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
        delay: Callable[[Address, Address], float] = lambda local, remote: 0.0,
        loses: Callable[[Address, Address], bool] = lambda local, remote: False,
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
    """One end of a connection. What is written arrives in order after the network's delay.

    In transit, and until it is read, b"" stands for the end of the stream and None for a reset.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, local: Address, remote: Address
    ) -> None:
        super().__init__()
        self._loop = loop
        self._network = network
        self._local = local
        self._remote = remote
        self._peer: MemoryConnection | None = None
        self._protocol: Any = None
        self._arriving: deque[tuple[float, bytes | None]] = deque()  # in transit: arrival time, data
        self._unread: deque[bytes | None] = deque()  # arrived while reading was paused
        self._is_paused = False
        self._is_closing = False
        self._has_sent_end = False
        self._is_lost = False

    def start(self, protocol: Any, peer: MemoryConnection) -> None:
        """Attach the protocol that uses it.

        :param peer: the other end
        """
        self._peer = peer
        self._protocol = protocol
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return an address, or a check for unread bytes or the end of the peer's stream."""
        checks = {"unread": self._has_unread, "ended": self._is_ended_by_peer}
        return {"peername": self._remote, "sockname": self._local, **checks}.get(name, default)

    def _is_ended_by_peer(self) -> bool:
        """Whether the end of the peer's stream has arrived, perhaps behind unread bytes."""
        now_s = self._loop.time()
        arrived = [data for at_s, data in self._arriving if at_s <= now_s]
        return not all([*self._unread, *arrived])

    def _has_unread(self) -> bool:
        return bool(self._unread or (self._arriving and self._arriving[0][0] <= self._loop.time()))

    # --- sending --------------------------------------------------------------------------------------

    def _send(self, data: bytes | None) -> None:
        if self._peer is not None:
            at_s = self._loop.time() + self._network.delay(self._local, self._remote)
            self._peer.schedule_arrival(at_s, data)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        if data and not (self._is_closing or self._has_sent_end):
            self._send(bytes(data))

    def write_eof(self) -> None:
        """End the stream that is sent; reading continues."""
        if not (self._is_closing or self._has_sent_end):
            self._has_sent_end = True
            self._send(b"")

    def can_write_eof(self) -> bool:
        """Return True."""
        return True

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing that is written stays in a buffer."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: nothing that is written stays in a buffer."""

    def is_closing(self) -> bool:
        """Whether it is closed, or about to be."""
        return self._is_closing

    def close(self) -> None:
        """End the stream that is sent, and close."""
        if not self._is_closing:
            if not self._has_sent_end:
                self._send(b"")
            self._is_closing = True
            self._loop.call_soon(self._report_lost, None)

    def abort(self) -> None:
        """Close at once; the peer sees a reset where bytes are unread here."""
        if not self._is_closing:
            self._send(None if self._has_unread() else b"")
            self._is_closing = True
            self._loop.call_soon(self._report_lost, None)

    # --- receiving ------------------------------------------------------------------------------------

    def schedule_arrival(self, at_s: float, data: bytes | None) -> None:
        """The peer has sent something, which arrives at that time, or behind what is in transit."""
        if self._arriving:
            at_s = max(at_s, self._arriving[-1][0])
        self._arriving.append((at_s, data))
        if at_s <= self._loop.time():
            self._loop.call_soon(self._arrive)
        else:
            self._loop.call_at(at_s, self._arrive)

    def pause_reading(self) -> None:
        """Buffer what arrives."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Hand what was buffered to the protocol."""
        self._is_paused = False
        self._loop.call_soon(self._read)

    def is_reading(self) -> bool:
        """Whether what arrives is handed to the protocol."""
        return not (self._is_paused or self._is_closing)

    def set_protocol(self, protocol: Any) -> None:
        """Replace the protocol that uses it."""
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
                self._loop.call_soon(self._report_lost, ConnectionResetError("reset by peer"))
            elif data:
                self._protocol.data_received(data)
            elif not self._protocol.eof_received():
                self.close()

    def _report_lost(self, error: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._protocol.connection_lost(error)


class MemoryDatagrams(asyncio.DatagramTransport):
    """A datagram socket. What is sent to an address that nobody has bound is lost."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, local: Address, protocol: Any
    ) -> None:
        super().__init__()
        self._loop = loop
        self._network = network
        self._local = local
        self._protocol = protocol
        self._is_closing = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram, which may be lost."""
        receiver = self._network.datagrams.get(addr)
        if receiver is not None and not self._network.loses(self._local, addr):
            at_s = self._loop.time() + self._network.delay(self._local, addr)
            self._loop.call_at(at_s, receiver.receive, bytes(data), self._local)

    def receive(self, data: bytes, sender: Address) -> None:
        """Hand a datagram to the protocol."""
        self._protocol.datagram_received(data, sender)

    def is_closing(self) -> bool:
        """Whether it is closed."""
        return self._is_closing

    def close(self) -> None:
        """Stop receiving."""
        self._is_closing = True
        if self._network.datagrams.pop(self._local, None) is not None:
            self._loop.call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        """Close."""
        self.close()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return its address; there is no socket."""
        return {"sockname": self._local}.get(name, default)


class _NamedSocket:
    """Stands in for a listening socket: it has an address only."""

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
        """Stop accepting connections; those that were accepted stay open."""
        self._network.listeners.pop(self._address, None)
        if self._bound is not None:
            self._bound.close()

    async def wait_closed(self) -> None:
        """Do nothing: accepted connections stay open."""

    def is_serving(self) -> bool:
        """Whether it accepts connections."""
        return self._address in self._network.listeners
