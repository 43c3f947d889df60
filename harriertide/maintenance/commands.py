"""Replicated commands as encoded in the log, and their results.

Tags and encoded field names must stay compatible with logs of earlier releases: where an attribute has
another name, `rename` holds the encoded one. at_s is always the wall clock of the member that proposed the
command, in Unix seconds.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from harriertide.maintenance.orders import Machine, Order
from harriertide.maintenance.phases import Phase

HOURS_PER_DAY = 24


class DeclareMachines(Struct, frozen=True, tag="declare"):
    """Sets the inventory from the leader's file. brokers: those that may send, in the order of the file."""

    machines: tuple[Machine, ...]
    brokers: tuple[str, ...]
    at_s: float


class SubmitOrder(Struct, frozen=True, tag="request"):
    """Submits an operator's order."""

    order: Order
    at_s: float


class CancelOrder(Struct, frozen=True, tag="cancel"):
    """Cancels an order: no further machines are taken out, and machines that are out return."""

    order: str
    at_s: float


class PausePermits(Struct, frozen=True, tag="hold", rename={"paused": "on"}):
    """Pauses or resumes the granting of permits."""

    paused: bool
    at_s: float


class GrantPermit(Struct, frozen=True, tag="permit"):
    """Permits a machine to be taken out of service."""

    machine: str
    order: str
    at_s: float


class ChangePhase(
    Struct, frozen=True, tag="move", rename={"phase": "to", "reason": "why", "incarnation": "life"}
):
    """Moves the active step of a machine to a phase; refused if the fence is not the step's fence.

    incarnation: of a broker that goes out, the incarnation of its process.
    """

    machine: str
    fence: int
    phase: Phase
    at_s: float
    reason: str = ""
    incarnation: int = 0


class ReportFailure(Struct, frozen=True, tag="failed", rename={"failed": "away"}):
    """Records that a machine failed without a maintenance order, or that it recovered."""

    machine: str
    failed: bool
    at_s: float


class MarkBrokerGone(Struct, frozen=True, tag="gone"):
    """Records an operator's statement that a broker's process has ended for good, or its return."""

    broker: str
    gone: bool
    at_s: float


class RecordPeakLoad(Struct, frozen=True, tag="pattern"):
    """Records the peak load of an hour of the day, in units per second."""

    hour: int
    units: float
    at_s: float


Command = (
    DeclareMachines
    | SubmitOrder
    | CancelOrder
    | PausePermits
    | GrantPermit
    | ChangePhase
    | ReportFailure
    | MarkBrokerGone
    | RecordPeakLoad
)


class CommandResult(Struct, frozen=True, rename={"refusal": "refused"}):
    """The result for the proposer. refusal: why the command was refused, in one line; "" if applied."""

    refusal: str = ""
    fence: int = 0


_command_decoder = msgspec.msgpack.Decoder(Command)
_result_decoder = msgspec.msgpack.Decoder(CommandResult)


def command_name(command: Command) -> str:
    """Return the name of a command for log lines: its capitalized tag."""
    return str(command.__struct_config__.tag).capitalize()


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command from the log.

    :raises msgspec.MsgspecError: the data is not a valid command
    """
    return _command_decoder.decode(data)


def encode_result(result: CommandResult) -> bytes:
    """Encode a result for the proposer."""
    return msgspec.msgpack.encode(result)


def decode_result(data: bytes) -> CommandResult:
    """Decode the result of a proposal. A result that is no longer stored counts as refused."""
    try:
        return _result_decoder.decode(data)
    except msgspec.MsgspecError:
        return CommandResult("too long ago to be known")
