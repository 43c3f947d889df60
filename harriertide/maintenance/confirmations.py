"""Brokers that have not yet confirmed a step. The two functions enforce invariants of the state machine.

KNOWN  A machine drains only after each broker that could send requests knew of its permit.
CLEAR  A machine is out only after each broker that could send requests had no open attempt there.
"""

from __future__ import annotations

from harriertide.consensus.fanout import CLOCK_DRIFT_RATIO, lease_lapse_us
from harriertide.maintenance.facts import PlanningContext
from harriertide.maintenance.state import Step

# added to the longest attempt: a write that was in flight when a lease expired
IN_FLIGHT_WRITE_US = 1_000_000


def brokers_not_informed(context: PlanningContext, step: Step) -> list[str]:
    """KNOWN: return the brokers that could send and may not know of a permit.

    A silent broker counts as well, unless isolated brokers stop sending altogether (isolation_limit_us): an
    isolated broker continues to send to all machines of whose permits it does not know.
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
    """CLEAR: return the brokers that may have an open attempt at the machine, or may start one.

    A broker whose lease has certainly expired starts none, because it knew of the permit; its open attempts
    have ended after the longest deadline.
    """
    drained = context.facts.drained_brokers.get(step.fence, set())
    min_expired_us = context.settings.longest_attempt_us + IN_FLIGHT_WRITE_US
    return [
        name
        for broker_index, name in enumerate(context.state.brokers)
        if broker_index not in drained
        and name not in context.state.gone_brokers
        and _lease_expired_for_us(context, broker_index) < min_expired_us
    ]


def _lease_expired_for_us(context: PlanningContext, broker_index: int) -> int:
    """Return for how long a broker's lease has certainly been expired; negative if it may hold one.

    A new leader does not know the grants of its predecessor, so it assumes one at its own election.
    """
    facts = context.facts
    granted_us = max(facts.last_grant_us.get(broker_index, 0), facts.leading_since_us)
    return context.now_us - granted_us - lease_lapse_us(context.settings.lease_us)


def _has_stopped_sending(context: PlanningContext, broker_index: int) -> bool:
    limit_us = context.settings.isolation_limit_us
    if not limit_us:
        return False
    min_expired_us = int((1 + CLOCK_DRIFT_RATIO) * limit_us) + IN_FLIGHT_WRITE_US
    return _lease_expired_for_us(context, broker_index) >= min_expired_us
