"""The broker inside an application: the daemon's core and decisions, with the application's own work."""

from __future__ import annotations

import asyncio
import contextvars
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from secrets import token_hex
from types import TracebackType
from typing import Any, Generic, TypeVar, cast

from harriertide.config import model
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine import counts
from harriertide.engine import runtime as engine
from harriertide.engine.clock import Clock, until
from harriertide.engine.runtime import Ending, Runtime
from harriertide.http.limits import Limits
from harriertide.http.node_client import NodeClient
from harriertide.http.node_response import Reply
from harriertide.library.exchange import Exchange
from harriertide.library.places import View
from harriertide.library.sources import Box, Fixed, OperatorFile, Source
from harriertide.library.types import (
    BOX_FAULTS,
    NO_NAMES,
    Ask,
    Attempt,
    BoxError,
    FailedError,
    Names,
    RefusedError,
    arrival,
)
from harriertide.platform.probes import Probes

T = TypeVar("T")
Perform = Callable[[Attempt], Awaitable[T]]
CONNECT_US, IDLE_US = 250_000, 15_000_000
SOCKETS, MEMORY_MB = 256, 64  # of which the client of boxes takes its part
_OVERDUE, _LEFT = ev.Respond("", "failed"), ev.Respond("", "failed")
LAST_S = 0.25  # after the end of its time a call whose work goes on all the same is answered
STOP_S = 5.0  # a stop without a moment of its own waits so long for open calls


class _Call(Generic[T]):
    """One call on its way through the core."""

    def __init__(
        self, perform: Perform[T], find: Callable[[str], str | None], gone: Callable[[], bool]
    ) -> None:
        self.context, self._gone = contextvars.copy_context(), gone
        self._perform, self._find = perform, find
        self.final: asyncio.Future[ev.Respond] = asyncio.get_running_loop().create_future()

    async def attempt(self, attempt: engine.Attempt) -> Ending:
        """The application's work, once; what it raises of a box's is an outcome, all else its answer."""
        mine = Attempt(attempt, self._find(attempt.node))
        if attempt.from_us:
            await until(attempt.runtime.clock.loop_time(attempt.from_us))
        if attempt.runtime.gone(attempt.request):
            return "not_sent", None
        try:
            async with asyncio.timeout_at(mine.stop_at) as limit:
                return "ok", (await self._perform(mine), None)
        except BoxError as fault:
            return fault.kind, None
        except TimeoutError as fault:
            return ("timeout", None) if limit.expired() else ("ok", (None, fault))
        except Exception as fault:  # the application's own affair: it is the answer, the box is not to blame
            return "ok", (None, fault)

    def gone(self) -> bool:
        """Whether who asked has left; then nobody waits for an answer of the core."""
        if self._gone():
            self.answer(_LEFT)
            return True
        return False

    def answer(self, answer: ev.Respond) -> None:
        """The final answer, to who waits for it."""
        if not self.final.done():
            self.final.set_result(answer)


