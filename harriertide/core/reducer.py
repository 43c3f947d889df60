"""The core's state machine: events in, effects out.

The decision module (`harriertide.decide.scheduler`) decides; the reducer passes events to the decision module
and performs its actions. Actions on requests go through `RequestLifecycle`, which enforces the rules about
attempts and final answers; the other actions become effects directly. The reducer replaces a decision module
that raises an exception.
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
    """The state of one broker. Single-threaded; only `step` changes the state.

    :param settings: the settings of the broker and its decision module
    :param seed: the seed of the decision module's random number generator
    :param scheduler: creates the decision module, and its replacement after a failure
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
        self._keys_held_until_us = 0  # for another process of this broker
        # Whether maintenance bars a node from new attempts; None without maintenance. Checked right before a
        # write in addition to the endpoint list, which may be stale after the broker was suspended or
        # partitioned.
        self.is_barred: Callable[[str], bool] | None = None
        self._make_decision_module = scheduler
        self._seed = seed
        self._decision_module = scheduler(settings_for_decision_module(settings), seed)
        self._effects: list[ev.Effect] = []
        self._endpoints = EndpointTable()
        # By node id; counted only for maintenance, and empty without maintenance.
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
            ev.KeysHeld: self._on_keys_held,
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

    # --- queries, which change only counters ---------------------------------------------------

    @property
    def scheduler(self) -> DecisionModule:
        """The decision module in use."""
        return self._decision_module

    def has_request(self, request_id: str) -> bool:
        """Whether the request id is in use."""
        return request_id in self._lifecycle.requests

    def is_id_usable(self, request_id: str) -> bool:
        """Whether a new request may have this id: not in use, and not run for a client that has left."""
        requests = self._lifecycle.requests
        return request_id not in requests and not requests.may_have_executed(request_id)

    def open_request_count(self) -> int:
        """The number of requests without a final answer."""
        return self._lifecycle.requests.open_count()

    def open_attempt_count_at(self, node_id: str) -> int:
        """The number of open attempts at a node, including attempts that are not written yet."""
        return self._lifecycle.requests.open_attempt_count_at(node_id)

    def learned_capacity_by_node(self) -> dict[str, float]:
        """The learned capacity of the live nodes of overloaded shards, in units per second, by node id."""
        module = self._decision_module
        return module.learned_capacity_by_node() if isinstance(module, ReportsCapacity) else {}

    def nodes(self) -> dict[str, api.NodeEntry]:
        """The nodes of the endpoint list by node id, including draining nodes."""
        return self._endpoints.entries()

    def may_write(self, request_id: str, attempt_number: int, now_us: int) -> api.OutcomeKind | None:
        """Check an attempt right before its first byte is written; see `harriertide.core.write_guard`.

        :returns: None if the attempt may be written now, else its outcome, with nothing written
        """
        return self._lifecycle.may_write(request_id, attempt_number, now_us, self.is_barred)

    # --- state transition ----------------------------------------------------------------------

    def step(self, now_us: int, events: list[ev.Event]) -> list[ev.Effect]:
        """Handle events in order.

        :returns: the effects to perform, in order
        """
        self._effects = []
        self._lifecycle.requests.drop_expired(now_us)
        pending: list[api.Event] = []
        for event in events:
            pending += self._event_handlers[type(event)](now_us, event)
        while pending:
            pending = self._decide(now_us, pending)
        return self._effects

    def _emit(self, effect: ev.Effect) -> None:
        self._effects.append(effect)

    # --- event handlers: each returns the events for the decision module -----------------------

    def _on_request_arrived(self, now_us: int, event: ev.RequestArrived) -> list[api.Event]:
        if not self._lifecycle.accept_request(event.arrival, event.streams_body):
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
        if not self._lifecycle.disconnect_client(now_us, event.request_id):
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

    def _on_keys_held(self, now_us: int, event: ev.KeysHeld) -> list[api.Event]:
        self._keys_held_until_us = event.held.until_us
        return [event.held]

    def _on_settings_changed(self, now_us: int, event: ev.SettingsChanged) -> list[api.Event]:
        self.settings = event.settings
        self._lifecycle.settings = event.settings
        return [api.SettingsChanged(settings_for_decision_module(event.settings))]

    def _on_shutdown_started(self, now_us: int, event: ev.ShutdownStarted) -> list[api.Event]:
        self._lifecycle.answer_open_requests()
        return []

    # --- action handlers: each returns follow-up events for the decision module ----------------

    def _decide(self, now_us: int, events: list[api.Event]) -> list[api.Event]:
        """Pass events to the decision module, and perform the actions that it returns.

        :returns: follow-up events, which the decision module must handle in the same step
        """
        pending: list[api.Event] = []
        try:
            for action in self._decision_module.decide(now_us, events):
                pending += self._perform(now_us, action)
        except Exception:  # a failed decision module must not leave clients without an answer
            self._restart_decision_module(now_us, traceback.format_exc())
        return pending

    def _perform(self, now_us: int, action: api.Action) -> list[api.Event]:
        return self._action_handlers[type(action)](now_us, action)

    def _start_attempt(self, now_us: int, action: api.StartAttempt) -> list[api.Event]:
        refusal = self._lifecycle.start_attempt(now_us, action)
        return [refusal] if refusal is not None else []

    def _cancel_attempt(self, now_us: int, action: api.CancelAttempt) -> list[api.Event]:
        self._lifecycle.cancel_attempt(action)
        return []

    def _reject_request(self, now_us: int, action: api.Reject) -> list[api.Event]:
        self._count_give_up_reason(action.reason)
        answer = ev.Respond(action.request_id, "rejected", None, action.retry_after_us)
        self._lifecycle.give_final_answer(answer)
        return []

    def _fail_request(self, now_us: int, action: api.Fail) -> list[api.Event]:
        self._count_give_up_reason(action.reason)
        self._lifecycle.give_final_answer(ev.Respond(action.request_id, "failed"))
        return []

    def _count_give_up_reason(self, reason: api.GiveUpReason | None) -> None:
        """Count the reason for which the decision module gave up a request."""
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
        """Log the failure, answer all open requests, and replace the decision module."""
        self.counts["module_faults"] += 1
        self._emit(ev.LogLine("the decision module failed; open requests are answered:\n" + trace))
        self._lifecycle.answer_open_requests()
        self._seed += 1  # the same random numbers could cause the same failure
        settings = settings_for_decision_module(self.settings)
        self._decision_module = self._make_decision_module(settings, self._seed)
        current_endpoints = api.EndpointUpdate("cached", tuple(self._endpoints.entries().values()))
        try:
            for action in self._decision_module.decide(
                now_us, [current_endpoints, self._keys_to_hold(now_us)]
            ):
                self._perform(now_us, action)
        except Exception:
            self._emit(ev.LogLine("the replacement decision module failed as well"))

    def _keys_to_hold(self, now_us: int) -> api.KeysHeld:
        """Every key, until all attempts that the failed decision module has started are over.

        Its replacement knows neither these attempts nor their keys, and could send requests out of order.
        """
        attempts_over_us = max(now_us, self._lifecycle.requests.open_attempts_stop_at_us())
        quiet_us = self.settings.key_quiet_us + self.settings.tick_us
        return api.KeysHeld(None, max(attempts_over_us + quiet_us, self._keys_held_until_us))
