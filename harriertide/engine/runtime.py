"""Runs a core on an event loop: batches the events of a loop iteration and performs the resulting effects."""

from __future__ import annotations

import asyncio
import itertools
import traceback
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol, runtime_checkable

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine.clock import Clock, sleep_until
from harriertide.engine.log import log

CLOSE_POLL_INTERVAL_S = 0.005  # how often `Runtime.close` checks whether all attempts have ended


@dataclass(slots=True)
class Attempt:
    """An attempt, as passed to the job that performs it."""

    runtime: Runtime
    request_id: str
    number: int
    node_id: str
    stop_at_us: int
    not_before_us: int = 0  # the earliest time to write the first byte; 0: immediately
    silence: api.SilenceLimits = api.NO_SILENCE_LIMITS  # the longest pauses within the response
    body_written_us: int = 0  # when the last byte of a streamed body was written; set by the job

    def may_write(self) -> api.OutcomeKind | None:
        """Check the attempt right before its first byte is written.

        :returns: None if the attempt may be written now, else its outcome, with nothing written
        """
        runtime = self.runtime
        if runtime.has_client_disconnected(self.request_id):
            return "not_sent"
        return runtime.core.may_write(self.request_id, self.number, runtime.clock.now_us())


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The outcome of an attempt, and the reply that may be passed to the client."""

    kind: api.OutcomeKind
    reply: object = None


class Job(Protocol):
    """An accepted request, whose front performs the attempts and sends the answer."""

    @property
    def context(self) -> Context | None:
        """The caller's context, a copy of which each attempt runs in; None for the runtime's context."""

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Perform one attempt."""

    def has_client_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop was not notified yet."""

    def respond(self, answer: ev.Respond) -> None:
        """Send the final answer to the client."""


@runtime_checkable
class Disposable(Protocol):
    """A reply that holds a resource, which must be freed if the reply is discarded."""

    def dispose(self) -> None:
        """Free the resource."""


def _no_op(*_: object) -> None:
    """The default of a hook that is not set."""


class Runtime:
    """Connects a core to the event loop; shared by all fronts of a process.

    The owner sets the hooks that the process needs before the first event is posted.
    """

    def __init__(self, core: Reducer, clock: Clock) -> None:
        self.core = core
        self.clock = clock
        self.send_peer_message: Callable[[int, bytes], None] = _no_op  # to a broker, by broker index
        self.watch_endpoints: Callable[[], None] = _no_op
        self.start_probe: Callable[[str], None] = _no_op  # of a node, by node id
        self.record_event: Callable[[int, ev.Event], None] | None = None  # called before an event is handled
        # Called before posted events are handled; set by an in-place upgrade. Keeps a process that was
        # suspended and then replaced by another process from acting on its outdated state.
        self.check_fence: Callable[[], None] = _no_op
        self._loop = asyncio.get_running_loop()
        self._is_closed = False
        self._posted: list[ev.Event] = []
        self._jobs: dict[str, Job] = {}
        self._attempt_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._timer_keys = itertools.count()
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            ev.StartAttempt: self._start_attempt,
            ev.CancelAttempt: self._cancel_attempt,
            ev.Respond: self._respond,
            ev.SetTimer: self._set_timer,
            ev.SendPeerMessage: self._send_peer_message,
            ev.WatchEndpoints: self._watch_endpoints,
            ev.StartProbe: self._start_probe,
            ev.DiscardReply: self._discard_reply,
            ev.LogLine: self._write_log_line,
        }

    # --- interface for fronts -------------------------------------------------------------------

    def submit(self, arrival: api.Arrival, job: Job, streams_body: bool = False) -> bool:
        """Submit a request to the core.

        :param streams_body: whether the body is forwarded as it arrives
        :returns: False if the request id is in use, or must not run again
        """
        if arrival.request_id in self._jobs or not self.core.is_id_usable(arrival.request_id):
            return False
        self._jobs[arrival.request_id] = job
        self.post(ev.RequestArrived(arrival, streams_body))
        return True

    def client_disconnected(self, request_id: str) -> None:
        """Report that the client of a request has disconnected."""
        self.post(ev.ClientDisconnected(request_id))

    def has_client_disconnected(self, request_id: str) -> bool:
        """Check whether the client of a request has disconnected, and report a disconnect.

        Prevents an attempt from starting after its client has closed the connection. The event loop may not
        have seen the close yet, because unread bytes precede it or other events of the same loop iteration
        are handled first.
        """
        job = self._jobs.get(request_id)
        if job is None or not job.has_client_disconnected():
            return False
        self.client_disconnected(request_id)
        return True

    def response_started(self, attempt: Attempt) -> None:
        """Report that the front has begun to send the response of an attempt to the client."""
        self.post(ev.ResponseStarted(attempt.request_id, attempt.number))

    def cancel_attempts(self, request_id: str) -> None:
        """Cancel the running attempts of a request whose client has disconnected."""
        for number in range(self.core.settings.max_attempts):
            task = self._attempt_tasks.get((request_id, number))
            if task is not None:
                task.cancel()

    async def close(self, deadline_s: float) -> None:
        """Answer open requests, cancel their attempts, and wait until the attempts have ended.

        :param deadline_s: when to stop waiting, as a time of the event loop
        """
        self.post(ev.ShutdownStarted())
        for task in self._attempt_tasks.values():
            task.cancel()
        while (self._attempt_tasks or self._posted) and self._loop.time() < deadline_s:
            await sleep_until(min(deadline_s, self._loop.time() + CLOSE_POLL_INTERVAL_S))
        self._is_closed = True
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    # --- events ---------------------------------------------------------------------------------

    def post(self, event: ev.Event) -> None:
        """Queue an event; the core handles all events of a loop iteration in one step.

        Events are ignored once the runtime is closed.
        """
        if self._is_closed:
            return
        if not self._posted:
            self._loop.call_soon(self.flush)
        self._posted.append(event)

    def flush(self) -> None:
        """Let the core handle all posted events immediately."""
        self.check_fence()
        events = self._posted
        self._posted = []
        self._step(events)

    def handle_now(self, event: ev.Event) -> None:
        """Let the core handle an event immediately, before any posted events."""
        self._step([event])

    def _step(self, events: list[ev.Event]) -> None:
        now_us = self.clock.now_us()
        if self.record_event is not None:
            for event in events:
                self.record_event(now_us, event)
        for effect in self.core.step(now_us, events):
            try:
                self._effect_handlers[type(effect)](effect)
            except Exception:  # one failed effect must not prevent the answers of other requests
                log("an effect failed in the broker itself", trace=traceback.format_exc())
        for event in events:
            if isinstance(event, (ev.AttemptFinished, ev.ClientDisconnected)):
                self._forget_finished_job(event.request_id)

    def _forget_finished_job(self, request_id: str) -> None:
        if not self.core.has_request(request_id):
            self._jobs.pop(request_id, None)

    # --- effects --------------------------------------------------------------------------------

    def _start_attempt(self, effect: ev.StartAttempt) -> None:
        attempt = Attempt(
            self,
            effect.request_id,
            effect.attempt,
            effect.node_id,
            effect.stop_at_us,
            effect.not_before_us,
            effect.silence,
        )
        job = self._jobs[effect.request_id]
        context = job.context.copy() if job.context is not None else None
        task = self._loop.create_task(self._run_attempt(job, attempt), context=context)
        self._attempt_tasks[effect.request_id, effect.attempt] = task
        task.add_done_callback(partial(self._on_task_done, attempt))

    def _cancel_attempt(self, effect: ev.CancelAttempt) -> None:
        task = self._attempt_tasks.get((effect.request_id, effect.attempt))
        if task is not None:
            task.cancel()

    def _respond(self, effect: ev.Respond) -> None:
        job = self._jobs[effect.request_id]
        self._forget_finished_job(effect.request_id)
        job.respond(effect)

    def _set_timer(self, effect: ev.SetTimer) -> None:
        key = next(self._timer_keys)
        at_s = self.clock.loop_time(effect.at_us)
        self._timers[key] = self._loop.call_at(at_s, self._on_timer, key, effect.token)

    def _on_timer(self, key: int, token: int) -> None:
        del self._timers[key]
        self.post(ev.TimerFired(token))

    def _send_peer_message(self, effect: ev.SendPeerMessage) -> None:
        self.send_peer_message(effect.recipient_index, effect.body)

    def _watch_endpoints(self, effect: ev.WatchEndpoints) -> None:
        self.watch_endpoints()

    def _start_probe(self, effect: ev.StartProbe) -> None:
        self.start_probe(effect.node_id)

    def _discard_reply(self, effect: ev.DiscardReply) -> None:
        if isinstance(effect.reply, Disposable):
            effect.reply.dispose()

    def _write_log_line(self, effect: ev.LogLine) -> None:
        log("core", text=effect.text)

    # --- attempts -------------------------------------------------------------------------------

    async def _run_attempt(self, job: Job, attempt: Attempt) -> None:
        try:
            result = await job.perform(attempt)
        except Exception:  # a faulty front must not leave its request without an answer
            log("an attempt failed in the broker itself", trace=traceback.format_exc())
            result = AttemptResult("reset")
        self._finish_attempt(attempt, result)

    def _finish_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """Report the end of an attempt exactly once, regardless of how its job behaves."""
        if self._attempt_tasks.pop((attempt.request_id, attempt.number), None) is None:
            return
        self.post(
            ev.AttemptFinished(
                attempt.request_id,
                attempt.number,
                result.kind,
                result.reply,
                attempt.body_written_us,
            )
        )

    def _on_task_done(self, attempt: Attempt, task: asyncio.Task[None]) -> None:
        """Report the end of a cancelled attempt, including one that was cancelled before its task ran."""
        if task.cancelled():
            self._finish_attempt(attempt, AttemptResult("cancelled"))
