"""Clients that read and write registers through any member, and the history of what they saw."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from harriertide.consensus.replica import CallCompleted, ReadCompleted, RequestExpired
from harriertide.lab.checkers.linearizability_checker import NEVER, Operation, OperationKind
from harriertide.lab.raft_simulation.event_queue import SECOND_US, EventQueue
from harriertide.lab.raft_simulation.host import ClientEffect, Host
from harriertide.lab.raft_simulation.register_machine import SUCCEEDED, encode_command

TIMEOUT_US = 2 * SECOND_US  # of an operation
CRASH_MARGIN_US = 100_000  # beyond the timeout, after which the member that was asked must have crashed
MIN_THINK_US, MAX_THINK_US = 10_000, 150_000  # between two operations of one client
KINDS: tuple[OperationKind, ...] = ("put", "get", "get", "swap")  # drawn evenly
SWAP_LOOKBACK = 8  # a swap expects the value of one of so many operations before it


@dataclass(frozen=True, slots=True)
class PendingOperation:
    """An operation that has not returned.

    :ivar on_return: called once it has returned, or never will
    """

    kind: OperationKind
    key: str
    value: str
    invoked_at_us: int
    on_return: Callable[[], None]


class ClientWorkload:
    """Invokes operations, and records each as it ends.

    :ivar history: operations that returned, or never will
    :ivar drawn_operation_count: operations of the clients that run by themselves
    """

    def __init__(self, queue: EventQueue, random: Random, hosts: Mapping[str, Host]) -> None:
        self._queue = queue
        self._random = random
        self._hosts = hosts
        self._pending: dict[int, PendingOperation] = {}
        self._last_number = 0
        self.history: list[Operation] = []
        self.drawn_operation_count = 0

    @property
    def answered_count(self) -> int:
        """How many operations have returned."""
        return sum(operation.returned_at < NEVER for operation in self.history)

    # --- one operation --------------------------------------------------------------------------------

    def next_number(self) -> int:
        """Return a number that no operation has yet."""
        self._last_number += 1
        return self._last_number

    def invoke(
        self,
        host: Host,
        kind: OperationKind,
        key: str,
        value: str,
        on_return: Callable[[], None],
        timeout_us: int = TIMEOUT_US,
        number: int | None = None,
        session: tuple[str, int] | None = None,
    ) -> None:
        """Send an operation to a member.

        :param number: from next_number; None: the next one
        :param session: client and serial; None: those of no other operation
        """
        number = self.next_number() if number is None else number
        self._pending[number] = PendingOperation(kind, key, value, self._queue.now_us, on_return)
        if kind == "get":
            host.query(number, timeout_us)
        else:
            client, serial = session or (f"client-{key}-{number}", 1)
            host.call(number, client, serial, encode_command(kind, key, value), timeout_us)

    def on_client_effect(self, host: Host, effect: ClientEffect) -> None:
        """A member has answered, or given up at the timeout."""
        operation = self._pending.pop(effect.number, None)
        if operation is None:
            return
        if isinstance(effect, RequestExpired):
            self._record_unreturned(operation)
        else:
            value, succeeded = operation.value, True
            if isinstance(effect, ReadCompleted):
                value = host.read_register(operation.key)
            elif isinstance(effect, CallCompleted):
                succeeded = effect.answer == SUCCEEDED
            invoked_at_us, returned_at_us = operation.invoked_at_us, self._queue.now_us
            self.history.append(
                Operation(operation.kind, operation.key, value, invoked_at_us, returned_at_us, succeeded)
            )
        operation.on_return()

    def _give_up(self, number: int) -> None:
        """The member that was asked has crashed: no answer will come."""
        operation = self._pending.pop(number, None)
        if operation is not None:
            self._record_unreturned(operation)
            operation.on_return()

    def _record_unreturned(self, operation: PendingOperation) -> None:
        self.history.append(
            Operation(operation.kind, operation.key, operation.value, operation.invoked_at_us)
        )

    # --- clients --------------------------------------------------------------------------------------

    def run_client(self, key: str, end_us: int) -> None:
        """Invoke one drawn operation after another on a register, with pauses, up to a time."""

        def schedule_next() -> None:
            if self._queue.now_us < end_us:
                think_us = self._random.randint(MIN_THINK_US, MAX_THINK_US)
                self._queue.call_later(think_us, self._invoke_drawn, key, schedule_next)

        schedule_next()

    def _invoke_drawn(self, key: str, on_return: Callable[[], None]) -> None:
        """Invoke a drawn operation at a drawn host; on_return follows in any case."""
        available = [host for host in self._hosts.values() if host.replica is not None and not host.is_paused]
        if not available:
            on_return()
            return
        host = self._random.choice(available)
        self.drawn_operation_count += 1
        number = self.next_number()
        kind = self._random.choice(KINDS)
        value = f"v{number}"
        if kind == "swap":
            value = f"v{max(1, number - self._random.randint(1, SWAP_LOOKBACK))}>{value}"
        self._queue.call_later(TIMEOUT_US + CRASH_MARGIN_US, self._give_up, number)
        self.invoke(host, kind, key, value, on_return, number=number)
