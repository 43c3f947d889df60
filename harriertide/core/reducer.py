"""The core's state machine: events in, effects out.

What to do is decided by the decision module (`harriertide.decide.scheduler`). The reducer tells it what has
happened and carries out its actions: those on requests through `RequestLifecycle`, which keeps the rules
about attempts and final answers, the others as they are. It survives a failure of the decision module.
"""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Callable
from typing import Any

from harriertide.core import events as ev
from harriertide.core.decision_module import (
    DecisionModule,
    DecisionModuleFactory,
    ReportsCapacity,
    settings_for_decision_module,
)
from harriertide.core.endpoints import EndpointTable
from harriertide.core.request_lifecycle import RequestLifecycle
from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler


class Reducer:
    """The state of one broker. Single-threaded; `step` alone changes it.

    :param settings: of the broker and of its decision module
    :param seed: of the decision module's random numbers
    :param scheduler: makes a decision module, also in place of one that failed
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        scheduler: DecisionModuleFactory = Scheduler,
    ) -> None:
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.offered_units = 0.0
        # Whether maintenance bars a node from new attempts; None: there is no maintenance. Asked right before
        # a write, beside the endpoint list: guards against a broker that was stopped or partitioned and goes
        # by an old list.
        self.is_barred: Callable[[str], bool] | None = None
        self._make_decision_module = scheduler
        self._seed = seed
        self._decision_module = scheduler(settings_for_decision_module(settings), seed)
        self._effects: list[ev.Effect] = []
        self._endpoints = EndpointTable()
        # By node; counted only where there is maintenance, which asks for it.
        self.consecutive_unresponsive = self._endpoints.consecutive_unresponsive
        self._lifecycle = RequestLifecycle(settings, self._endpoints, self.counts, self._emit)
        self._event_handlers: dict[type, Callable[[int, Any], list[api.Event]]] = {
            ev.RequestArrived: self._on_request_arrived,
            ev.AttemptFinished: self._on_attempt_finished,
            ev.ResponseStarted: self._on_response_started,
            ev.ClientDisconnected: self._on_client_disconnected,
            ev.EndpointsUpdated: self._on_endpoints_updated,
            ev.TimerFired: self._on_timer_fired,
            ev.PeerMessageReceived: self._on_peer_message_received,
            ev.ProbeFinished: self._on_probe_finished,
            ev.SettingsChanged: self._on_settings_changed,
            ev.ShutdownStarted: self._on_shutdown_started,
        }
        self._action_handlers: dict[type, Callable[[int, Any], list[api.Event]]] = {
            api.StartAttempt: self._start_attempt,
            api.CancelAttempt: self._cancel_attempt,
            api.Reject: self._reject_request,
            api.Fail: self._fail_request,
            api.SetTimer: self._set_timer,
            api.SendPeerMessage: self._send_peer_message,
            api.WatchEndpoints: self._watch_endpoints,
            api.StartProbe: self._start_probe,
            api.LogLine: self._write_log_line,
        }

    # --- questions, which change nothing but counters ------------------------------------------

    @property
    def scheduler(self) -> DecisionModule:
        """The decision module in use."""
        return self._decision_module

    def has_request(self, request_id: str) -> bool:
        """Whether this id is in use."""
        return request_id in self._lifecycle.requests

    def open_request_count(self) -> int:
        """How many requests wait for their final answer."""
        return self._lifecycle.requests.open_count()

    def open_attempt_count_at(self, node_id: str) -> int:
        """How many attempts are open at a node, those that were not written yet included."""
        return self._lifecycle.requests.open_attempt_count_at(node_id)

    def learned_capacity_by_node(self) -> dict[str, float]:
        """The learned capacity of the live nodes of overloaded shards, in units a second, by node id."""
        module = self._decision_module
        return module.learned_capacity_by_node() if isinstance(module, ReportsCapacity) else {}

    def nodes(self) -> dict[str, api.NodeEntry]:
        """The nodes of the endpoint list by node id, those that drain included."""
        return self._endpoints.entries()

    def may_write(self, request_id: str, attempt_number: int, now_us: int) -> api.OutcomeKind | None:
        """Check an attempt right before its first byte leaves; see `harriertide.core.write_guard`.

        :returns: None to write it now, else how the attempt ends with nothing written
        """
        return self._lifecycle.may_write(request_id, attempt_number, now_us, self.is_barred)

    # --- the one way to change state -----------------------------------------------------------

    def step(self, now_us: int, events: list[ev.Event]) -> list[ev.Effect]:
        """Take what has happened, in order.

        :returns: what is to be done, in order
        """
        self._effects = []
        self._lifecycle.requests.forget_gaps(now_us)
        pending: list[api.Event] = []
        for event in events:
            pending += self._event_handlers[type(event)](now_us, event)
        while pending:
            pending = self._decide(now_us, pending)
        return self._effects

    def _emit(self, effect: ev.Effect) -> None:
        self._effects.append(effect)

    # --- events: each handler returns what the decision module is notified of --------------

    def _on_request_arrived(self, now_us: int, event: ev.RequestArrived) -> list[api.Event]:
        if not self._lifecycle.take_request(event.arrival, event.streams_body):
            return []
        self.offered_units += event.arrival.units
        return [event.arrival]

    def _on_attempt_finished(self, now_us: int, event: ev.AttemptFinished) -> list[api.Event]:
        finished = self._lifecycle.finish_attempt(now_us, event)
        if finished is None:
            return []
        if self.is_barred is not None:
            self._endpoints.count_outcome(finished.node_id, finished.kind)
        return [finished]

    def _on_response_started(self, now_us: int, event: ev.ResponseStarted) -> list[api.Event]:
        if not self._lifecycle.is_attempt_open(event.request_id, event.attempt):
            return []
        return [api.ResponseStarted(event.request_id, event.attempt)]

    def _on_client_disconnected(self, now_us: int, event: ev.ClientDisconnected) -> list[api.Event]:
        if not self._lifecycle.disconnect_client(event.request_id):
            return []
        return [api.ClientDisconnected(event.request_id)]

    def _on_endpoints_updated(self, now_us: int, event: ev.EndpointsUpdated) -> list[api.Event]:
        self.counts[f"list_{event.update.kind}"] += 1
        self._endpoints.update(event.update)
        return [event.update]

    def _on_timer_fired(self, now_us: int, event: ev.TimerFired) -> list[api.Event]:
        return [api.TimerFired(event.token)]

    def _on_peer_message_received(self, now_us: int, event: ev.PeerMessageReceived) -> list[api.Event]:
        self.counts["peer_in"] += 1
        return [api.PeerMessageReceived(event.sender_index, event.body)]

    def _on_probe_finished(self, now_us: int, event: ev.ProbeFinished) -> list[api.Event]:
        self.counts[f"probe_{event.kind}"] += 1
        return [api.ProbeFinished(event.node_id, event.kind)]

    def _on_settings_changed(self, now_us: int, event: ev.SettingsChanged) -> list[api.Event]:
        self.settings = event.settings
        self._lifecycle.settings = event.settings
        return [api.SettingsChanged(settings_for_decision_module(event.settings))]

    def _on_shutdown_started(self, now_us: int, event: ev.ShutdownStarted) -> list[api.Event]:
        self._lifecycle.answer_open_requests()
        return []

    # --- actions: each handler returns what the decision module is notified of at once --

    def _decide(self, now_us: int, events: list[api.Event]) -> list[api.Event]:
        """Ask the decision module, and do what it says.

        :returns: what it is to be notified of at once
        """
        pending: list[api.Event] = []
        try:
            for action in self._decision_module.decide(now_us, events):
                pending += self._perform(now_us, action)
        except Exception:  # a fault of the decision module must not leave clients without an answer
            self._restart_decision_module(now_us, traceback.format_exc())
        return pending

    def _perform(self, now_us: int, action: api.Action) -> list[api.Event]:
        return self._action_handlers[type(action)](now_us, action)

    def _start_attempt(self, now_us: int, action: api.StartAttempt) -> list[api.Event]:
        turned_back = self._lifecycle.start_attempt(now_us, action)
        return [turned_back] if turned_back is not None else []

    def _cancel_attempt(self, now_us: int, action: api.CancelAttempt) -> list[api.Event]:
        self._lifecycle.cancel_attempt(action)
        return []

    def _reject_request(self, now_us: int, action: api.Reject) -> list[api.Event]:
        self._count_reason(action.reason)
        answer = ev.Respond(action.request_id, "rejected", None, action.retry_after_us)
        self._lifecycle.give_final_answer(answer)
        return []

    def _fail_request(self, now_us: int, action: api.Fail) -> list[api.Event]:
        self._count_reason(action.reason)
        self._lifecycle.give_final_answer(ev.Respond(action.request_id, "failed"))
        return []

    def _count_reason(self, reason: api.GiveUpReason | None) -> None:
        """Count why the decision module gave a request up, for the engineer who asks why it was rejected."""
        if reason is not None:
            self.counts[f"given_up_{reason}"] += 1

    def _set_timer(self, now_us: int, action: api.SetTimer) -> list[api.Event]:
        self._emit(ev.SetTimer(now_us + action.after_us, action.token))
        return []

    def _send_peer_message(self, now_us: int, action: api.SendPeerMessage) -> list[api.Event]:
        self.counts["peer_out"] += 1
        self._emit(ev.SendPeerMessage(action.recipient_index, action.body))
        return []

    def _watch_endpoints(self, now_us: int, action: api.WatchEndpoints) -> list[api.Event]:
        self.counts["watches"] += 1
        self._emit(ev.WatchEndpoints())
        return []

    def _start_probe(self, now_us: int, action: api.StartProbe) -> list[api.Event]:
        self.counts["probes"] += 1
        self._emit(ev.StartProbe(action.node_id))
        return []

    def _write_log_line(self, now_us: int, action: api.LogLine) -> list[api.Event]:
        self._emit(ev.LogLine(action.text))
        return []

    # --- failure of the decision module ---------------------------------------------------------

    def _restart_decision_module(self, now_us: int, trace: str) -> None:
        """Log the fault, answer all open requests, and start a fresh decision module on the list as known."""
        self.counts["module_faults"] += 1
        self._emit(ev.LogLine("the decision module failed; open requests are answered:\n" + trace))
        self._lifecycle.answer_open_requests()
        self._seed += 1  # the same random numbers could lead to the same fault
        settings = settings_for_decision_module(self.settings)
        self._decision_module = self._make_decision_module(settings, self._seed)
        known = api.EndpointUpdate("cached", tuple(self._endpoints.entries().values()))
        try:
            for action in self._decision_module.decide(now_us, [known]):
                self._perform(now_us, action)
        except Exception:
            self._emit(ev.LogLine("the fresh decision module failed too"))
