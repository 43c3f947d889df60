"""The phases of a machine in an order, and the allowed transitions.

=========  =====================================================================================
waiting    the machine has no permit yet
permitted  has a permit with a fence; brokers are being notified and still send requests to it
draining   every broker knows of the permit; no new attempts start, and open attempts end
out        no requests are sent and no attempts are open; the work may be done
returning  the work is done; the machine warms up and receives requests again
back       the step is finished
cancelled  the step was cancelled before the machine was out
=========  =====================================================================================
"""

from __future__ import annotations

from typing import Literal

Phase = Literal["waiting", "permitted", "draining", "out", "returning", "back", "cancelled"]

ACTIVE_PHASES = ("permitted", "draining", "out", "returning")  # these count as out of service
CLOSED_PHASES = ("draining", "out")  # no new attempt may go there
OPEN_PHASES = ("waiting", *ACTIVE_PHASES)  # the step is not finished

# Transitions of ChangePhase commands. In addition, GrantPermit changes waiting to permitted, and CancelOrder
# changes waiting and permitted to cancelled.
TRANSITIONS: dict[Phase, tuple[Phase, ...]] = {
    # all brokers know of the permit; or the machine was removed from the operator's file
    "permitted": ("draining", "waiting"),
    # no attempts are open; or the machine is needed because others failed; or the order was cancelled
    "draining": ("out", "waiting", "cancelled"),
    # the work is overdue and the machine stays out; or the work is done
    "out": ("out", "returning"),
    # the machine is warm
    "returning": ("back",),
}
