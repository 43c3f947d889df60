"""All connections of clients, of all listeners: how many there may be, and how long one may do nothing."""

from __future__ import annotations

import asyncio
from collections import Counter

from harriertide.http.client_connection import ClientConnection, ConnectionState
from harriertide.http.limits import Limits
from harriertide.http.socket_state import has_unread_input

IDLE_TIMEOUT_S = 15.0  # kept after a response
SCARCE_IDLE_TIMEOUT_S = 2.0  # kept after a response, while connections are scarce
# Of the limit: from here on connections are scarce, as clients may keep a third of all descriptors open.
SCARCE_RATIO = 0.3
LINGER_TIMEOUT_S = 0.3  # for the client to read its last response, and to end its side
UNREAD_RESPONSE_TIMEOUT_S = 10.0  # for a response that its client does not read
SWEEP_INTERVAL_S = 0.1
# So long a connection may still bring a request, whose response tells the client to reconnect elsewhere.
RETIRE_DELAY_S = 1.0
RETIRE_SILENT_TIMEOUT_S = 0.25  # for the first request on a connection that is accepted after that

# Whom a new connection goes before when there are too many, in order: state, and time in it. It guards
# against a crowd that connects at once and sends nothing, or half a request: none of them has been there for
# long.
_EVICTION_ORDER: tuple[tuple[ConnectionState, float], ...] = (
    ("lingering", 0.0),
    ("silent", 0.25),
    ("idle", SCARCE_IDLE_TIMEOUT_S),
    ("silent", 0.02),
    ("idle", 0.0),
    ("reading", 0.5),
)
# For a new connection on which a request lies already.
_EVICTION_ORDER_FOR_REQUEST: tuple[tuple[ConnectionState, float], ...] = (
    *_EVICTION_ORDER,
    ("silent", 0.0),
    ("reading", 0.0),
)


class ConnectionTable:
    """The connections by state, the longest in its state first."""

    def __init__(self, limits: Limits) -> None:
        self.apply_limits(limits)
        self.counts: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._by_state: dict[ConnectionState, dict[ClientConnection, None]] = {
            "silent": {}, "reading": {}, "busy": {}, "idle": {}, "lingering": {},
        }  # fmt: skip
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._retire_at: float | None = None  # by the loop's clock; None: clients are not sent away

    def apply_limits(self, limits: Limits) -> None:
        """Go by these limits from now on."""
        self.max_connections = limits.max_client_connections
        self.max_unsent_bytes = limits.max_buffered_response_bytes

    def __len__(self) -> int:
        return sum(map(len, self._by_state.values()))

    def in_state(self, state: ConnectionState) -> list[ClientConnection]:
        """The connections in one state, the longest in it first."""
        return list(self._by_state[state])

    def admit(self, connection: ClientConnection) -> None:
        """Add a new connection. At the limit, evict one that does nothing, or else close the new one."""
        self.counts["accepted"] += 1
        is_full = len(self) >= self.max_connections
        connection.since = self._loop.time()
        self._by_state["silent"][connection] = None
        if is_full and not self._evict_one(has_unread_input(connection.transport)):
            self.counts["turned_away"] += 1
            connection.drop()
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_at(connection.since + SWEEP_INTERVAL_S, self._sweep)

    def remove(self, connection: ClientConnection) -> None:
        """A connection is closed."""
        self._by_state[connection.state].pop(connection, None)

    def set_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Put a connection into another state.

        What is read first on it counts from when it was accepted: a client can't win time with a first byte.
        """
        if self._by_state[connection.state].pop(connection, connection) is connection:
            return  # it was removed
        if (connection.state, state) != ("silent", "reading"):
            connection.since = self._loop.time()
        connection.state = state
        self._by_state[state][connection] = None

    def set_retiring(self, is_retiring: bool) -> None:
        """Say whether clients are sent away: RETIRE_DELAY_S later connections without a request are ended."""
        if not is_retiring:
            self._retire_at = None
        elif self._retire_at is None:
            self._retire_at = self._loop.time() + RETIRE_DELAY_S

    # --- closing -------------------------------------------------------------------------------

    def _evict_one(self, for_request: bool) -> bool:
        """Close the connection that is missed least; whether there was one.

        :param for_request: a request lies on the connection that needs the room
        """
        order = _EVICTION_ORDER_FOR_REQUEST if for_request else _EVICTION_ORDER
        return any(self._close_overdue(state, age_s, 1, is_urgent=True) for state, age_s in order)

    def _close_overdue(
        self, state: ConnectionState, timeout_s: float | None, max_count: int, is_urgent: bool = False
    ) -> int:
        """Close connections that have been in a state for too long; how many those were.

        :param timeout_s: in that state; None: the time that each connection gives its request
        :param is_urgent: their descriptors are needed at once
        """
        now = self._loop.time()
        closed_count = 0
        for connection in list(self._by_state[state]):
            if closed_count >= max_count:
                break
            if not self._is_overdue(connection, now, timeout_s):
                continue
            self.counts[f"shed_{state}"] += 1
            closed_count += 1
            if state in ("silent", "idle") and not is_urgent:
                connection.linger()  # a request may be on its way, and is not to be answered by a reset
            else:
                self._by_state[state].pop(connection)
                connection.drop()
        return closed_count

    @staticmethod
    def _is_overdue(connection: ClientConnection, now: float, timeout_s: float | None) -> bool:
        """Whether a connection has been in its state for too long, and closing it loses nothing."""
        if connection.since > now - (connection.request_timeout_s if timeout_s is None else timeout_s):
            return False
        # a close on a request that lies there unread would lose the request
        if connection.state in ("silent", "idle") and has_unread_input(connection.transport):
            return False
        is_read_by_client = not connection.unsent_bytes()
        return is_read_by_client or now >= connection.since + UNREAD_RESPONSE_TIMEOUT_S

    def _sweep(self) -> None:
        """Close what is over its time."""
        self._sweep_timer = None
        count = len(self)
        if not count:
            return
        self._close_unread()
        self._close_overdue("silent", None, count)
        self._close_overdue("reading", None, count)
        self._close_overdue("lingering", LINGER_TIMEOUT_S, count)
        is_scarce = count > SCARCE_RATIO * self.max_connections
        self._close_overdue("idle", SCARCE_IDLE_TIMEOUT_S if is_scarce else IDLE_TIMEOUT_S, count)
        if self._retire_at is not None and self._loop.time() >= self._retire_at:
            self._close_overdue("idle", 0.0, count)
            self._close_overdue("silent", RETIRE_SILENT_TIMEOUT_S, count)
        self._sweep_timer = self._loop.call_at(self._loop.time() + SWEEP_INTERVAL_S, self._sweep)

    def _close_unread(self) -> None:
        """Close where responses lie unread the longest, while all of them take more memory than they may."""
        unread = [
            connection
            for connections in self._by_state.values()
            for connection in connections
            if connection.unsent_bytes()
        ]
        total_bytes = sum(connection.unsent_bytes() for connection in unread)
        for connection in sorted(unread, key=lambda each: each.since):
            if total_bytes <= self.max_unsent_bytes:
                break
            total_bytes -= connection.unsent_bytes()
            self.counts["shed_unread"] += 1
            self._by_state[connection.state].pop(connection)
            connection.drop()

    def close_idle(self) -> None:
        """Close the connections without a request, unless one lies unread on them."""
        self._close_overdue("silent", 0.0, len(self))
        self._close_overdue("idle", 0.0, len(self))

    def close(self) -> None:
        """Close all connections, and end the sweep."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for connections in self._by_state.values():
            for connection in list(connections):
                connection.drop()
