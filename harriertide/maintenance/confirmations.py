"""Which brokers have yet to confirm a step. These two questions keep invariants of the state machine.

KNOWN  A machine drains only after each broker that could send knew of its permit.
CLEAR  It is out only after each broker that could send had no attempt open there.
"""

from __future__ import annotations

from harriertide.consensus.fanout import CLOCK_DRIFT_RATIO, lease_lapse_us
from harriertide.maintenance.facts import PlanningContext
from harriertide.maintenance.state import Step

IN_FLIGHT_WRITE_US = 1_000_000  # beside the longest attempt: a write on its way when a lease ended


def brokers_not_informed(context: PlanningContext, step: Step) -> list[str]:
    """KNOWN: return the brokers that could send and may not know of a permit.

    No silence makes up for that, unless brokers that are cut off stop sending at all (isolation_limit_us):
    one that is cut off goes on sending to all machines that it does not know to be permitted.
    """
    informed = context.facts.informed_brokers.get(step.fence, set())
    return [
        name
        for broker_index, name in enumerate(context.state.brokers)
        if broker_index not in informed
        and name not in context.state.gone_brokers
        and not _has_stopped_sending(context, broker_index)
    ]


def brokers_not_drained(context: PlanningContext, step: Step) -> list[str]:
    """CLEAR: return the brokers that may have an attempt open there, or begin one.

    One whose lease is over for certain begins none, as it knew of the permit; what it had open has ended by
    the longest deadline.
    """
    drained = context.facts.drained_brokers.get(step.fence, set())
    over_us = context.settings.longest_attempt_us + IN_FLIGHT_WRITE_US
    return [
        name
        for broker_index, name in enumerate(context.state.brokers)
        if broker_index not in drained
        and name not in context.state.gone_brokers
        and _lease_expired_for_us(context, broker_index) < over_us
    ]


def _lease_expired_for_us(context: PlanningContext, broker_index: int) -> int:
    """For how long a broker's last lease has been over for certain; negative: it may hold one.

    A new leader does not know what the last one granted, up to the moment of its own election.
    """
    facts = context.facts
    granted_us = max(facts.last_grant_us.get(broker_index, 0), facts.leading_since_us)
    return context.now_us - granted_us - lease_lapse_us(context.settings.lease_us)


def _has_stopped_sending(context: PlanningContext, broker_index: int) -> bool:
    limit_us = context.settings.isolation_limit_us
    if not limit_us:
        return False
    over_us = int((1 + CLOCK_DRIFT_RATIO) * limit_us) + IN_FLIGHT_WRITE_US
    return _lease_expired_for_us(context, broker_index) >= over_us
