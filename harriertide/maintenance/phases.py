"""The phases of a machine under an order, and which may follow which.

=========  =====================================================================================
waiting    it has not had its turn
permitted  it may go, under a fence of its own; brokers are being notified, and still send to it
draining   every broker knows; nothing new is sent to it, open attempts end
out        nothing is sent to it, and nothing is open there: the work may be done
returning  the work is done; it is warming up and gets requests again
back       it is over
cancelled  its order was cancelled before it was out
=========  =====================================================================================
"""

from __future__ import annotations

from typing import Literal

Phase = Literal["waiting", "permitted", "draining", "out", "returning", "back", "cancelled"]

ACTIVE_PHASES = ("permitted", "draining", "out", "returning")  # these count as out of service
CLOSED_PHASES = ("draining", "out")  # no new attempt may go there
OPEN_PHASES = ("waiting", *ACTIVE_PHASES)  # something is left to do

# What a ChangePhase command may do. Beside these, a permit makes a waiting machine permitted, and cancelling
# an order makes its waiting and permitted machines cancelled.
TRANSITIONS: dict[Phase, tuple[Phase, ...]] = {
    # all brokers know of the permit; or the machine has left the operator's file
    "permitted": ("draining", "waiting"),
    # nothing is open there; or it is needed back for what failed elsewhere; or the order was cancelled
    "draining": ("out", "waiting", "cancelled"),
    # it is overdue and stays out; or the work is done
    "out": ("out", "returning"),
    # it is warm
    "returning": ("back",),
}
