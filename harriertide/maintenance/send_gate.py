"""Which machines a broker may send to, by what it knows and by its own lease.

A broker that holds a lease knows all that was agreed on before it asked for the lease. One whose lease is
over does not know what was agreed on since; of the machines it knows to be permitted it must assume that they
drain by now, as the others take it for one that sends nothing there. To all others it goes on sending: nobody
is taken out without its knowledge. A broker that has held no lease since its start knows nothing, and sends
nothing.
"""

from __future__ import annotations

from harriertide.maintenance.phases import CLOSED_PHASES
from harriertide.maintenance.state import MaintenanceState


def closed_machines(
    state: MaintenanceState, now_us: int, lease_end_us: int, isolation_limit_us: int
) -> frozenset[str] | None:
    """Return the machines that this broker may not send to now; None: it may send to none.

    :param lease_end_us: when its last lease ends; 0 where it had none since its start
    :param isolation_limit_us: for how long after its lease a broker that is cut off goes on; 0: without an
        end
    """
    if not lease_end_us:
        return None
    has_lease = now_us < lease_end_us
    if not has_lease and isolation_limit_us and now_us >= lease_end_us + isolation_limit_us:
        return None
    phases = CLOSED_PHASES if has_lease else (*CLOSED_PHASES, "permitted")
    return frozenset(step.machine for step in state.active_steps() if step.phase in phases)


def next_change_us(now_us: int, lease_end_us: int, isolation_limit_us: int) -> int:
    """Return when the answer of closed_machines changes by time alone; 0: it does not."""
    if not lease_end_us:
        return 0
    if now_us < lease_end_us:
        return lease_end_us
    stop_us = lease_end_us + isolation_limit_us
    return stop_us if isolation_limit_us and now_us < stop_us else 0
