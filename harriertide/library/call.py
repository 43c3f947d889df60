"""One call of an application on its way through the core."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar, cast

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine import runtime as engine
from harriertide.engine.clock import sleep_until
from harriertide.engine.runtime import AttemptResult, Runtime
from harriertide.library.attempt import Attempt
from harriertide.library.errors import AttemptError, FailedError, RejectedError

T = TypeVar("T")
Work: TypeAlias = Callable[[Attempt], Awaitable[T]]
# A call whose work goes on after its time is answered so much later: the core's own answer, which comes when
# the cancelled work ends, is to be first.
OVERDUE_GRACE_S = 0.25


@dataclass(frozen=True, slots=True)
class WorkResult(Generic[T]):
    """What the application's work returned or raised: in both cases the answer to its call."""

    value: T | None = None
    error: Exception | None = None


class CallJob(Generic[T]):
    """Performs the attempts of a call, each in a copy of the caller's context.

    :param perform: the application's work, run once an attempt
    :param find_address: the address of a node, by its id
    :param is_abandoned: whether who asked has left
    """

    def __init__(
        self,
        perform: Work[T],
        find_address: Callable[[str], str | None],
        is_abandoned: Callable[[], bool],
    ) -> None:
        self.context = contextvars.copy_context()
        self._final_answer: asyncio.Future[ev.Respond] = asyncio.get_running_loop().create_future()
        self.is_overdue = False  # its time was over while its work went on
        self._perform = perform
        self._find_address = find_address
        self._is_abandoned = is_abandoned

    async def perform(self, attempt: engine.Attempt) -> AttemptResult:
        """Run the application's work once.

        An AttemptError is an outcome of the attempt. All else that the work raises is the application's own
        affair: it is the answer to the call, and the node is not to blame.
        """
        own_attempt = Attempt(attempt, self._find_address(attempt.node_id))
        runtime = attempt.runtime
        if attempt.not_before_us:
            await sleep_until(runtime.clock.loop_time(attempt.not_before_us))
        if runtime.has_client_disconnected(attempt.request_id):
            return AttemptResult("not_sent")
        try:
            async with asyncio.timeout_at(own_attempt.deadline_s) as limit:
                return AttemptResult("ok", WorkResult(await self._perform(own_attempt)))
        except AttemptError as error:
            return AttemptResult(error.outcome)
        except TimeoutError as error:
            if limit.expired():
                return AttemptResult("timeout")
            return AttemptResult("ok", WorkResult(error=error))
        except Exception as error:
            return AttemptResult("ok", WorkResult(error=error))

    def has_client_disconnected(self) -> bool:
        """Whether who asked has left; nobody waits for an answer of the core then."""
        if not self._is_abandoned():
            return False
        self.respond(ev.Respond("", "failed"))
        return True

    def respond(self, answer: ev.Respond) -> None:
        """Give the final answer to who waits for it."""
        if not self._final_answer.done():
            self._final_answer.set_result(answer)

    async def wait_for_result(self, runtime: Runtime, arrival: api.Arrival) -> T:
        """Wait for the final answer. Cancelled, the call's work is cancelled and nobody is answered.

        :returns: what the work returned; what it raised is raised
        :raises RejectedError: the final answer: a retry is harmless
        :raises FailedError: the final answer: the request may have executed
        """
        request_id = arrival.request_id
        overdue_at_s = runtime.clock.loop_time(arrival.deadline_at_us) + OVERDUE_GRACE_S
        timer = asyncio.get_running_loop().call_at(overdue_at_s, self._expire)
        try:
            answer = await self._final_answer
        except asyncio.CancelledError:
            runtime.client_disconnected(request_id)
            runtime.cancel_attempts(request_id)
            raise
        finally:
            timer.cancel()
        if self.is_overdue:
            runtime.client_disconnected(request_id)
            raise FailedError("its work did not end within its time")
        return cast(T, _result_of(answer))

    def _expire(self) -> None:
        """Answer a call whose work goes on after its time.

        Guards against work that swallows its cancellation and keeps its caller from an answer.
        """
        if not self._final_answer.done():
            self.is_overdue = True
            self.respond(ev.Respond("", "failed"))


def _result_of(answer: ev.Respond) -> object:
    """What the work of a served call returned; what it raised is raised, as is any other final answer."""
    if answer.kind == "rejected":
        raise RejectedError(answer.retry_after_us / 1e6)
    if answer.kind == "failed":
        raise FailedError
    assert isinstance(answer.reply, WorkResult)
    if answer.reply.error is not None:
        raise answer.reply.error
    return answer.reply.value
