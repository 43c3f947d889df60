"""The broker inside an application: the daemon's core and decisions, with the application's own work."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from secrets import token_hex
from types import TracebackType
from typing import Any, TypeVar

from harriertide.config import decision_settings, operator_file
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine.clock import Clock, sleep_until
from harriertide.engine.counters import counter_fields
from harriertide.engine.runtime import Runtime
from harriertide.http.limits import Limits
from harriertide.http.node_client import NodeClient
from harriertide.library.call import OVERDUE_GRACE_S, CallJob, Work
from harriertide.library.errors import RejectedError
from harriertide.library.membership import MembershipView
from harriertide.library.node_client_view import NodeClientView
from harriertide.library.node_sources import Node, NodeList, NodeSource, OperatorFile
from harriertide.library.operator_state import names_of, nodes_of
from harriertide.library.peer_transport import PeerTransport
from harriertide.library.request_spec import NO_NAMES, NameTable, RequestSpec, build_arrival
from harriertide.platform.probes import Probes

T = TypeVar("T")
CONNECT_TIMEOUT_US = 250_000  # nodes are near: a longer one would take a large part of a page read's time
IDLE_TIMEOUT_US = 15_000_000  # after which nodes may close an idle connection
DEFAULT_DESCRIPTOR_COUNT = 256  # sockets and files of the process, of which the node client takes its part
DEFAULT_MEMORY_MB = 64
STOP_TIMEOUT_S = 5.0  # how long a stop without a deadline waits for open calls
STOP_POLL_S = 0.005  # how often a stop looks whether they have ended


class Broker:
    """One broker in this process, on the event loop that starts it.

        async with Broker.from_file("boxes.toml") as broker:
            page = await broker.call(RequestSpec("photos", shard=3), perform)

    :param settings: see `from_file` and `from_tables` for what needs neither settings nor source
    :param source: where the endpoint list comes from, or the nodes of a list that stays as it is
    :param seed: of the decisions' random numbers; None: drawn
    :param descriptor_count: how many sockets and files the process may have open
    :param record: a file to which all that the core gets is written, to be played again
        (`harriertide lab parity`)
    :param peers: reaches other brokers before the same nodes, so that they share what one alone would take
    """

    def __init__(
        self,
        settings: api.Settings,
        source: NodeSource | Iterable[Node],
        *,
        names: NameTable = NO_NAMES,
        seed: int | None = None,
        descriptor_count: int = DEFAULT_DESCRIPTOR_COUNT,
        memory_mb: int = DEFAULT_MEMORY_MB,
        record: str | None = None,
        peers: PeerTransport | None = None,
    ) -> None:
        self.source: NodeSource = NodeList(source) if isinstance(source, Iterable) else source
        self.names = names
        self.counts: Counter[str] = Counter()
        self._seed = time.time_ns() if seed is None else seed
        self.core = Reducer(settings, self._seed)
        self.peers = peers
        self.view = MembershipView((0,), 0)  # which brokers share, this one included
        self._settings = settings
        self._plan_names: list[str] = list(names.plans)
        self._limits = Limits.from_resources(descriptor_count, memory_mb)
        self._record_path = record
        self._open_files = ExitStack()
        self._runtime: Runtime | None = None
        self._client: NodeClient | None = None
        self._probes: Probes | None = None
        self._rejects_calls = False
        self._is_stopping = False
        self._open_calls: set[CallJob[Any]] = set()

    # --- how to make one -----------------------------------------------------------------------

    @classmethod
    def from_file(cls, path: str, *, poll_interval_s: float = 1.0, seed: int | None = None) -> Broker:
        """A broker as an operator's file has it. Classes: read, write, bulk; plans: the file's grades.

        :param poll_interval_s: between two looks at the file for changes
        :raises OperatorFileError: the file cannot be used; the message names the key
        """
        source = OperatorFile(path, poll_interval_s)
        broker = cls._from_state(source.state, source, seed)
        source.on_state_changed = broker.apply_operator_state
        return broker

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
        """A broker as the tables of an operator's file have it, which are given as arguments.

        :raises OperatorFileError: a table cannot be used; the message names the key
        """
        tables = {"boxes": boxes, "grades": grades, "volumes": volumes, "limits": limits or {}}
        state = operator_file.read_state({section: dict(table) for section, table in tables.items()})
        return cls._from_state(state, NodeList(nodes_of(state)), seed)

    @classmethod
    def _from_state(cls, state: operator_file.State, source: NodeSource, seed: int | None) -> Broker:
        plan_names = list(state["grades"])
        names = names_of(state, plan_names)
        return cls(decision_settings.build_settings(state, plan_names), source, names=names, seed=seed)

    def apply_operator_state(self, state: operator_file.State) -> None:
        """Go by another state of the operator's tables; open requests keep the plan that they came with."""
        self._plan_names += [name for name in state["grades"] if name not in self._plan_names]
        self.names = names_of(state, self._plan_names)
        if self._runtime is not None:
            self._apply_settings(decision_settings.build_settings(state, self._plan_names))

    # --- life ----------------------------------------------------------------------------------

    @property
    def has_started(self) -> bool:
        """Whether it was ever started."""
        return self._runtime is not None

    @property
    def is_accepting_calls(self) -> bool:
        """Whether calls are taken."""
        return self._runtime is not None and not self._rejects_calls

    @property
    def runtime(self) -> Runtime:
        """What runs the core on the event loop.

        :raises RuntimeError: the broker was not started
        """
        if self._runtime is None:
            raise RuntimeError("the broker has not been started")
        return self._runtime

    async def start(self) -> None:
        """Begin to take calls, on this event loop.

        :raises RuntimeError: the broker was started before
        """
        if self._runtime is not None:
            raise RuntimeError("the broker has been started before")
        runtime = Runtime(self.core, Clock(asyncio.get_running_loop()))
        self._runtime = runtime
        self._client = NodeClient(self.source.find_address, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, self._limits)
        self._probes = Probes(self._client, runtime.post)
        runtime.watch_endpoints = self.source.watch
        runtime.start_probe = self._probes.start
        if self._record_path is not None:
            self._record_events(runtime, self._record_path)
        self.source.start(runtime.post)
        if self.peers is not None:
            runtime.send_peer_message = self.peers.send
            await self.peers.join(runtime.post, self._on_view_changed)

    def _on_view_changed(self, view: MembershipView) -> None:
        """Other brokers have come or gone: this one's index and their number."""
        self.view = view
        self._apply_settings(self._settings)

    def _apply_settings(self, settings: api.Settings) -> None:
        """Go by these settings, with this broker's index among those that share."""
        self._settings = settings
        if self.peers is not None:
            broker_count = len(self.view.members)
            settings = replace(
                settings,
                broker_index=self.view.broker_index,
                broker_count=broker_count,
                peer_messages_allowed=broker_count > 1,
            )
        if self._runtime is not None:
            self._runtime.post(ev.SettingsChanged(settings))

    def _record_events(self, runtime: Runtime, path: str) -> None:
        from harriertide.engine.workload import Recorder  # loads msgspec, which only a recording needs

        file = self._open_files.enter_context(Path(path).open("wb"))  # noqa: SIM115 - closed by stop
        recorder = Recorder(file, self.core.settings, self._seed, runtime.clock.now_us())
        runtime.record_event = recorder.write_event

    def reject_calls(self) -> None:
        """Reject new calls from now on; `stop` is to follow."""
        self._rejects_calls = True

    async def stop(self, deadline_s: float | None = None) -> None:
        """Reject new calls, let open ones finish, then answer and cancel those that are open at the deadline.

        No task, timer or connection of the broker is left, but for work that swallows its cancellation.

        :param deadline_s: a moment of the event loop's clock; None: STOP_TIMEOUT_S from now
        """
        if self._runtime is None or self._is_stopping:
            return
        self._rejects_calls = True
        self._is_stopping = True
        loop = asyncio.get_running_loop()
        if deadline_s is None:
            deadline_s = loop.time() + STOP_TIMEOUT_S
        while self._open_calls and loop.time() < deadline_s:
            await sleep_until(min(deadline_s, loop.time() + STOP_POLL_S))
        if self.peers is not None:
            await self.peers.leave()
        await self.source.close()
        await self._runtime.close(max(deadline_s, loop.time()) + OVERDUE_GRACE_S)
        if self._probes is not None:
            await self._probes.close()
        if self._client is not None:
            await self._client.close()
        self._open_files.close()

    async def __aenter__(self) -> Broker:
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()

    # --- calls ---------------------------------------------------------------------------------

    @property
    def nodes(self) -> NodeClientView:
        """A client of nodes for what an application's work does.

        :raises RuntimeError: the broker was not started
        """
        if self._client is None:
            raise RuntimeError("the broker has not been started")
        return NodeClientView(self._client)

    async def call(
        self,
        spec: RequestSpec,
        perform: Work[T],
        is_abandoned: Callable[[], bool] = lambda: False,
    ) -> T:
        """Run `perform(attempt)` on a node of the core's choice, again where that may help.

        What else it raises than an AttemptError passes as it is, and is not retried. A call that is cancelled
        cancels its work.

        :param is_abandoned: asked before each attempt begins and is written: whether who asked has left. No
            attempt is made then.
        :returns: what perform returned
        :raises RejectedError: the final answer, as soon as it is decided: a retry is harmless
        :raises FailedError: the final answer, as soon as it is decided: the request may have executed
        :raises ValueError: the spec has a value that cannot be used, or an id that is in use
        :raises RuntimeError: the broker was not started
        """
        runtime = self.runtime
        if self._rejects_calls:
            self.counts["refused_stopping"] += 1
            raise RejectedError(self.core.settings.max_retry_after_us / 1e6)
        arrival = self._arrival_of(spec, runtime.clock)
        job = CallJob(perform, self.source.find_address, is_abandoned)
        if not runtime.submit(arrival, job):
            raise ValueError(f"request: {arrival.request_id} is open already")
        self._open_calls.add(job)
        try:
            return await job.wait_for_result(runtime, arrival)
        finally:
            self._open_calls.discard(job)
            if job.is_overdue:
                self.counts["overdue"] += 1

    def _arrival_of(self, spec: RequestSpec, clock: Clock) -> api.Arrival:
        return build_arrival(
            spec,
            spec.request_id or token_hex(8),
            broker_count=len(self.view.members),
            names=self.names,
            settings=self.core.settings,
            now_us=clock.now_us(),
            deadline_at_us=None if spec.deadline_s is None else clock.unix_us(spec.deadline_s),
        )

    def counters(self) -> dict[str, int]:
        """All counters, by "part.name"."""
        parts = {"core": self.core.counts, "library": self.counts}
        if self.peers is not None:
            parts["exchange"] = self.peers.counts
        if self._client is not None:
            parts["boxes"] = self._client.counts
        return counter_fields(parts)
