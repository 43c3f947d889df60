"""The commands that members agree on, as the log carries them, and the result of each.

Tags and the names of encoded fields are those of the log, which releases before this one wrote: where a field
has another name here, `rename` holds the encoded one. at_s is always the wall clock of the member that
proposed the command, in Unix seconds.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from harriertide.maintenance.orders import Machine, Order
from harriertide.maintenance.phases import Phase

HOURS_PER_DAY = 24


class DeclareMachines(Struct, frozen=True, tag="declare"):
    """The inventory, as the leader's file has it. brokers: those that may send, in the order of the file."""

    machines: tuple[Machine, ...]
    brokers: tuple[str, ...]
    at_s: float


class SubmitOrder(Struct, frozen=True, tag="request"):
    """An operator's order."""

    order: Order
    at_s: float


class CancelOrder(Struct, frozen=True, tag="cancel"):
    """Nothing more of an order begins; what is out comes back."""

    order: str
    at_s: float


class PausePermits(Struct, frozen=True, tag="hold", rename={"paused": "on"}):
    """No new permits are granted, or they are again."""

    paused: bool
    at_s: float


class GrantPermit(Struct, frozen=True, tag="permit"):
    """A machine may be taken out of service."""

    machine: str
    order: str
    at_s: float


class ChangePhase(
    Struct, frozen=True, tag="move", rename={"phase": "to", "reason": "why", "incarnation": "life"}
):
    """A machine under a fence goes on to a phase; under any other fence nothing changes.

    incarnation: of a broker that goes out, the process that does.
    """

    machine: str
    fence: int
    phase: Phase
    at_s: float
    reason: str = ""
    incarnation: int = 0


class ReportFailure(Struct, frozen=True, tag="failed", rename={"failed": "away"}):
    """A machine that nobody planned to take out is out of service, or is in service again."""

    machine: str
    failed: bool
    at_s: float


class MarkBrokerGone(Struct, frozen=True, tag="gone"):
    """By an operator's word a broker's process has ended for good and sends nothing; or it is back."""

    broker: str
    gone: bool
    at_s: float


class RecordPeakLoad(Struct, frozen=True, tag="pattern"):
    """The highest load of an hour of the day, in units a second."""

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
    """The result, for the proposer. refusal: why nothing changed, in one plain line; "" if it did."""

    refusal: str = ""
    fence: int = 0


_command_decoder = msgspec.msgpack.Decoder(Command)
_result_decoder = msgspec.msgpack.Decoder(CommandResult)


def command_name(command: Command) -> str:
    """Return the name of a command for logs: its tag in the log of commands, with a capital."""
    return str(command.__struct_config__.tag).capitalize()


def encode_command(command: Command) -> bytes:
    """Encode a command as the log carries it."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command of the log.

    :raises msgspec.MsgspecError: it is none
    """
    return _command_decoder.decode(data)


def encode_result(result: CommandResult) -> bytes:
    """Encode a result for the proposer."""
    return msgspec.msgpack.encode(result)


def decode_result(data: bytes) -> CommandResult:
    """Decode a result as a call returns it. One that is not kept any more counts as refused."""
    try:
        return _result_decoder.decode(data)
    except msgspec.MsgspecError:
        return CommandResult("too long ago to be known")
