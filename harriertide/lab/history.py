"""Whether what clients saw of registers can have happened in some order: a check of linearizability.

After Wing and Gong (1993) with Lowe's memory of states that were seen (2017). It shares nothing with what it
checks. An operation without an answer may have had its effect at any later time, or never.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Literal

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Operation:
    """One call of a client. began, ended: moments of one clock; ended is NEVER where no answer came.

    put: value is what was written; get: value is what was read ("" before any put); swap: value is
    "OLD>NEW", and done says whether OLD was there.
    """

    what: Literal["put", "get", "swap"]
    key: str
    value: str
    began: float
    ended: float = NEVER
    done: bool = True


def _after(operation: Operation, state: str) -> str | None:
    """The register after it; None if it can't come here."""
    if operation.what == "put":
        return operation.value
    if operation.what == "get":
        return state if operation.value == state else None
    old, _, new = operation.value.partition(">")
    if operation.ended == NEVER:
        return new if state == old else state
    if operation.done != (state == old):
        return None
    return new if operation.done else state


def is_linearizable(operations: list[Operation]) -> bool:
    """Whether the operations on one register can be put in an order that their times and answers allow."""
    rows = sorted((o for o in operations if o.what != "get" or o.ended < NEVER), key=lambda o: o.began)
    everything = (1 << len(rows)) - 1
    must = sum(1 << i for i, o in enumerate(rows) if o.ended < NEVER)
    todo: list[tuple[int, str]] = [(0, "")]
    seen = set(todo)
    while todo:
        taken, state = todo.pop()
        if taken & must == must:
            return True
        first_end = min(o.ended for i, o in enumerate(rows) if not taken >> i & 1)
        for i, operation in enumerate(rows):
            if operation.began > first_end:
                break  # something that is not in the order yet had ended before this began
            if taken >> i & 1:
                continue
            after = _after(operation, state)
            if after is not None and (taken | 1 << i, after) not in seen:
                seen.add((taken | 1 << i, after))
                todo.append((taken | 1 << i, after))
    return everything == 0


def non_linearizable(operations: list[Operation]) -> list[str]:
    """The registers whose history is impossible."""
    by_key: dict[str, list[Operation]] = defaultdict(list)
    for operation in operations:
        by_key[operation.key].append(operation)
    return [key for key, rows in sorted(by_key.items()) if not is_linearizable(rows)]
