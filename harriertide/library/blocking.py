"""The broker for programs on threads: its own event loop in a thread of its own.

    with Broker.from_file("boxes.toml") as broker:
        page = broker.call(RequestSpec("photos", shard=3), lambda attempt: fetch(attempt.node_id))

`perform` runs in the caller's own thread, one attempt after the other. It cannot be cancelled there: an
attempt whose time is up is over for the core when perform returns or raises.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable, Coroutine, Mapping
from types import TracebackType
from typing import Any, TypeVar

from harriertide.http.node_response import Reply
from harriertide.library import broker as async_broker
from harriertide.library.attempt import Attempt
from harriertide.library.errors import FailedError
from harriertide.library.request_spec import RequestSpec

T = TypeVar("T")


class BlockingAttempt:
    """One attempt, as work in the caller's thread sees it; its fields are those of `library.Attempt`."""

    def __init__(self, broker: Broker, attempt: Attempt) -> None:
        self._broker = broker
        self._attempt = attempt
        self.node_id = attempt.node_id
        self.number = attempt.number
        self.address = attempt.address

    def check_write(self) -> None:
        """As `library.Attempt.check_write`."""
        self._broker.run(_call_on_loop(self._attempt.check_write))

    def response_started(self) -> None:
        """As `library.Attempt.response_started`."""
        self._broker.run(_call_on_loop(self._attempt.response_started))

    def request(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Reply:
        """As `library.NodeClientView.request`."""
        nodes = self._broker.async_broker.nodes
        return self._broker.run(nodes.request(self._attempt, method, target, headers, body))


async def _call_on_loop(function: Callable[[], None]) -> None:
    function()


class Broker:
    """A `library.Broker`, on an event loop of its own.

    :param make: makes it
    """

    def __init__(self, make: Callable[[], async_broker.Broker]) -> None:
        self.async_broker = make()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="harriertide", daemon=True)
        self._is_closed = False

    @classmethod
    def from_file(cls, path: str) -> Broker:
        """As `library.Broker.from_file`."""
        return cls(lambda: async_broker.Broker.from_file(path))

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the broker's loop, and wait for it."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def __enter__(self) -> Broker:
        self._thread.start()
        self.run(self.async_broker.start())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the broker; the loop's thread is over when this returns."""
        if self._is_closed:
            return
        self._is_closed = True
        try:
            self.run(self.async_broker.stop())
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def call(self, spec: RequestSpec, perform: Callable[[BlockingAttempt], T]) -> T:
        """As `library.Broker.call`, from any thread but the broker's own.

        :raises FailedError: also where the broker is closed
        """
        # Attempts for this thread, with where their result goes; None: the call is over.
        attempts: queue.SimpleQueue[tuple[Attempt, asyncio.Future[T]] | None] = queue.SimpleQueue()

        async def hand_over(attempt: Attempt) -> T:
            result: asyncio.Future[T] = asyncio.get_running_loop().create_future()
            attempts.put((attempt, result))
            return await result

        async def call_and_finish() -> T:
            try:
                return await self.async_broker.call(spec, hand_over)
            finally:
                attempts.put(None)

        if self._is_closed:
            raise FailedError("the broker is closed")
        answer = asyncio.run_coroutine_threadsafe(call_and_finish(), self._loop)
        while (handed_over := attempts.get()) is not None:
            attempt, result = handed_over
            if result.done():
                continue  # its time was up before the one ahead of it had returned
            self._perform(perform, attempt, result)
        return answer.result()

    def _perform(
        self, perform: Callable[[BlockingAttempt], T], attempt: Attempt, result: asyncio.Future[T]
    ) -> None:
        try:
            value = perform(BlockingAttempt(self, attempt))
        except Exception as error:
            self._loop.call_soon_threadsafe(_set_exception, result, error)
        else:
            self._loop.call_soon_threadsafe(_set_result, result, value)


def _set_result(result: asyncio.Future[T], value: T) -> None:
    """On the loop's thread; a result that is done belongs to an attempt whose time was up."""
    if not result.done():
        result.set_result(value)


def _set_exception(result: asyncio.Future[T], error: Exception) -> None:
    """On the loop's thread; a result that is done belongs to an attempt whose time was up."""
    if not result.done():
        result.set_exception(error)
