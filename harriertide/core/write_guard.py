"""May an attempt be written now? Asked right before its first byte leaves.

Between the decision of an attempt and its write it may wait for a connection, or the broker may stand still.
Each rule here is one way in which the decision can have become wrong meanwhile. The first rule that an
attempt breaks says how the attempt ends, with nothing written.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from harriertide.core.requests import ActiveRequest, OpenAttempt
from harriertide.decide import api
from harriertide.decide.retry import DEDUPLICATION_MARGIN_US

# How long after its decision an attempt at a warming node may be written. The node's budget is kept per
# window of decisions; a slow connection could carry units of one window into the next and make the node
# collapse.
SLOW_START_WRITE_DELAY_MAX_US = 40_000
# How long after its first decision a request under a rate limit may be written. Its units were taken from a
# token bucket that has filled again since; the limit's rule allows so much delay and no more.
RATE_LIMIT_WRITE_DELAY_MAX_US = 150_000


@dataclass(slots=True)  # not frozen, which makes it slower to make: there is one for each attempt
class PendingWrite:
    """An attempt that is about to be written, and all that the rules look at."""

    now_us: int
    request: ActiveRequest
    attempt: OpenAttempt
    node: api.NodeEntry | None  # as listed now
    settings: api.Settings
    is_barred: Callable[[str], bool] | None  # whether maintenance bars a node; None: there is no maintenance

    @property
    def is_under_rate_limit(self) -> bool:
        """Whether its units count now: those of an attempt that may have executed are spent already."""
        plan = self.settings.plans[self.request.arrival.plan]
        return plan.rate_limit > 0 and not self.request.may_have_executed

    @property
    def is_node_warming_up(self) -> bool:
        """Whether the node is in its slow start."""
        if self.node is None or self.node.started_us <= 0:
            return False
        return self.now_us < self.node.started_us + self.settings.slow_start_us


@dataclass(frozen=True, slots=True)
class WriteRule:
    """A reason not to write an attempt.

    outcome: how the attempt ends; counter: the core's counter of such ends, "" for none.
    """

    forbids: Callable[[PendingWrite], bool]
    outcome: api.OutcomeKind
    counter: str = ""


def _is_node_not_live(write: PendingWrite) -> bool:
    """Guards against a write to a node that was drained or removed after the decision."""
    return write.node is None or write.node.state != "live"


def _is_node_barred(write: PendingWrite) -> bool:
    """Guards against a broker that was stopped or partitioned and goes by the endpoint list of before.

    Maintenance answers by its lease, which has run out by then; the list alone would not show it.
    """
    return write.is_barred is not None and write.is_barred(write.attempt.node_id)


def _is_retry_unsafe(write: PendingWrite) -> bool:
    """Guards against a request that executes twice.

    A retry with an idempotency key was within the deduplication window when it was decided, but has waited
    for a connection since. DEDUPLICATION_MARGIN_US is what a write may take to arrive.
    """
    executed_at_us = write.request.first_executed_at_us
    if executed_at_us is None:
        return False
    kind = write.settings.classes[write.request.arrival.request_class]
    if kind.idempotency == "keyed":
        return write.now_us + DEDUPLICATION_MARGIN_US > executed_at_us + kind.deduplication_window_us
    return kind.idempotency == "non_idempotent"


def _is_out_of_time(write: PendingWrite) -> bool:
    """Guards against a request written right before its own end, which may execute beside its retry."""
    return write.now_us >= write.attempt.stop_at_us


def _is_late_for_rate_limit(write: PendingWrite) -> bool:
    """Guards against a rate limit that is exceeded by units taken earlier and written now.

    That is seen where the broker stood still, or where a first attempt could not reach its node.
    """
    first_attempt_at_us = write.request.first_attempt_at_us
    assert first_attempt_at_us is not None  # an open attempt is one
    return write.is_under_rate_limit and write.now_us - first_attempt_at_us > RATE_LIMIT_WRITE_DELAY_MAX_US


def _is_stream_on_a_budget(write: PendingWrite) -> bool:
    """Guards against a streamed body that finishes long after its units were granted.

    A node executes a request with its last byte, and the last byte of a body that is forwarded as it comes
    may be far. So such a request goes neither to a warming node nor against a rate limit.
    """
    return write.request.streams_body and (write.is_node_warming_up or write.is_under_rate_limit)


def _is_late_for_slow_start(write: PendingWrite) -> bool:
    """Guards against budgets of two windows that meet in one window of writes: the node would collapse."""
    delay_us = write.now_us - write.attempt.decided_at_us
    return write.is_node_warming_up and delay_us > SLOW_START_WRITE_DELAY_MAX_US


# The first that forbids the write counts. What the decision module makes of each outcome: "rejected", the
# request is placed again and nothing counts against the node's health; "not_sent", the request is given up,
# unless its object is known to be in another shard; "withheld", the request is placed again and nothing is
# said about the node: its connection is up, late or after a moment in which the broker stood still.
WRITE_RULES = (
    WriteRule(_is_node_not_live, "rejected"),
    WriteRule(_is_node_barred, "rejected", "barred"),
    WriteRule(_is_retry_unsafe, "not_sent", "window_over"),
    WriteRule(_is_out_of_time, "rejected"),
    WriteRule(_is_late_for_rate_limit, "not_sent"),
    WriteRule(_is_stream_on_a_budget, "rejected"),
    WriteRule(_is_late_for_slow_start, "withheld"),
)


def find_broken_rule(write: PendingWrite) -> WriteRule | None:
    """The first rule that forbids this write; None: write now."""
    for rule in WRITE_RULES:
        if rule.forbids(write):
            return rule
    return None
