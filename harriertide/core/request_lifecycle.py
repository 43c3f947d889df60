"""The lifecycle of a request: the start and end of its attempts, and its final answer.

These rules hold even if the decision module or a front is faulty:

- a request has at most one open attempt, and no attempt starts after its final answer;
- a request has exactly one final answer, or none if its client has disconnected;
- no attempt starts at a node that is not listed as live, or beyond the maximum number of attempts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from harriertide.core import events as ev
from harriertide.core.endpoints import EndpointTable
from harriertide.core.requests import ActiveRequest, RequestTable
from harriertide.core.write_guard import PendingWrite, find_violated_rule
from harriertide.decide import api


class RequestLifecycle:
    """The active requests of a broker.

    :param endpoints: the endpoint list, which the caller keeps up to date
    :param counts: the core's counters
    :param emit: receives each effect, in order
    """

    def __init__(
        self,
        settings: api.Settings,
        endpoints: EndpointTable,
        counts: Counter[str],
        emit: Callable[[ev.Effect], None],
    ) -> None:
        self.settings = settings
        self.requests = RequestTable()
        self._endpoints = endpoints
        self._counts = counts
        self._emit = emit

    def accept_request(self, arrival: api.Arrival, streams_body: bool) -> bool:
        """Add a request that has arrived.

        :returns: False if the request id is in use; the active request with that id is unaffected
        """
        self._counts["taken"] += 1
        if arrival.request_id in self.requests:
            self._counts["same_id"] += 1  # a faulty front: it must check Reducer.has_request first
            return False
        self.requests.add(arrival, streams_body)
        return True

    def disconnect_client(self, now_us: int, request_id: str) -> bool:
        """Close a request whose client has disconnected, without a final answer; its open attempt continues.

        :returns: whether the request was still without a final answer
        """
        request = self.requests.get(request_id)
        if request is None or request.is_answered:
            return False
        self._counts["left"] += 1
        request.is_answered = True
        request.has_client_left = True
        self._finish(request, now_us)
        return True

    # --- attempts -------------------------------------------------------------------------------

    def start_attempt(self, now_us: int, action: api.StartAttempt) -> api.AttemptFinished | None:
        """Start an attempt, unless that would violate a rule.

        :returns: the outcome of a refused attempt, for the decision module; None if the attempt was started
        """
        request = self.requests.get(action.request_id)
        if request is None:
            return None
        number = request.next_attempt_number()
        if not self._may_start_attempt(request, number, action.node_id):
            self._counts["turned_back"] += 1
            return api.AttemptFinished(
                action.request_id,
                number,
                action.node_id,
                "not_sent",
                latency_us=0,
                is_final=request.is_answered,
            )
        attempt = request.start_attempt(number, action.node_id, now_us, action.stop_at_us)
        self._counts["attempts"] += 1
        retry_not_before_us = request.next_attempt_not_before_us
        self._emit(
            ev.StartAttempt(
                action.request_id,
                number,
                action.node_id,
                attempt.stop_at_us,
                not_before_us=retry_not_before_us if retry_not_before_us > now_us else 0,
                # a body that was streamed cannot be sent again, so no other attempt could follow
                silence=api.NO_SILENCE_LIMITS if request.streams_body else action.silence,
            )
        )
        return None

    def _may_start_attempt(self, request: ActiveRequest, number: int, node_id: str) -> bool:
        if request.is_answered or request.has_open_attempt:
            return False
        return self._endpoints.is_live(node_id) and number < self.settings.max_attempts

    def may_write(
        self,
        request_id: str,
        attempt_number: int,
        now_us: int,
        is_barred: Callable[[str], bool] | None,
    ) -> api.OutcomeKind | None:
        """Check an attempt right before its first byte is written; see `harriertide.core.write_guard`.

        :param is_barred: whether maintenance bars a node; None without maintenance
        :returns: None if the attempt may be written now, else its outcome, with nothing written
        """
        request = self.requests.get(request_id)
        if request is None or request.is_answered:
            return "not_sent"  # the client has disconnected or the final answer was given
        attempt = request.find_open_attempt(attempt_number)
        if attempt is None:
            return "not_sent"
        node = self._endpoints.get(attempt.node_id)
        violated = find_violated_rule(PendingWrite(now_us, request, attempt, node, self.settings, is_barred))
        if violated is None:
            return None
        if violated.counter:
            self._counts[violated.counter] += 1
        return violated.outcome

    def is_attempt_open(self, request_id: str, attempt_number: int) -> bool:
        """Whether the attempt was started and has not ended."""
        request = self.requests.get(request_id)
        return request is not None and request.find_open_attempt(attempt_number) is not None

    def cancel_attempt(self, action: api.CancelAttempt) -> None:
        """Cancel an open attempt, unless it streams the request body, which cannot be sent again."""
        request = self.requests.get(action.request_id)
        if request is None or request.streams_body:
            return
        if request.find_open_attempt(action.attempt) is not None:
            self._counts["cancels"] += 1
            self._emit(ev.CancelAttempt(action.request_id, action.attempt))

    def finish_attempt(self, now_us: int, event: ev.AttemptFinished) -> api.AttemptFinished | None:
        """End an attempt, and answer its request if the attempt succeeded.

        :returns: the outcome, for the decision module; None if no such attempt was open
        """
        request = self.requests.get(event.request_id)
        attempt = request.find_open_attempt(event.attempt) if request is not None else None
        if request is None or attempt is None:
            self._counts["stray_outcome"] += 1
            self._discard(event.reply)
            return None
        self._counts[f"outcome_{event.kind}"] += 1
        request.finish_attempt(attempt, event.kind, now_us)
        if event.kind == "ok" and not request.is_answered:
            self._answer(request, ev.Respond(event.request_id, "served", event.reply))
        else:
            self._discard(event.reply)
        self._finish(request, now_us)
        # Excludes the time that the client took to send the body, which does not depend on the node.
        latency_us = now_us - max(attempt.decided_at_us, event.body_written_us)
        return api.AttemptFinished(
            event.request_id,
            event.attempt,
            attempt.node_id,
            event.kind,
            latency_us,
            is_final=request.is_answered,
        )

    def _finish(self, request: ActiveRequest, now_us: int) -> None:
        """Remove a request if it is finished; remember its id if it must not run a second time.

        A client that has left knows nothing of its request, and may send it again. Nodes recognize a repeated
        id only within the scope and time that the settings state.
        """
        request_class = self.settings.classes[request.arrival.request_class]
        may_repeat = request_class.idempotency == "idempotent" or not request.may_have_executed
        if request.is_finished and request.has_client_left and not may_repeat:
            self.requests.remember_executed(request.request_id, now_us)
        self.requests.remove_if_finished(request)

    # --- final answers --------------------------------------------------------------------------

    def give_final_answer(self, answer: ev.Respond) -> None:
        """Answer a request, unless it was answered before or its client has disconnected."""
        request = self.requests.get(answer.request_id)
        if request is not None and not request.is_answered:
            self._answer(request, answer)
            self.requests.remove_if_finished(request)

    def answer_open_requests(self) -> None:
        """Answer each open request: "rejected" if the client can safely retry, else "failed"."""
        for request in self.requests:
            request_class = self.settings.classes[request.arrival.request_class]
            if request_class.idempotency == "idempotent" or not request.attempt_count:
                wait_us = self.settings.max_retry_after_us
                self.give_final_answer(ev.Respond(request.request_id, "rejected", None, wait_us))
            else:
                self.give_final_answer(ev.Respond(request.request_id, "failed"))

    def _answer(self, request: ActiveRequest, answer: ev.Respond) -> None:
        request.is_answered = True
        self._counts[answer.kind] += 1
        self._emit(answer)

    def _discard(self, reply: object) -> None:
        """Discard a reply that is not the final answer."""
        if reply is not None:
            self._emit(ev.DiscardReply(reply))
