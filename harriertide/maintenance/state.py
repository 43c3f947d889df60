"""The agreed state: the inventory, the orders, and the phase of each machine of each order.

Names of encoded fields are those of snapshots that releases before this one wrote: see `rename`.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from harriertide.maintenance.orders import Machine, Order
from harriertide.maintenance.phases import ACTIVE_PHASES, OPEN_PHASES, Phase


class Step(Struct, rename={"reason": "why", "incarnation": "life"}):
    """Where a machine of an order is.

    fence: of its permit. since_s: the wall clock at its last change of phase, which may jump. reason: of that
    change. incarnation: of a broker, its process as it went out.
    """

    machine: str
    order: str
    phase: Phase = "waiting"
    fence: int = 0
    since_s: float = 0.0
    overdue: bool = False
    reason: str = ""
    incarnation: int = 0


class MaintenanceState(
    Struct,
    rename={
        "submitted_at_s": "asked_s",
        "failed_since_s": "failed",
        "gone_brokers": "gone",
        "permits_paused": "held",
        "last_fence": "fence",
        "command_time_s": "now_s",
        "peak_load_by_hour": "pattern",
    },
):
    """All that is agreed on, as a snapshot holds it."""

    machines: dict[str, Machine] = {}
    brokers: tuple[str, ...] = ()
    orders: dict[str, Order] = {}
    submitted_at_s: dict[str, float] = {}  # by order
    cancelled: set[str] = set()  # orders
    steps: dict[str, dict[str, Step]] = {}  # by order, by machine
    failed_since_s: dict[str, float] = {}  # by machine that is out of service and nobody planned it
    gone_brokers: set[str] = set()  # as operators stated
    permits_paused: bool = False
    last_fence: int = 0
    command_time_s: float = 0.0  # the wall clock of the last command's proposer: it may jump
    peak_load_by_hour: dict[int, float] = {}  # units a second

    def active_steps(self) -> list[Step]:
        """Return the steps of machines that are permitted, draining, out or returning."""
        return [
            step for steps in self.steps.values() for step in steps.values() if step.phase in ACTIVE_PHASES
        ]

    def find_active_step(self, machine: str) -> Step | None:
        """Return the active step of a machine, if there is one."""
        return next((step for step in self.active_steps() if step.machine == machine), None)

    def active_step_count(self, order: str) -> int:
        """Return how many machines of an order are permitted, draining, out or returning."""
        return sum(step.phase in ACTIVE_PHASES for step in self.steps.get(order, {}).values())

    def is_open(self, order: str) -> bool:
        """Whether something of an order is left to do."""
        return any(step.phase in OPEN_PHASES for step in self.steps.get(order, {}).values())


_state_decoder = msgspec.msgpack.Decoder(MaintenanceState)
_state_encoder = msgspec.msgpack.Encoder(order="deterministic")


def encode_state(state: MaintenanceState) -> bytes:
    """Encode a state for a snapshot; equal states give equal bytes.

    msgspec sorts dicts whose keys are strings and raises TypeError for any other, so the hours of the day are
    sorted here and put in as they are. Guards against a member that can take no snapshot once the load of one
    hour was agreed on: `maintenance plan` refuses every order, and when the log is to be compacted the
    member's tasks end one by one.
    """
    hours = dict(sorted(state.peak_load_by_hour.items()))
    encoded_hours = msgspec.Raw(msgspec.msgpack.encode(hours))
    return _state_encoder.encode(msgspec.structs.replace(state, peak_load_by_hour=encoded_hours))


def decode_state(data: bytes) -> MaintenanceState:
    """Decode the state of a snapshot.

    :raises msgspec.MsgspecError: it is none
    """
    return _state_decoder.decode(data)
