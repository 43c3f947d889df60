"""Calls that wait for their result, by number."""

from __future__ import annotations

import asyncio

NOT_AGREED = "not agreed on in time; it may be later, or never"


class CallError(Exception):
    """A call has no result; the text is one plain line for operators. Its command may take effect later."""


class PendingCalls:
    """Numbers for calls, reads and grant rounds, and the futures of those that somebody awaits."""

    def __init__(self) -> None:
        self._last_number = 0
        self._futures: dict[int, asyncio.Future[bytes]] = {}

    def next_number(self) -> int:
        """Return a number that was not given out before."""
        self._last_number += 1
        return self._last_number

    def open(self) -> tuple[int, asyncio.Future[bytes]]:
        """Begin a call: return its number and the future of its result."""
        number = self.next_number()
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        return number, future

    def complete(self, number: int, result: bytes) -> None:
        """Give a call its result; one that nobody awaits any more is passed over."""
        future = self._futures.get(number)
        if future is not None and not future.done():
            future.set_result(result)

    def fail(self, number: int, reason: str) -> None:
        """End a call without a result: its caller gets a CallError."""
        future = self._futures.get(number)
        if future is not None and not future.done():
            future.set_exception(CallError(reason))

    def fail_all(self, reason: str) -> None:
        """End all calls."""
        for number in self._futures:
            self.fail(number, reason)

    def discard(self, number: int) -> None:
        """Drop a call: its caller has its result, or awaits it no more."""
        self._futures.pop(number, None)
