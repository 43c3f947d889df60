"""Checks whether a history of operations on registers is linearizable.

After Wing and Gong (1993), with the cache of visited states of Lowe (2017). It shares no code with what it
checks. An operation that never returned may have taken effect at any time after its invocation, or never.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Literal

NEVER = float("inf")
OperationKind = Literal["put", "get", "swap"]


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a client.

    :ivar value: put: what was written; get: what was read ("" before any put); swap: "OLD>NEW"
    :ivar invoked_at: by one clock for the whole history
    :ivar returned_at: by the same clock; NEVER where no answer came
    :ivar succeeded: of a swap that returned: whether the register held OLD
    """

    kind: OperationKind
    key: str
    value: str
    invoked_at: float
    returned_at: float = NEVER
    succeeded: bool = True


def _apply(operation: Operation, state: str) -> str | None:
    """Return the register's value after an operation; None where the operation can't be the next one."""
    if operation.kind == "put":
        return operation.value
    if operation.kind == "get":
        return state if operation.value == state else None
    old, _, new = operation.value.partition(">")
    if operation.returned_at == NEVER:
        return new if state == old else state
    if operation.succeeded != (state == old):
        return None
    return new if operation.succeeded else state


def is_linearizable(history: list[Operation]) -> bool:
    """Whether some order of the operations on one register agrees with their times and their answers."""
    operations = sorted(
        (each for each in history if each.kind != "get" or each.returned_at < NEVER),
        key=lambda each: each.invoked_at,
    )
    # Sets of operations are bit masks over this list.
    returned = sum(1 << i for i, each in enumerate(operations) if each.returned_at < NEVER)
    unexplored: list[tuple[int, str]] = [(0, "")]  # operations in the order so far, and the value after them
    visited = set(unexplored)
    while unexplored:
        linearized, state = unexplored.pop()
        if linearized & returned == returned:
            return True
        earliest_return = min(
            each.returned_at for i, each in enumerate(operations) if not linearized >> i & 1
        )
        for i, operation in enumerate(operations):
            if operation.invoked_at > earliest_return:
                break  # an operation outside the order had returned before this one was invoked
            if linearized >> i & 1:
                continue
            after = _apply(operation, state)
            if after is not None and (linearized | 1 << i, after) not in visited:
                visited.add((linearized | 1 << i, after))
                unexplored.append((linearized | 1 << i, after))
    return False


def non_linearizable(history: list[Operation]) -> list[str]:
    """Return the registers whose history is not linearizable."""
    by_key: dict[str, list[Operation]] = defaultdict(list)
    for operation in history:
        by_key[operation.key].append(operation)
    return [key for key, operations in sorted(by_key.items()) if not is_linearizable(operations)]