class Boxes:
    """A bounded client of boxes. The core is asked right before the first byte of each request leaves."""

    def __init__(self, client: NodeClient) -> None:
        self._client = client

    async def request(
        self,
        attempt: Attempt,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Reply:
        """One exchange with the attempt's box: its whole answer, of any status below 500.

        BoxError and its kinds for all else; let them pass, so that the core can try again.
        """
        kind, reply = await self._client.exchange(attempt.engine, method, target, headers or {}, body)
        if kind == "ok" and reply is not None:
            return reply
        if kind == "error" and reply is not None and reply.status < 500:
            return reply
        fault = BOX_FAULTS.get(kind)
        if fault is None:
            unwritten = BoxError(kind)
            unwritten.kind = kind
            raise unwritten
        raise fault(f"{attempt.box}: {kind}" if reply is None else f"{attempt.box}: status {reply.status}")


class Broker:
    """One broker in this process, on the event loop that starts it.

        async with Broker.from_file("boxes.toml") as broker:
            page = await broker.call(Ask("photos", shard=3), perform)

    settings, source: see from_file and from_tables for what needs neither. record: a file to which what the
    core is told is written, to be played again (harriertide lab parity). exchange: a seat among other brokers
    on the same boxes, so that they share what one alone would take.
    """

    def __init__(
        self,
        settings: api.Settings,
        source: Source | Iterable[Box],
        *,
        names: Names = NO_NAMES,
        seed: int | None = None,
        sockets: int = SOCKETS,
        memory_mb: int = MEMORY_MB,
        record: str | None = None,
        exchange: Exchange | None = None,
    ) -> None:
        self.source: Source = Fixed(source) if isinstance(source, Iterable) else source
        self.names = names
        self.counts: Counter[str] = Counter()
        self._seed = time.time_ns() if seed is None else seed
        self.core = Reducer(settings, self._seed)
        self.exchange, self._settings, self._view = exchange, settings, View((0,), 0)
        self._record, self._file = record, ExitStack()
        self._limits = Limits.from_resources(sockets, memory_mb)
        self._runtime: Runtime | None = None
        self._client: NodeClient | None = None
        self._probes: Probes | None = None
        self._refusing = self._stopping = False
        self._open: set[asyncio.Future[ev.Respond]] = set()
        self._grades: list[str] = list(names.plans)

    # --- how to make one -----------------------------------------------------------------------

    @classmethod
    def from_file(cls, path: str, *, look_s: float = 1.0, seed: int | None = None) -> Broker:
        """As an operator's file says, which is looked at again every look_s seconds. Classes: read, write,
        bulk; plans: its grades. OperatorFileError names the key that can't be used."""
        made: list[Broker] = []
        source = OperatorFile(path, look_s, lambda state: made[0].restate(state))
        made.append(cls._stated(source.state, source, seed))
        return made[0]

    @classmethod
    def from_tables(
        cls,
        boxes: Mapping[str, Any],
        grades: Mapping[str, Any],
        volumes: Mapping[str, Any],
        limits: Mapping[str, Any] | None = None,
        *,
        seed: int | None = None,
    ) -> Broker:
        """The same tables as in an operator's file, as arguments."""
        given = {"boxes": boxes, "grades": grades, "volumes": volumes, "limits": limits or {}}
        state = model.read_state({section: dict(table) for section, table in given.items()})
        rows = state["boxes"].items()
        fixed = Fixed(
            Box(name, row["shard"], row["address"], state="live" if row["state"] == "up" else "draining")
            for name, row in rows
        )
        return cls._stated(state, fixed, seed)

    @classmethod
    def _stated(cls, state: model.State, source: Source, seed: int | None) -> Broker:
        grades = list(state["grades"])
        return cls(model.settings(state, grades), source, names=_names(state, grades), seed=seed)

    def restate(self, state: model.State) -> None:
        """Go by another state of the operator's tables; requests under way keep what they came with."""
        self._grades += [name for name in state["grades"] if name not in self._grades]
        self.names = _names(state, self._grades)
        if self._runtime is not None:
            self._resettle(model.settings(state, self._grades))

    # --- life ----------------------------------------------------------------------------------

    @property
    def started(self) -> bool:
        """Whether it was ever started."""
        return self._runtime is not None

    @property
    def running(self) -> bool:
        """Whether calls are taken."""
        return self._runtime is not None and not self._refusing

    async def start(self) -> None:
        """Begin to take calls, on this event loop."""
        if self._runtime is not None:
            raise RuntimeError("the broker has been started before")
        self._runtime = Runtime(self.core, Clock(asyncio.get_running_loop()))
        self._runtime.watch = self.source.subscribe
        self._client = NodeClient(self.source.find, CONNECT_US, IDLE_US, self._limits)
        self._probes = Probes(self._client, self._runtime.post)
        self._runtime.probe = self._probes.start
        if self._record is not None:
            self._write_down(self._record)
        self.source.start(self._runtime.post)
        if self.exchange is not None:
            self._runtime.tell = self.exchange.tell
            await self.exchange.join(self._runtime.post, self._take_view)

    def _take_view(self, view: View) -> None:
        """Other brokers have come or gone: this one's number and theirs."""
        self._view = view
        self._resettle(self._settings)

    def _resettle(self, settings: api.Settings) -> None:
        """Go by these settings, in the place that this broker has among others."""
        self._settings = settings
        heads = len(self._view.members)
        if self.exchange is not None:
            settings = replace(
                settings, broker_index=self._view.place, broker_count=heads, peer_messages_allowed=heads > 1
            )
        if self._runtime is not None:
            self._runtime.post(ev.SettingsChanged(settings))

    def _write_down(self, path: str) -> None:
        from harriertide.engine.workload import Recorder  # its library is loaded only where it is wanted

        runtime = self._runtime
        assert runtime is not None
        file = self._file.enter_context(Path(path).open("wb"))  # noqa: SIM115 - closed by stop
        runtime.record = Recorder(file, self.core.settings, self._seed, runtime.clock.now_us()).take

    def refuse(self) -> None:
        """Refuse new calls from now on; stop() is to follow."""
        self._refusing = True

    async def stop(self, by: float | None = None) -> None:
        """Refuse new calls, let open ones finish, answer and stop those that are open by then.

        by: a moment of the loop's clock. Returns with no task, timer or connection of the broker left, but
        for work that swallows its cancellation.
        """
        if self._runtime is None or self._stopping:
            return
        self._refusing = self._stopping = True
        loop = asyncio.get_running_loop()
        end = loop.time() + STOP_S if by is None else by
        while self._open and loop.time() < end:
            await until(min(end, loop.time() + 0.005))
        if self.exchange is not None:
            await self.exchange.leave()
        await self.source.close()
        await self._runtime.close(max(end, loop.time()) + LAST_S)
        if self._probes is not None:
            await self._probes.close()
        if self._client is not None:
            await self._client.close()
        self._file.close()

    async def __aenter__(self) -> Broker:
        await self.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.stop()

    # --- calls ---------------------------------------------------------------------------------

    @property
    def boxes(self) -> Boxes:
        """A client of boxes for what perform does."""
        if self._client is None:
            raise RuntimeError("the broker has not been started")
        return Boxes(self._client)

    async def call(self, ask: Ask, perform: Perform[T], gone: Callable[[], bool] = lambda: False) -> T:
        """Run perform(attempt) on a box of the core's choice, again where it may help; what it returned.

        RefusedError and FailedError are the final answers, at once when they are decided. What else perform
        raises passes as it is, and is not repeated. Cancelled, its work is cancelled and nobody is answered.
        gone: asked before each attempt begins and is written; true when who asked has left: none does then.
        """
        runtime = self._runtime
        if runtime is None:
            raise RuntimeError("the broker has not been started")
        if self._refusing:
            self.counts["refused_stopping"] += 1
            raise RefusedError(self.core.settings.max_retry_after_us / 1e6)
        clock = runtime.clock
        deadline_at_us = None if ask.give_up_at is None else clock.unix_us(ask.give_up_at)
        hosts = ask.hosts or len(self._view.members)
        request = ask.request or token_hex(8)
        asked = arrival(ask, request, hosts, self.names, self.core, clock.now_us(), deadline_at_us)
        call = _Call(perform, self.source.find, gone)
        if not runtime.submit(asked, call):
            raise ValueError(f"request: {asked.request_id} is open already")
        self._open.add(call.final)
        # work that swallows its cancellation must not keep its caller from an answer
        last = clock.loop_time(asked.deadline_at_us) + LAST_S
        timer = asyncio.get_running_loop().call_at(last, call.answer, _OVERDUE)
        try:
            answer = await call.final
        except asyncio.CancelledError:
            runtime.left(asked.request_id)
            runtime.stop(asked.request_id)
            raise
        finally:
            timer.cancel()
            self._open.discard(call.final)
        if answer is _OVERDUE:
            self.counts["overdue"] += 1
            runtime.left(asked.request_id)
            raise FailedError("its work did not end within its time")
        if answer.kind == "served":
            assert isinstance(answer.reply, tuple)
            value, fault = answer.reply
            if fault is not None:
                raise fault
            return cast(T, value)
        if answer.kind == "rejected":
            raise RefusedError(answer.retry_after_us / 1e6)
        raise FailedError

    def counters(self) -> dict[str, int]:
        """All counts, by part and name."""
        parts = {"core": self.core.counts, "library": self.counts}
        if self.exchange is not None:
            parts["exchange"] = self.exchange.counts
        if self._client is not None:
            parts["boxes"] = self._client.counts
        return counts.fields(parts)


def _names(state: model.State, grades: list[str]) -> Names:
    plans = {name: place for place, name in enumerate(grades)}
    volumes = {name: plans[row["grade"]] for name, row in state["volumes"].items()}
    return Names({"read": 0, "write": 1, "bulk": 2}, plans, volumes)
