"""The replicated state: the inventory, the orders, and the phase of each machine of each order.

Encoded field names must stay compatible with snapshots of earlier releases: see `rename`.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from harriertide.maintenance.orders import Machine, Order
from harriertide.maintenance.phases import ACTIVE_PHASES, OPEN_PHASES, Phase


class Step(Struct, rename={"reason": "why", "incarnation": "life"}):
    """The progress of one machine in an order.

    fence: fence of the permit. since_s: wall clock at the last phase change, which may jump. reason: the
    reason of that change. incarnation: for a broker, the incarnation of the process that went out.
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
    """The replicated state, as stored in a snapshot."""

    machines: dict[str, Machine] = {}
    brokers: tuple[str, ...] = ()
    orders: dict[str, Order] = {}
    submitted_at_s: dict[str, float] = {}  # by order
    cancelled: set[str] = set()  # orders
    steps: dict[str, dict[str, Step]] = {}  # by order, then by machine
    failed_since_s: dict[str, float] = {}  # by machine that failed without an order
    gone_brokers: set[str] = set()  # brokers that operators marked as gone
    permits_paused: bool = False
    last_fence: int = 0
    command_time_s: float = 0.0  # the proposer's wall clock in the last command; may jump
    peak_load_by_hour: dict[int, float] = {}  # by hour of the day, in units per second

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
        """Whether a step of an order is unfinished."""
        return any(step.phase in OPEN_PHASES for step in self.steps.get(order, {}).values())


_state_decoder = msgspec.msgpack.Decoder(MaintenanceState)
_state_encoder = msgspec.msgpack.Encoder(order="deterministic")


def encode_state(state: MaintenanceState) -> bytes:
    """Encode a state for a snapshot; equal states give equal bytes.

    msgspec sorts dicts with string keys only and raises TypeError for other keys, so the peak loads by hour
    are sorted here and inserted in encoded form. Otherwise a member could take no snapshot after the first
    recorded peak load: `maintenance plan` would refuse every order, and at log compaction the member's tasks
    would end one by one.
    """
    hours = dict(sorted(state.peak_load_by_hour.items()))
    encoded_hours = msgspec.Raw(msgspec.msgpack.encode(hours))
    return _state_encoder.encode(msgspec.structs.replace(state, peak_load_by_hour=encoded_hours))


def decode_state(data: bytes) -> MaintenanceState:
    """Decode the state from a snapshot.

    :raises msgspec.MsgspecError: the data is not a valid state
    """
    return _state_decoder.decode(data)
