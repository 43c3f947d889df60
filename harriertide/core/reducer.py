"""All changes of state: events in, effects out. The decisions are those of `harriertide.decide.scheduler`;
this owns the requests, their attempts and their final answers, and keeps the rules about those even
where the decision module or a front errs."""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.decide.scheduler import MARGIN_US, Scheduler
from harriertide.decide.state import Cell

# Guards against a cold node's budget being booked in one window and spent in the next: an attempt that
# could not be written this soon after it was decided (a slow connection) goes back as never sent.
SLOW_START_WRITE_DELAY_MAX_US = 40_000
# Guards against units of a limit that were given for now and arrive later, when their store has filled in
# their place: a broker stood still, or a box could not be reached at first. The rule allows so much.
RATE_LIMIT_WRITE_DELAY_MAX_US = 150_000
# Guards against a second copy at the boxes. An attempt that ended without a whole answer was closed by this
# broker before the next is written, but its box learns of that when it reads that connection, and it reads
# its connections in any order, late when it is short of processor. docs/measurements/second-copy.md has how
# often both lie there together, by this gap.
CUT_OFF_GAP_US = 12_000
_UNSETTLED = frozenset({"timeout", "reset", "cancelled", "error"})


def _for_module(settings: api.Settings) -> api.Settings:
    """The module books a cold node's budget when it decides.

    Its bytes leave up to SLOW_START_WRITE_DELAY_MAX_US later.

    A window longer by that keeps two windows' budgets from meeting in one window of real sends.
    """
    return (
        replace(settings, collapse_window_us=settings.collapse_window_us + SLOW_START_WRITE_DELAY_MAX_US)
        if settings.collapse_window_us
        else settings
    )


