"""What an application says of a request, and what it hears: asks, attempts, faults and answers."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine import runtime as engine


@dataclass(frozen=True, slots=True)
class Ask:
    """What the decisions need to know of a request.

    volume: whose share it takes; shard: which box's shard holds the data, -1 for a new object; units: its
    size; request_class, plan: by number, or by name where the broker knows names, None for the volume's own
    plan; give_up_at: the moment of the loop's clock until which the caller waits, None for the class's
    deadline from now; hosts: through how many brokers the volume's requests come, 0 for all that share;
    request: its id, drawn where none is given; one that is open already is a ValueError.
    """

    volume: str
    shard: int = -1
    units: float = 1.0
    request_class: int | str = 0
    plan: int | str | None = None
    key: str = ""
    give_up_at: float | None = None
    hosts: int = 0
    request: str = ""


class BoxError(Exception):
    """The box answered with an error; the attempt may have run."""

    kind: api.OutcomeKind = "error"


class BoxFullError(BoxError):
    """The box turned the attempt away; it never ran."""

    kind = "rejected"


class BoxUnreachableError(BoxError):
    """No connection to the box, or nothing was written; the attempt never ran."""

    kind = "connect_failed"


class BoxBrokeError(BoxError):
    """The connection broke; the attempt may have run."""

    kind = "reset"


class BoxSlowError(BoxError):
    """No answer within the attempt's time; it may have run."""

    kind = "timeout"


class NotWrittenError(BoxError):
    """The core does not want the attempt written any more: a drain, a cold box, a client that left."""

    def __init__(self, kind: api.OutcomeKind) -> None:
        super().__init__(f"not written: {kind}")
        self.kind = kind


BOX_FAULTS: dict[api.OutcomeKind, type[BoxError]] = {
    fault.kind: fault for fault in (BoxError, BoxFullError, BoxUnreachableError, BoxBrokeError, BoxSlowError)
}


class RefusedError(Exception):
    """The final answer: not done, trying again is harmless. retry_after_s: when; 0: no advice."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("refused: trying again is harmless")
        self.retry_after_s = retry_after_s

    @property
    def header(self) -> str:
        """As Retry-After has it for clients that take decimals."""
        return f"{self.retry_after_s:.3f}"


class FailedError(Exception):
    """The final answer: without a promise. It may have run."""

    def __init__(self, reason: str = "failed") -> None:
        super().__init__(reason)


class Attempt:
    """One attempt, as the application performs it. box: which; address: where, if known."""

    __slots__ = ("box", "address", "number", "stop_at", "begun", "engine")

    def __init__(self, attempt: engine.Attempt, address: str | None) -> None:
        self.engine = attempt
        self.box, self.number, self.address = attempt.node_id, attempt.number, address
        self.stop_at = attempt.runtime.clock.loop_time(attempt.stop_at_us)
        self.begun = False

    def may_write(self) -> None:
        """Ask this right before the first byte goes to the box; broker.boxes does. NotWrittenError: don't."""
        kind = self.engine.may_write()
        if kind is not None:
            raise NotWrittenError(kind)

    def began(self) -> None:
        """The answer is on its way to the client from now on: no further attempt will follow."""
        if not self.begun:
            self.begun = True
            self.engine.runtime.response_started(self.engine)


@dataclass(frozen=True, slots=True)
class Names:
    """Numbers of classes, of plans, and each volume's plan, by name."""

    classes: dict[str, int]
    plans: dict[str, int]
    volumes: dict[str, int]


NO_NAMES = Names({}, {}, {})


def arrival(
    ask: Ask, request: str, hosts: int, names: Names, core: Reducer, now_us: int, deadline_at_us: int | None
) -> api.Arrival:
    """An ask as the core takes it. ValueError names what it can't use."""
    kind, plan = ask.request_class, ask.plan
    if isinstance(kind, str):
        if kind not in names.classes:
            raise ValueError(f"request_class: there is no class {kind}")
        kind = names.classes[kind]
    if plan is None:
        plan = names.volumes.get(ask.volume, 0)
    elif isinstance(plan, str):
        if plan not in names.plans:
            raise ValueError(f"plan: there is no plan {plan}")
        plan = names.plans[plan]
    settings = core.settings
    if not 0 <= kind < len(settings.classes):
        raise ValueError(f"request_class: there is no class {kind}")
    if not 0 <= plan < len(settings.plans):
        raise ValueError(f"plan: there is no plan {plan}")
    if not 0 < ask.units <= settings.max_request_units:
        raise ValueError(f"units: must be above 0 and up to {settings.max_request_units:g}")
    last_us = now_us + settings.classes[kind].deadline_us
    return api.Arrival(
        request_id=request,
        request_class=kind,
        plan=plan,
        volume=ask.volume,
        shard=ask.shard,
        deadline_at_us=last_us if deadline_at_us is None else min(last_us, deadline_at_us),
        units=ask.units,
        key=ask.key,
        sharing_broker_count=hosts,
    )
