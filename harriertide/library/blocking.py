"""The broker for programs on threads: its own event loop in a thread of its own.

    with Broker.from_file("boxes.toml") as broker:
        page = broker.call(Ask("photos", shard=3), lambda attempt: fetch(attempt.box))

perform runs in the caller's own thread, one attempt after the other. It can't be cancelled there: an attempt
whose time is up is over for the core when perform returns or raises.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, TypeVar

from harriertide.http.node_response import Reply
from harriertide.library import broker as loops
from harriertide.library.types import Ask, Attempt, FailedError

T = TypeVar("T")


class Work:
    """One attempt, in the caller's thread."""

    def __init__(self, owner: Broker, attempt: Attempt) -> None:
        self._owner, self._attempt = owner, attempt
        self.box, self.number, self.address = attempt.box, attempt.number, attempt.address

    def may_write(self) -> None:
        """As Attempt.may_write."""
        self._owner.run(self._on_loop(self._attempt.may_write))

    def began(self) -> None:
        """As Attempt.began."""
        self._owner.run(self._on_loop(self._attempt.began))

    def request(
        self, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Reply:
        """As Boxes.request."""
        boxes = self._owner.inner.boxes
        return self._owner.run(boxes.request(self._attempt, method, target, headers, body))

    @staticmethod
    async def _on_loop(what: Callable[[], None]) -> None:
        what()


class Broker:
    """A library.Broker, made by make() on a loop of its own."""

    def __init__(self, make: Callable[[], loops.Broker]) -> None:
        self.inner = make()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="harriertide", daemon=True)
        self._ended = False

    @classmethod
    def from_file(cls, path: str) -> Broker:
        """As library.Broker.from_file."""
        return cls(lambda: loops.Broker.from_file(path))

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Something on the broker's loop, waited for here."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def __enter__(self) -> Broker:
        self._thread.start()
        self.run(self.inner.start())
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Refuse, finish and stop; the loop's thread is over when this returns."""
        if self._ended:
            return
        self._ended = True
        try:
            self.run(self.inner.stop())
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def call(self, ask: Ask, perform: Callable[[Work], T]) -> T:
        """As library.Broker.call, from any thread but the broker's own."""
        turns: queue.SimpleQueue[tuple[Attempt, asyncio.Future[T]] | None] = queue.SimpleQueue()

        async def hand_over(attempt: Attempt) -> T:
            done: asyncio.Future[T] = asyncio.get_running_loop().create_future()
            turns.put((attempt, done))
            return await done

        async def whole() -> T:
            try:
                return await self.inner.call(ask, hand_over)
            finally:
                turns.put(None)

        if self._ended:
            raise FailedError("the broker is closed")
        call = asyncio.run_coroutine_threadsafe(whole(), self._loop)
        while (turn := turns.get()) is not None:
            attempt, done = turn
            if done.done():
                continue  # its time was up before the one ahead of it had returned
            try:
                value = perform(Work(self, attempt))
            except Exception as fault:
                self._tell(done, None, fault)
            else:
                self._tell(done, value, None)
        return call.result()

    def _tell(self, done: asyncio.Future[T], value: T | None, fault: Exception | None) -> None:
        def on_loop() -> None:
            if done.done():
                return  # its time was up
            if fault is not None:
                done.set_exception(fault)
            else:
                done.set_result(value)  # type: ignore[arg-type]

        self._loop.call_soon_threadsafe(on_loop)
