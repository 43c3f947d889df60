"""What one broker may do by what it knows: which machines it may send to. Pure.

A broker that holds a lease knows all that was agreed on before it asked for the lease. One whose lease is
over does not know what was agreed on since; of the machines it knows to be permitted it must think that
they drain by now, as the others take it for one that sends nothing there. To all others it goes on: nobody
is taken out without its knowledge. A broker that has held no lease since its start knows nothing, and sends
nothing.
"""

from __future__ import annotations

from harriertide.maintenance.state import SHUT, Upkeep


def shut(upkeep: Upkeep, now_us: int, lease_end_us: int, blind_us: int) -> frozenset[str] | None:
    """Machines that this broker may not send to now; None: any of them.

    blind_us: how long after its lease a broker that is cut off goes on at all; 0: without an end.
    """
    if not lease_end_us:
        return None
    leased = now_us < lease_end_us
    if not leased and blind_us and now_us >= lease_end_us + blind_us:
        return None
    phases = SHUT if leased else (*SHUT, "permitted")
    return frozenset(step.machine for step in upkeep.under_way() if step.phase in phases)


def changes_us(now_us: int, lease_end_us: int, blind_us: int) -> int:
    """When the answer changes by time alone; 0: never."""
    if not lease_end_us:
        return 0
    if now_us < lease_end_us:
        return lease_end_us
    return lease_end_us + blind_us if blind_us and now_us < lease_end_us + blind_us else 0