class Decider(Protocol):
    """A decision module: the project's own, or a scripted one."""

    def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Take what has happened by now; return what to do, in order."""


@dataclass(slots=True)
class Taken:
    """A request from its arrival until it is answered and no attempt of it is out."""

    arrival: api.Arrival
    made: int = 0
    first_us: int = 0  # when its first attempt was decided
    reached: bool = False  # an attempt may have come to a box
    maybe_us: int = 0  # when the first attempt that may have run was decided; 0: none
    out: int = -1  # the attempt that is out; -1: none
    node: str = ""
    sent_us: int = 0
    stop_us: int = 0  # of the attempt that is out
    settled_us: int = 0  # the last attempt counts as over at its box from then on
    answered: bool = False
    streams: bool = False  # its body is sent on as it comes


class Reducer:
    """The state of one broker. Single-threaded; step is the only way to change it."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        scheduler: Callable[[api.Settings, int], Decider] = Scheduler,
    ) -> None:
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self._make, self._seed = scheduler, seed
        self._scheduler = scheduler(_for_module(settings), seed)
        self._taken: dict[str, Taken] = {}
        self._nodes: dict[str, api.NodeEntry] = {}
        self._effects: list[ev.Effect] = []
        # Asked right before a write, beside the list: guards against a broker that was stopped or cut off and
        # goes by what it knew before.
        self.is_barred: Callable[[str], bool] | None = None
        self.offered_units = 0.0
        self.consecutive_unresponsive: Counter[str] = (
            Counter()
        )  # by node: attempts in a row that brought no sign of life
        # Ids that are free again, and from when on: guards against one that is used once more right behind an
        # attempt that was cut off. Soonest first.
        self._settling: dict[str, int] = {}

    @property
    def scheduler(self) -> Decider:
        """The decision module."""
        return self._scheduler

    # --- questions, which change nothing -------------------------------------------------------

    def has_request(self, request: str) -> bool:
        """Whether this id is in use."""
        return request in self._taken

    def open_request_count(self) -> int:
        """Requests without a final answer."""
        return sum(not taken.answered for taken in self._taken.values())

    def learned_capacity_by_node(self) -> dict[str, float]:
        """What nodes under pressure do by now, units a second, as the decision module has learned it."""
        cells: dict[int, Cell] = getattr(self._scheduler, "_cells", {})
        return {
            node.id: cell.capacity / len(cell.nodes)
            for cell in cells.values()
            if cell.tight
            for node in cell.nodes.values()
            if node.live
        }

    def open_attempt_count_at(self, node: str) -> int:
        """Attempts that are out at a node, those that were not written yet included."""
        return sum(taken.out >= 0 and taken.node == node for taken in self._taken.values())

    def nodes(self) -> dict[str, api.NodeEntry]:
        """The nodes as last told, those that drain included."""
        return dict(self._nodes)

    def may_write(self, request: str, attempt: int, now_us: int) -> api.OutcomeKind | None:
        """Asked right before the first byte leaves: None, or how the attempt ends unwritten.

        Guards against sends that were decided before a drain was told, before the client left, or while what
        may have run might be repeated, and waited for a connection meanwhile.
        """
        taken = self._taken.get(request)
        if taken is None or taken.answered or taken.out != attempt:
            return "not_sent"
        node = self._nodes.get(taken.node)
        if node is None or node.state != "live":
            return "rejected"
        if self.is_barred is not None and self.is_barred(taken.node):
            self.counts["barred"] += 1
            return "rejected"
        kind = self.settings.classes[taken.arrival.request_class]
        if taken.maybe_us and (
            kind.idempotency == "non_idempotent"
            or (
                kind.idempotency == "keyed"
                and now_us + MARGIN_US > taken.maybe_us + kind.deduplication_window_us
            )
        ):
            # it was in its window when it was decided, and has waited for a connection since
            self.counts["window_over"] += 1
            return "not_sent"
        if now_us >= taken.stop_us:
            return "rejected"  # it would be closed at once: nothing ran, and nothing is wrong with the box
        limited = self.settings.plans[taken.arrival.plan].rate_limit > 0 and not taken.reached
        if limited and now_us - taken.first_us > RATE_LIMIT_WRITE_DELAY_MAX_US:
            return "not_sent"
        cold = node.started_us > 0 and now_us < node.started_us + self.settings.slow_start_us
        if taken.streams and (cold or limited):
            return "rejected"  # its last byte comes any time later: what it may take of a budget is of now
        if cold and now_us - taken.sent_us > SLOW_START_WRITE_DELAY_MAX_US:
            return "connect_failed"
        return None

    # --- the one way to change state -----------------------------------------------------------

    def step(self, now_us: int, happened: list[ev.Event]) -> list[ev.Effect]:
        """Take what has happened, in order; return what to do, in order."""
        self._effects = []
        while self._settling and next(iter(self._settling.values())) <= now_us:
            del self._settling[next(iter(self._settling))]
        told: list[api.Event] = []
        for event in happened:
            told += self._take(now_us, event)
        while told:
            told = self._decide(now_us, told)
        return self._effects

    def _take(self, now_us: int, event: ev.Event) -> list[api.Event]:
        """Book one event; what the module hears of it."""
        if isinstance(event, ev.RequestArrived):
            return self._arrive(event.arrival, event.streams_body)
        if isinstance(event, ev.AttemptFinished):
            return self._end(now_us, event)
        if isinstance(event, ev.ResponseStarted):
            taken = self._taken.get(event.request_id)
            at_work = taken is not None and taken.out == event.attempt
            return [api.ResponseStarted(event.request_id, event.attempt)] if at_work else []
        if isinstance(event, ev.ClientDisconnected):
            return self._leave(event.request_id)
        if isinstance(event, ev.EndpointsUpdated):
            return self._list(event.update)
        if isinstance(event, ev.PeerMessageReceived):
            self.counts["peer_in"] += 1
            return [api.PeerMessageReceived(event.sender_index, event.body)]
        if isinstance(event, ev.ProbeFinished):
            self.counts[f"probe_{event.kind}"] += 1
            return [api.ProbeFinished(event.node_id, event.kind)]
        if isinstance(event, ev.SettingsChanged):
            self.settings = event.settings
            return [api.SettingsChanged(_for_module(event.settings))]
        if isinstance(event, ev.ShutdownStarted):
            self._answer_all()
            return []
        return [api.TimerFired(event.token)]

    def _arrive(self, arrival: api.Arrival, streams: bool) -> list[api.Event]:
        self.counts["taken"] += 1
        if arrival.request_id in self._taken:
            # a front checks has_request() first; the first holder of the id keeps its one answer
            self.counts["same_id"] += 1
            return []
        self.offered_units += arrival.units
        settled_us = self._settling.pop(arrival.request_id, 0)
        self._taken[arrival.request_id] = Taken(arrival, settled_us=settled_us, streams=streams)
        return [arrival]

    def _end(self, now_us: int, event: ev.AttemptFinished) -> list[api.Event]:
        taken = self._taken.get(event.request_id)
        if taken is None or taken.out != event.attempt:
            self.counts["stray_outcome"] += 1
            if event.reply is not None:
                self._effects.append(ev.DiscardReply(event.reply))
            return []
        self.counts[f"outcome_{event.kind}"] += 1
        node, taken.out = taken.node, -1
        taken.reached = taken.reached or event.kind not in api.NOT_EXECUTED_OUTCOMES
        if taken.reached and not taken.maybe_us:
            taken.maybe_us = taken.sent_us
        if self.is_barred is None or node not in self._nodes:
            pass  # nobody asks
        elif event.kind in api.UNRESPONSIVE_OUTCOMES:
            # one that can't be reached is tried seldom from then on: that alone says as much as two others
            self.consecutive_unresponsive[node] += 2 if event.kind == "connect_failed" else 1
        elif event.kind not in api.NOT_EXECUTED_OUTCOMES:
            self.consecutive_unresponsive.pop(node, None)
        if event.kind in _UNSETTLED:
            taken.settled_us = now_us + CUT_OFF_GAP_US
        if event.kind == "ok" and not taken.answered:
            self._answer(taken, ev.Respond(event.request_id, "served", event.reply))
        elif event.reply is not None:
            self._effects.append(ev.DiscardReply(event.reply))
        if taken.answered:
            self._let_go(taken)
        took_us = now_us - max(taken.sent_us, event.body_written_us)
        return [
            api.AttemptFinished(event.request_id, event.attempt, node, event.kind, took_us, taken.answered)
        ]

    def _leave(self, request: str) -> list[api.Event]:
        taken = self._taken.get(request)
        if taken is None or taken.answered:
            return []
        self.counts["left"] += 1
        taken.answered = True
        if taken.out < 0:
            self._let_go(taken)
        return [api.ClientDisconnected(request)]

    def _let_go(self, taken: Taken) -> None:
        """It is answered and no attempt of it is out."""
        request = taken.arrival.request_id
        del self._taken[request]
        if taken.settled_us:
            self._settling[request] = taken.settled_us

    def _list(self, news: api.EndpointUpdate) -> list[api.Event]:
        self.counts[f"list_{news.kind}"] += 1
        if news.kind in ("full", "cached"):
            self._nodes = {}
            self.consecutive_unresponsive.clear()
        for entry in news.entries:
            if entry.state == "gone":
                self._nodes.pop(entry.node_id, None)
                self.consecutive_unresponsive.pop(entry.node_id, None)
            else:
                self._nodes[entry.node_id] = entry
        return [news]

    # --- the module's actions ------------------------------------------------------------------

    def _decide(self, now_us: int, told: list[api.Event]) -> list[api.Event]:
        """Ask the module and do what it says; what it has to hear at once of that."""
        back: list[api.Event] = []
        try:
            for action in self._scheduler.decide(now_us, told):
                back += self._do(now_us, action)
        except Exception:  # a fault of the module must not leave clients without an answer
            self._start_over(now_us, traceback.format_exc())
        return back

    def _do(self, now_us: int, action: api.Action) -> list[api.Event]:
        if isinstance(action, api.StartAttempt):
            return self._send(now_us, action)
        if isinstance(action, api.CancelAttempt):
            self._cancel(action)
        elif isinstance(action, api.Reject):
            self._final(ev.Respond(action.request_id, "rejected", None, action.retry_after_us))
        elif isinstance(action, api.Fail):
            self._final(ev.Respond(action.request_id, "failed"))
        elif isinstance(action, api.SetTimer):
            self._effects.append(ev.SetTimer(now_us + action.after_us, action.token))
        elif isinstance(action, api.SendPeerMessage):
            self.counts["peer_out"] += 1
            self._effects.append(ev.SendPeerMessage(action.recipient_index, action.body))
        elif isinstance(action, api.WatchEndpoints):
            self.counts["watches"] += 1
            self._effects.append(ev.WatchEndpoints())
        elif isinstance(action, api.StartProbe):
            self.counts["probes"] += 1
            self._effects.append(ev.StartProbe(action.node_id))
        else:
            self._effects.append(ev.LogLine(action.text))
        return []

    def _send(self, now_us: int, action: api.StartAttempt) -> list[api.Event]:
        """Start an attempt; one that would break a rule is turned back as moot, never sent."""
        taken = self._taken.get(action.request_id)
        if taken is None:
            return []
        number, node = taken.made, self._nodes.get(action.node_id)
        taken.made += 1
        fit = node is not None and node.state == "live" and number < self.settings.max_attempts
        if taken.answered or taken.out >= 0 or not fit:
            self.counts["turned_back"] += 1
            return [
                api.AttemptFinished(action.request_id, number, action.node_id, "not_sent", 0, taken.answered)
            ]
        taken.out, taken.node, taken.sent_us = number, action.node_id, now_us
        taken.first_us = taken.first_us or now_us
        taken.stop_us = min(action.stop_at_us or taken.arrival.deadline_at_us, taken.arrival.deadline_at_us)
        self.counts["attempts"] += 1
        from_us = taken.settled_us if taken.settled_us > now_us else 0
        start = ev.StartAttempt(action.request_id, number, action.node_id, taken.stop_us, from_us)
        self._effects.append(start)
        return []

    def _cancel(self, action: api.CancelAttempt) -> None:
        taken = self._taken.get(action.request_id)
        if taken is not None and taken.out == action.attempt and not taken.streams:
            self.counts["cancels"] += 1
            self._effects.append(ev.CancelAttempt(action.request_id, action.attempt))

    def _final(self, answer: ev.Respond) -> None:
        taken = self._taken.get(answer.request_id)
        if taken is not None and not taken.answered:
            self._answer(taken, answer)
            if taken.out < 0:
                self._let_go(taken)

    def _answer(self, taken: Taken, answer: ev.Respond) -> None:
        taken.answered = True
        self.counts[answer.kind] += 1
        self._effects.append(answer)

    def _start_over(self, now_us: int, trace: str) -> None:
        """The module broke: log it, answer all it held, start a fresh one on the list as known."""
        self.counts["module_faults"] += 1
        self._effects.append(ev.LogLine("the decision module failed; open requests are answered:\n" + trace))
        self._answer_all()
        self._seed += 1
        self._scheduler = self._make(_for_module(self.settings), self._seed)
        held = api.EndpointUpdate("cached", tuple(self._nodes.values()))
        try:
            for action in self._scheduler.decide(now_us, [held]):
                self._do(now_us, action)
        except Exception:
            self._effects.append(ev.LogLine("the fresh decision module failed too"))

    def _answer_all(self) -> None:
        """A final answer to whatever is open: a refusal where it is true that trying again is harmless."""
        for taken in list(self._taken.values()):
            effect = self.settings.classes[taken.arrival.request_class].idempotency
            kind = "rejected" if effect == "idempotent" or not taken.made else "failed"
            wait_us = self.settings.max_retry_after_us if kind == "rejected" else 0
            self._final(ev.Respond(taken.arrival.request_id, kind, None, wait_us))  # type: ignore[arg-type]
