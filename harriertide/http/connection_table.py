"""The table of client connections on all listeners, which limits their number and idle times."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Literal

from harriertide.engine.repeated_log import RepeatedLog
from harriertide.http.accept_control import AcceptControl
from harriertide.http.client_connection import ClientConnection, ConnectionState
from harriertide.http.limits import Limits
from harriertide.http.read_scheduler import ReadScheduler
from harriertide.http.socket_state import has_unread_input

IDLE_TIMEOUT_S = 15.0  # keep-alive time after a response
SCARCE_IDLE_TIMEOUT_S = 2.0  # keep-alive time while connections are scarce
# Connections are scarce above this fraction of the limit. Clients may keep a third of all descriptors open.
SCARCE_RATIO = 0.3
LINGER_TIMEOUT_S = 0.3  # for the client to read its last response and close its side
UNREAD_RESPONSE_TIMEOUT_S = 10.0  # for a response that the client does not read
SWEEP_INTERVAL_S = 0.1
# While the broker retires, connections stay open for this long, so that the response to a further request can
# tell the client to reconnect elsewhere.
RETIRE_DELAY_S = 1.0
RETIRE_SILENT_TIMEOUT_S = 0.25  # for the first request on a connection, once RETIRE_DELAY_S is over

# Connections to evict for a new one at the limit, in this order: state, and minimum time in it in seconds.
# The short times matter when many clients connect at once and send nothing or half a request: none of those
# connections has been in its state for long.
# "held" are connections in the state "reading" whose input takes so long to parse that it has to wait.
_EvictionOrder = tuple[tuple[ConnectionState | Literal["held"], float], ...]
_EVICTION_ORDER: _EvictionOrder = (
    ("lingering", 0.0),
    ("silent", 0.25),
    ("held", 0.0),
    ("idle", SCARCE_IDLE_TIMEOUT_S),
    ("silent", 0.02),
    ("idle", 0.0),
    ("reading", 0.5),
)
# For a new connection on which request bytes have already arrived.
_EVICTION_ORDER_FOR_REQUEST: _EvictionOrder = (
    *_EVICTION_ORDER,
    ("silent", 0.0),
    ("reading", 0.0),
)


def _has_request(connection: ClientConnection) -> bool:
    """Whether request bytes have arrived on a new connection."""
    return has_unread_input(connection.transport)


class ConnectionTable:
    """The client connections by state, each state ordered from the longest in it to the newest."""

    def __init__(self, limits: Limits) -> None:
        self.counts: Counter[str] = Counter()
        self._log = RepeatedLog()
        self._loop = asyncio.get_running_loop()
        self._by_state: dict[ConnectionState, dict[ClientConnection, None]] = {
            "silent": {}, "reading": {}, "busy": {}, "idle": {}, "lingering": {},
        }  # fmt: skip
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._retire_at: float | None = None  # in the event loop's time; None: the broker is not retiring
        self.accept_control = AcceptControl(self)
        self.read_scheduler = ReadScheduler()
        self.apply_limits(limits)

    def apply_limits(self, limits: Limits) -> None:
        """Apply new limits to later admissions and sweeps."""
        self.max_connections = limits.max_client_connections
        self.max_unsent_bytes = limits.max_unsent_bytes
        self.accept_control.resume_if_room()

    def __len__(self) -> int:
        return sum(map(len, self._by_state.values()))

    def unsent_bytes(self) -> int:
        """Return the number of response bytes that wait for their clients to read, of all connections."""
        return sum(
            connection.unsent_bytes() for connections in self._by_state.values() for connection in connections
        )

    def in_state(self, state: ConnectionState) -> list[ClientConnection]:
        """Return the connections in one state, the longest in it first."""
        return list(self._by_state[state])

    def admit(self, connection: ClientConnection) -> None:
        """Add a new connection. Beyond the limit, evict an inactive connection if there is one."""
        self.counts["accepted"] += 1
        connection.since = self._loop.time()
        connection.queue_time_s = self.accept_control.queue_time_s(connection.transport)
        self._by_state["silent"][connection] = None
        if len(self) > self.max_connections:
            self._evict(_EVICTION_ORDER_FOR_REQUEST if _has_request(connection) else _EVICTION_ORDER)
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_at(connection.since + SWEEP_INTERVAL_S, self._sweep)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.read_scheduler.forget(connection)
        self._by_state[connection.state].pop(connection, None)
        self.accept_control.resume_if_room()

    def set_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Move a connection to another state.

        The timeout of the first request starts when the connection is accepted, not with the first byte, so
        that a client cannot extend it by sending one byte.
        """
        if self._by_state[connection.state].pop(connection, connection) is connection:
            return  # the connection was removed
        if (connection.state, state) != ("silent", "reading"):
            connection.since = self._loop.time()
        connection.state = state
        self._by_state[state][connection] = None

    def set_retiring(self, is_retiring: bool) -> None:
        """Start or stop retiring. RETIRE_DELAY_S after the start, connections without a request close."""
        if not is_retiring:
            self._retire_at = None
        elif self._retire_at is None:
            self._retire_at = self._loop.time() + RETIRE_DELAY_S

    # --- closing -------------------------------------------------------------------------------

    def evict_one(self) -> bool:
        """Close an inactive connection for one that waits to be accepted; return whether there was one."""
        return self._evict(_EVICTION_ORDER)

    def _evict(self, order: _EvictionOrder) -> bool:
        """Close the first connection in an eviction order; return whether there was one."""
        for state, age_s in order:
            if state == "held":
                is_closed = self._close_held()
            else:
                is_closed = self._close_overdue(state, age_s, 1, is_urgent=True) > 0
            if is_closed:
                return True
        return False

    def _close_held(self) -> bool:
        """Close the one longest in "reading" whose input waits to be parsed; return whether there was one."""
        for connection in self._by_state["reading"]:
            if connection.is_held:
                self.counts["shed_held"] += 1
                self._log("held", "connection closed", state="held", reason="room is needed")
                del self._by_state["reading"][connection]
                connection.end_unfinished()
                return True
        return False

    def _close_overdue(
        self, state: ConnectionState, timeout_s: float | None, max_count: int, is_urgent: bool = False
    ) -> int:
        """Close connections that have been in a state for too long, and return their number.

        :param timeout_s: maximum time in the state; None: the request timeout of each connection
        :param max_count: maximum number of connections to close
        :param is_urgent: the descriptors are needed immediately
        """
        now = self._loop.time()
        closed_count = 0
        for connection in list(self._by_state[state]):
            if closed_count >= max_count:
                break
            if not self._is_overdue(connection, now, timeout_s):
                continue
            self.counts[f"shed_{state}"] += 1
            self._log(
                f"{state} {is_urgent}",
                "connection closed",
                state=state,
                age_s=round(now - connection.since, 3),
                reason="room is needed" if is_urgent else "its time is over",
            )
            closed_count += 1
            if state in ("silent", "idle") and not is_urgent:
                connection.linger()  # a request may be in transit, and must not be answered with a reset
            else:
                self._by_state[state].pop(connection)
                connection.end_unfinished()
        return closed_count

    @staticmethod
    def _is_overdue(connection: ClientConnection, now: float, timeout_s: float | None) -> bool:
        """Whether a connection has been in its state for too long and can be closed without losing data."""
        if connection.since > now - (connection.request_timeout_s if timeout_s is None else timeout_s):
            return False
        # closing the connection would lose the unread request
        if connection.state in ("silent", "idle") and has_unread_input(connection.transport):
            return False
        is_read_by_client = not connection.unsent_bytes()
        return is_read_by_client or now >= connection.since + UNREAD_RESPONSE_TIMEOUT_S

    def _sweep(self) -> None:
        """Close the connections that exceed the timeout of their state."""
        self._sweep_timer = None
        count = len(self)
        if not count:
            return
        self.close_unread()
        self._close_overdue("silent", None, count)
        self._close_overdue("reading", None, count)
        self._close_overdue("lingering", LINGER_TIMEOUT_S, count)
        is_scarce = count > SCARCE_RATIO * self.max_connections
        self._close_overdue("idle", SCARCE_IDLE_TIMEOUT_S if is_scarce else IDLE_TIMEOUT_S, count)
        if self._retire_at is not None and self._loop.time() >= self._retire_at:
            self._close_overdue("idle", 0.0, count)
            self._close_overdue("silent", RETIRE_SILENT_TIMEOUT_S, count)
        self._sweep_timer = self._loop.call_at(self._loop.time() + SWEEP_INTERVAL_S, self._sweep)

    def close_unread(self) -> None:
        """Close the connections with the longest unread responses until the rest fit the memory limit."""
        unread = [
            connection
            for connections in self._by_state.values()
            for connection in connections
            if connection.unsent_bytes()
        ]
        total_bytes = sum(connection.unsent_bytes() for connection in unread)
        for connection in sorted(unread, key=lambda connection: connection.since):
            if total_bytes <= self.max_unsent_bytes:
                break
            total_bytes -= connection.unsent_bytes()
            self.counts["shed_unread"] += 1
            self._log("unread", "connection closed", state="unread", unsent_bytes=connection.unsent_bytes())
            self._by_state[connection.state].pop(connection)
            connection.drop()

    def close_idle(self) -> None:
        """Close the silent and idle connections that have no unread input."""
        self._close_overdue("silent", 0.0, len(self))
        self._close_overdue("idle", 0.0, len(self))

    def close(self) -> None:
        """Close all connections, and stop the sweep."""
        self.accept_control.close()
        self.read_scheduler.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for connections in self._by_state.values():
            for connection in list(connections):
                connection.drop()
