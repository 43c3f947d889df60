"""Rules that are checked right before the first byte of an attempt is written.

After an attempt is decided, it may wait for a connection, or the broker process may be suspended. Each rule
covers one way in which the decision can become invalid before the write. The first violated rule determines
the outcome of the attempt, with nothing written.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from harriertide.core.requests import ActiveRequest, OpenAttempt
from harriertide.decide import api
from harriertide.decide.retry import DEDUPLICATION_MARGIN_US

# How long after its decision an attempt may be written to a node in slow start. The node's budget is enforced
# per window of decisions; a slow connection could shift units of one window into the next and make the node
# collapse.
SLOW_START_WRITE_DELAY_MAX_US = 40_000
# How long after its first decision a request under a rate limit may be written. The token bucket has refilled
# since its units were taken; the rate limit tolerates writes that are late by this delay and no more.
RATE_LIMIT_WRITE_DELAY_MAX_US = 150_000


@dataclass(slots=True)  # not frozen: one is created per attempt, and a frozen class is slower to create
class PendingWrite:
    """An attempt that is about to be written, with all inputs of the rules."""

    now_us: int
    request: ActiveRequest
    attempt: OpenAttempt
    node: api.NodeEntry | None  # the current entry; None if the node is not listed
    settings: api.Settings
    is_barred: Callable[[str], bool] | None  # whether maintenance bars a node; None without maintenance

    @property
    def is_under_rate_limit(self) -> bool:
        """Whether the write uses units of a rate limit; a request that may have executed has spent them."""
        plan = self.settings.plans[self.request.arrival.plan]
        return plan.rate_limit > 0 and not self.request.may_have_executed

    @property
    def is_node_in_slow_start(self) -> bool:
        """Whether the node is in slow start."""
        if self.node is None or self.node.started_us <= 0:
            return False
        return self.now_us < self.node.started_us + self.settings.slow_start_us


@dataclass(frozen=True, slots=True)
class WriteRule:
    """A reason not to write an attempt.

    outcome: the outcome of a forbidden attempt. counter: the core's counter of such outcomes; "" for none.
    """

    forbids: Callable[[PendingWrite], bool]
    outcome: api.OutcomeKind
    counter: str = ""


def _is_node_not_live(write: PendingWrite) -> bool:
    """Prevents a write to a node that was drained or removed after the decision."""
    return write.node is None or write.node.state != "live"


def _is_node_barred(write: PendingWrite) -> bool:
    """Prevents writes that rely on a stale endpoint list after the broker was suspended or partitioned.

    The maintenance lease has expired by then, so maintenance bars the node; the list alone does not show
    that.
    """
    return write.is_barred is not None and write.is_barred(write.attempt.node_id)


def _is_retry_unsafe(write: PendingWrite) -> bool:
    """Prevents a request from executing twice.

    A retry with an idempotency key may have left the deduplication window while it waited for a connection.
    DEDUPLICATION_MARGIN_US allows for the time that a write takes to arrive at the node.
    """
    executed_at_us = write.request.first_executed_at_us
    if executed_at_us is None:
        return False
    request_class = write.settings.classes[write.request.arrival.request_class]
    if request_class.idempotency == "keyed":
        return write.now_us + DEDUPLICATION_MARGIN_US > executed_at_us + request_class.deduplication_window_us
    return request_class.idempotency == "non_idempotent"


def _is_past_stop_time(write: PendingWrite) -> bool:
    """Prevents a write at or after the stop time, which may execute concurrently with the retry."""
    return write.now_us >= write.attempt.stop_at_us


def _is_late_for_rate_limit(write: PendingWrite) -> bool:
    """Prevents units that were taken earlier from exceeding the rate limit when they are written late.

    Such delays occur if the broker was suspended, or if the first attempt could not reach its node.
    """
    first_attempt_at_us = write.request.first_attempt_at_us
    assert first_attempt_at_us is not None  # an open attempt implies a first attempt
    return write.is_under_rate_limit and write.now_us - first_attempt_at_us > RATE_LIMIT_WRITE_DELAY_MAX_US


def _is_budgeted_stream(write: PendingWrite) -> bool:
    """Prevents a streamed body from finishing long after its units were granted.

    A node executes a request when the last byte arrives, which may be much later for a body that is forwarded
    as it arrives. Such a request is written neither to a node in slow start nor under a rate limit.
    """
    return write.request.streams_body and (write.is_node_in_slow_start or write.is_under_rate_limit)


def _is_late_for_slow_start(write: PendingWrite) -> bool:
    """Prevents the budgets of two decision windows from meeting in one window: the node would collapse."""
    delay_us = write.now_us - write.attempt.decided_at_us
    return write.is_node_in_slow_start and delay_us > SLOW_START_WRITE_DELAY_MAX_US


# The first rule that forbids the write applies. The decision module handles the outcomes as follows:
# - "rejected": the request is placed again; nothing counts against the node's health.
# - "not_sent": the request is given up, unless its object is known to be in another shard.
# - "withheld": the request is placed again; the outcome implies nothing about the node, whose connection was
#   established late or whose write was delayed because the broker was suspended.
WRITE_RULES = (
    WriteRule(_is_node_not_live, "rejected"),
    WriteRule(_is_node_barred, "rejected", "barred"),
    WriteRule(_is_retry_unsafe, "not_sent", "window_over"),
    WriteRule(_is_past_stop_time, "rejected"),
    WriteRule(_is_late_for_rate_limit, "not_sent"),
    WriteRule(_is_budgeted_stream, "rejected"),
    WriteRule(_is_late_for_slow_start, "withheld"),
)


def find_violated_rule(write: PendingWrite) -> WriteRule | None:
    """Return the first rule that forbids the write, or None if the attempt may be written now."""
    for rule in WRITE_RULES:
        if rule.forbids(write):
            return rule
    return None
