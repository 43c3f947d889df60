"""Between the reducer and the sockets: collects the events of a loop turn, performs the effects."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass
from functools import partial
from typing import Protocol, runtime_checkable

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine.clock import Clock, until
from harriertide.engine.log import log

CLOSE_STEP_S = 0.005


@dataclass(slots=True)
class Attempt:
    """One attempt as its performer sees it: where to, until when, and the last look before writing."""

    runtime: Runtime
    request_id: str
    number: int
    node_id: str
    stop_at_us: int
    not_before_us: int = 0  # not to be written before
    body_written_us: int = 0  # when its last byte was, where it was sent on as it came

    def may_write(self) -> api.OutcomeKind | None:
        """None: write now. Else the attempt ends so, with nothing written."""
        runtime = self.runtime
        if runtime.has_client_disconnected(self.request_id):
            return "not_sent"
        return runtime.core.may_write(self.request_id, self.number, runtime.clock.now_us())


AttemptResult = tuple[api.OutcomeKind, object]


class Job(Protocol):
    """A taken request, as its front carries it."""

    @property
    def context(self) -> Context | None:
        """Of who asked: its attempts run in a copy. None: in the runtime's own."""

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Perform one attempt; how it ended, and what to pass on."""

    def has_client_disconnected(self) -> bool:
        """Whether who asked has left, as the system knows it now: the loop may not have heard of it yet."""

    def respond(self, answer: ev.Respond) -> None:
        """The final answer."""


@runtime_checkable
class Disposable(Protocol):
    """A reply that holds something, which is let go where nobody wants it."""

    def dispose(self) -> None:
        """Let go."""


class Runtime:
    """Owns the loop's side of the core; all fronts share one."""

    def __init__(self, core: Reducer, clock: Clock) -> None:
        self.core, self.clock = core, clock
        self.send_peer_message: Callable[[int, bytes], None] = lambda head, body: None
        self.watch_endpoints: Callable[[], None] = lambda: None
        self.start_probe: Callable[[str], None] = lambda node: None
        self.record_event: Callable[[int, ev.Event], None] | None = None  # of what the core is told
        self._loop = asyncio.get_running_loop()
        self._jobs: dict[str, Job] = {}
        self._events: list[ev.Event] = []
        self._timers: set[asyncio.TimerHandle] = set()
        self.check_fence: Callable[[], None] = lambda: None  # called before what has happened is acted on
        self._closed = False
        self._tasks: dict[tuple[str, int], asyncio.Task[None]] = {}

    def submit(self, arrival: api.Arrival, job: Job, streams_body: bool = False) -> bool:
        """Take a request into the core; False if its id is in use. streams: see Arrived."""
        if arrival.request_id in self._jobs or self.core.has_request(arrival.request_id):
            return False
        self._jobs[arrival.request_id] = job
        self.post(ev.RequestArrived(arrival, streams_body))
        return True

    def client_disconnected(self, request: str) -> None:
        """The client of a request is gone."""
        self.post(ev.ClientDisconnected(request))

    def has_client_disconnected(self, request: str) -> bool:
        """Whether who asked has left, looked up now.

        Guards against an attempt that begins behind its client's close: that lies behind bytes that were not
        read, or comes in a turn of the loop in which there is much else to do.
        """
        job = self._jobs.get(request)
        if job is None or not job.has_client_disconnected():
            return False
        self.client_disconnected(request)
        return True

    def response_started(self, attempt: Attempt) -> None:
        """The answer of an attempt is on its way to the client."""
        self.post(ev.ResponseStarted(attempt.request_id, attempt.number))

    def cancel_attempts(self, request: str) -> None:
        """Stop what runs for a request whose client is gone; it ends as cancelled."""
        for number in range(self.core.settings.max_attempts):
            task = self._tasks.get((request, number))
            if task is not None:
                task.cancel()

    async def close(self, by: float) -> None:
        """Answer what is open, stop what runs, and wait for its end until this moment of the loop's clock."""
        self.post(ev.ShutdownStarted())
        for task in self._tasks.values():
            task.cancel()
        while (self._tasks or self._events) and self._loop.time() < by:
            await until(min(by, self._loop.time() + CLOSE_STEP_S))
        self._closed = True
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def post(self, event: ev.Event) -> None:
        """Tell the core at the end of this turn of the loop, with all else that happens in it."""
        if self._closed:
            return  # what ends later than its runtime changes nothing any more
        if not self._events:
            self._loop.call_soon(self.flush)
        self._events.append(event)

    def flush(self) -> None:
        """Tell the core what was posted, and do what it says."""
        self.check_fence()
        events, self._events = self._events, []
        self._step(events)

    def handle_now(self, event: ev.Event) -> None:
        """Tell the core before all that was posted and not yet told."""
        self._step([event])

    def _step(self, events: list[ev.Event]) -> None:
        now_us = self.clock.now_us()
        if self.record_event is not None:
            for event in events:
                self.record_event(now_us, event)
        for effect in self.core.step(now_us, events):
            try:
                self._perform(effect)
            except Exception:  # guards against one broken effect taking the answers of others with it
                log("an effect failed in the broker itself", trace=traceback.format_exc())
        for event in events:
            if isinstance(event, (ev.AttemptFinished, ev.ClientDisconnected)) and not self.core.has_request(
                event.request_id
            ):
                self._jobs.pop(event.request_id, None)

    def _perform(self, effect: ev.Effect) -> None:
        if isinstance(effect, ev.StartAttempt):
            attempt = Attempt(
                self,
                effect.request_id,
                effect.attempt,
                effect.node_id,
                effect.stop_at_us,
                effect.not_before_us,
            )
            job = self._jobs[effect.request_id]
            context = job.context.copy() if job.context is not None else None
            task = self._loop.create_task(self._run(job, attempt), context=context)
            self._tasks[effect.request_id, effect.attempt] = task
            task.add_done_callback(partial(self._stopped, attempt))
        elif isinstance(effect, ev.CancelAttempt):
            running = self._tasks.get((effect.request_id, effect.attempt))
            if running is not None:
                running.cancel()
        elif isinstance(effect, ev.Respond):
            job = self._jobs[effect.request_id]
            if not self.core.has_request(effect.request_id):
                del self._jobs[effect.request_id]
            job.respond(effect)
        elif isinstance(effect, ev.SetTimer):
            self._set(self.clock.loop_time(effect.at_us), ev.TimerFired(effect.token))
        elif isinstance(effect, ev.SendPeerMessage):
            self.send_peer_message(effect.recipient_index, effect.body)
        elif isinstance(effect, ev.WatchEndpoints):
            self.watch_endpoints()
        elif isinstance(effect, ev.StartProbe):
            self.start_probe(effect.node_id)
        elif isinstance(effect, ev.DiscardReply):
            if isinstance(effect.reply, Disposable):
                effect.reply.dispose()
        else:
            log("core", text=effect.text)

    def _set(self, at: float, event: ev.TimerFired) -> None:
        def fire() -> None:
            self._timers.discard(timer)
            self.post(event)

        timer = self._loop.call_at(at, fire)
        self._timers.add(timer)

    async def _run(self, job: Job, attempt: Attempt) -> None:
        try:
            kind, reply = await job.perform(attempt)
        except Exception:  # guards against a fault in a performer leaving its request without an answer
            log("an attempt failed in the broker itself", trace=traceback.format_exc())
            kind, reply = "reset", None
        self._end(attempt, kind, reply)

    def _end(self, attempt: Attempt, kind: api.OutcomeKind, reply: object) -> None:
        """Exactly one Ended for each attempt, whatever the performer does."""
        if self._tasks.pop((attempt.request_id, attempt.number), None) is not None:
            self.post(
                ev.AttemptFinished(attempt.request_id, attempt.number, kind, reply, attempt.body_written_us)
            )

    def _stopped(self, attempt: Attempt, task: asyncio.Task[None]) -> None:
        """Its task is over; where the core has stopped it, maybe before it began, it says so here."""
        if task.cancelled():
            self._end(attempt, "cancelled", None)
