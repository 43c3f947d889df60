"""Nodes that read their connections late and in a random order, and look for duplicate attempts.

They run in a process of their own, as machines short of processor time would.
"""

from __future__ import annotations

import random
import select
import socket
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum, auto
from multiprocessing.connection import Connection

NODE_COUNT = 4
LISTEN_BACKLOG = 512
POLL_S = 0.5
READ_BYTES = 65536
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # struct linger: on, for 0 s
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata"
INCOMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndata"
ERROR_RESPONSE = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
REJECTION = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


class Disposition(Enum):
    """What becomes of a connection after the response."""

    KEEP = auto()  # it waits for the next request
    CLOSE = auto()
    HALF_CLOSE = auto()  # no more is written; it is read on
    RESET = auto()
    LEAVE = auto()  # nothing is done: the broker has to end the attempt


@dataclass(frozen=True, slots=True)
class Ending:
    """How a node ends an attempt.

    :ivar weight: how often, in parts of the sum of all weights
    """

    weight: int
    response: bytes
    disposition: Disposition


# By the name under which an ending is counted and reported.
ENDINGS: dict[str, Ending] = {
    "whole": Ending(40, COMPLETE_RESPONSE, Disposition.KEEP),
    "whole, closed": Ending(5, COMPLETE_RESPONSE, Disposition.CLOSE),
    "error": Ending(8, ERROR_RESPONSE, Disposition.KEEP),
    "turned away": Ending(8, REJECTION, Disposition.KEEP),
    "nothing, closed": Ending(5, b"", Disposition.CLOSE),
    "nothing, half closed": Ending(8, b"", Disposition.HALF_CLOSE),
    "part, half closed": Ending(8, INCOMPLETE_RESPONSE, Disposition.HALF_CLOSE),
    "part, reset": Ending(5, INCOMPLETE_RESPONSE, Disposition.RESET),
    "part, left so": Ending(4, INCOMPLETE_RESPONSE, Disposition.LEAVE),
    "silent": Ending(2, b"", Disposition.LEAVE),
    "spoilt": Ending(5, b"\x00\xff no answer\r\n\r\n", Disposition.LEAVE),
    "surplus": Ending(2, COMPLETE_RESPONSE + COMPLETE_RESPONSE, Disposition.LEAVE),
}


@dataclass(slots=True, eq=False)
class _BrokerConnection:
    """A broker's connection at a node.

    :ivar open_request_id: of the attempt that is open on it; "" for none
    :ivar ending_name: of the last attempt on it
    """

    socket: socket.socket
    received: bytes = b""
    open_request_id: str = ""
    ending_name: str = ""

    def take_request(self) -> str | None:
        """The id of the next request that was received to its last byte; None where there is none."""
        if b"\r\n\r\n" not in self.received:
            return None
        head, _, rest = self.received.partition(b"\r\n\r\n")
        length = int((head.partition(b"Content-Length: ")[2] or b"0").split(b"\r\n")[0])
        if len(rest) < length:
            return None
        self.received = rest[length:]
        return head.partition(b"X-Call-Id: ")[2].split(b"\r\n")[0].decode()

    def has_unread_end(self) -> bool:
        """Whether the end of the connection lies unread in its socket: the broker has closed it."""
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def send(self, ending: Ending) -> bool:
        """Send an ending's response; whether the connection is read on."""
        try:
            self.socket.send(ending.response)
            if ending.disposition is Disposition.HALF_CLOSE:
                self.socket.shutdown(socket.SHUT_WR)
            elif ending.disposition is Disposition.RESET:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            return False
        return ending.disposition not in (Disposition.CLOSE, Disposition.RESET)


@dataclass(slots=True)
class LateReadingNodes:
    """All nodes of the experiment, on one thread.

    :ivar mean_delay_s: mean time between two looks at the sockets
    :ivar counts: attempts, their endings by name, and duplicate attempts: "unread" where one of the two
        connections had been closed by the broker, "open" where not; and "... after ENDING" for each
    """

    seed: int
    mean_delay_s: float
    counts: Counter[str] = field(default_factory=Counter)
    _random: random.Random = field(init=False)
    _connections: dict[int, _BrokerConnection] = field(default_factory=dict)  # by file descriptor
    _open_attempts: dict[str, set[_BrokerConnection]] = field(default_factory=dict)  # by request id

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def run(self, pipe: Connection) -> None:
        """Send the nodes' ports, serve until something comes through the pipe, then send the counts."""
        listeners = [
            socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG) for _ in range(NODE_COUNT)
        ]
        pipe.send([listener.getsockname()[1] for listener in listeners])
        poll = select.epoll()
        listeners_by_fd = {listener.fileno(): listener for listener in listeners}
        for descriptor in (*listeners_by_fd, pipe.fileno()):
            poll.register(descriptor, select.EPOLLIN)
        while True:
            time.sleep(self._random.expovariate(1 / self.mean_delay_s) if self.mean_delay_s else 0)
            ready = [descriptor for descriptor, _ in poll.poll(POLL_S)]
            self._random.shuffle(ready)
            for descriptor in ready:
                if descriptor == pipe.fileno():
                    with suppress(OSError, EOFError):  # the other process has failed: end with it
                        pipe.recv()
                        pipe.send(dict(self.counts))
                    return
                if descriptor in listeners_by_fd:
                    self._accept(listeners_by_fd[descriptor], poll)
                elif descriptor in self._connections:
                    self._serve(descriptor, poll)

    def _accept(self, listener: socket.socket, poll: select.epoll) -> None:
        accepted, _ = listener.accept()
        accepted.setblocking(False)
        self._connections[accepted.fileno()] = _BrokerConnection(accepted)
        poll.register(accepted.fileno(), select.EPOLLIN)

    def _serve(self, descriptor: int, poll: select.epoll) -> None:
        connection = self._connections[descriptor]
        if not self._read(connection):
            self._close_attempt(connection)
            del self._connections[descriptor]
            poll.unregister(descriptor)
            connection.socket.close()

    def _read(self, connection: _BrokerConnection) -> bool:
        """Read all that has come, and answer it; False at the end of the connection."""
        while True:
            try:
                data = connection.socket.recv(READ_BYTES)
            except BlockingIOError:
                return True
            except OSError:
                return False
            if not data:
                return False
            connection.received += data
            while (request_id := connection.take_request()) is not None:
                if not self._answer_attempt(connection, request_id):
                    return False

    def _answer_attempt(self, connection: _BrokerConnection, request_id: str) -> bool:
        """Count an attempt and its duplicates, and end it in a random way; whether to read on."""
        self.counts["attempts"] += 1
        self._close_attempt(connection)
        duplicates = self._open_attempts.setdefault(request_id, set())
        for duplicate in duplicates:
            is_closed = duplicate.has_unread_end() or connection.has_unread_end()
            count_name = "unread" if is_closed else "open"
            self.counts.update((count_name, f"{count_name} after {duplicate.ending_name}"))
        duplicates.add(connection)
        connection.open_request_id = request_id
        names = list(ENDINGS)
        name = self._random.choices(names, [ENDINGS[each].weight for each in names])[0]
        connection.ending_name = name
        self.counts[name] += 1
        reads_on = connection.send(ENDINGS[name])
        if reads_on and ENDINGS[name].disposition is Disposition.KEEP:
            self._close_attempt(connection)
        return reads_on

    def _close_attempt(self, connection: _BrokerConnection) -> None:
        request_id = connection.open_request_id
        if not request_id:
            return
        self._open_attempts[request_id].discard(connection)
        if not self._open_attempts[request_id]:
            del self._open_attempts[request_id]
        connection.open_request_id = ""
