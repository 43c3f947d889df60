"""The machines that a broker may send to, based on its applied state and its own lease.

A broker that holds a lease has applied everything that was committed before it requested the lease. A broker
with an expired lease does not know later commands. It must assume that the machines it knows to be permitted
are draining by now, because the other brokers assume that it sends nothing to them. It continues to send to
all other machines, because no machine is taken out before the broker knows of the permit. A broker that has
held no lease since its start knows nothing and sends nothing.
"""

from __future__ import annotations

from harriertide.maintenance.phases import CLOSED_PHASES
from harriertide.maintenance.state import MaintenanceState


def closed_machines(
    state: MaintenanceState, now_us: int, lease_end_us: int, isolation_limit_us: int
) -> frozenset[str] | None:
    """Return the machines that this broker may not send to now; None if it may send to none.

    :param lease_end_us: end of the broker's last lease; 0 if it has held none since its start
    :param isolation_limit_us: how long an isolated broker continues to send after its lease; 0 for no limit
    """
    if not lease_end_us:
        return None
    has_lease = now_us < lease_end_us
    if not has_lease and isolation_limit_us and now_us >= lease_end_us + isolation_limit_us:
        return None
    phases = CLOSED_PHASES if has_lease else (*CLOSED_PHASES, "permitted")
    return frozenset(step.machine for step in state.active_steps() if step.phase in phases)


def next_change_us(now_us: int, lease_end_us: int, isolation_limit_us: int) -> int:
    """Return when the result of closed_machines changes by time alone; 0 if it does not."""
    if not lease_end_us:
        return 0
    if now_us < lease_end_us:
        return lease_end_us
    stop_us = lease_end_us + isolation_limit_us
    return stop_us if isolation_limit_us and now_us < stop_us else 0
