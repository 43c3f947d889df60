"""Calls that await a result, by number."""

from __future__ import annotations

import asyncio

NOT_AGREED = "not agreed on in time; it may be later, or never"


class CallError(Exception):
    """A call ended without a result, but its command may still take effect.

    The message is a single line for operators.
    """


class PendingCalls:
    """Assigns numbers to calls, reads and grant rounds, and keeps the futures of calls and reads."""

    def __init__(self) -> None:
        self._last_number = 0
        self._futures: dict[int, asyncio.Future[bytes]] = {}

    def next_number(self) -> int:
        """Return a number that was not assigned before."""
        self._last_number += 1
        return self._last_number

    def open(self) -> tuple[int, asyncio.Future[bytes]]:
        """Open a call; return its number and the future of its result."""
        number = self.next_number()
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        return number, future

    def complete(self, number: int, result: bytes) -> None:
        """Set the result of a call; do nothing if the call was discarded or has already ended."""
        future = self._futures.get(number)
        if future is not None and not future.done():
            future.set_result(result)

    def fail(self, number: int, reason: str) -> None:
        """End a call without a result; its caller gets a CallError."""
        future = self._futures.get(number)
        if future is not None and not future.done():
            future.set_exception(CallError(reason))

    def fail_all(self, reason: str) -> None:
        """End all calls without a result."""
        for number in self._futures:
            self.fail(number, reason)

    def discard(self, number: int) -> None:
        """Remove a call whose caller has received the result or has stopped waiting."""
        self._futures.pop(number, None)
