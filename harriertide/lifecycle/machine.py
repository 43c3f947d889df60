"""The state machine of a broker's process. Pure: no clock, no socket.

A process starts, serves and stops: its *stage*, which moves by `STAGE_TRANSITIONS` alone. Beside that it may
be draining (clients are sent away, nothing is restarted), superseded (a newer process of the same broker
accepts in its place) or in maintenance. What clients and operators are answered follows from these four.
docs/design/operations.md has why.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    """How far the process is. The values are words that operators read."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class StageEvent(Enum):
    """What moves a process from stage to stage."""

    READY = "all that it takes to serve is there"
    STOP_REQUESTED = "the process was told to end"


# A pair that is not listed leaves the stage as it is: READY may come again, or after the end was asked for.
STAGE_TRANSITIONS: dict[tuple[Stage, StageEvent], Stage] = {
    (Stage.STARTING, StageEvent.READY): Stage.SERVING,
    (Stage.STARTING, StageEvent.STOP_REQUESTED): Stage.STOPPING,
    (Stage.SERVING, StageEvent.STOP_REQUESTED): Stage.STOPPING,
}


@dataclass(frozen=True, slots=True)
class CommandResult:
    """What an operator's call comes to.

    :param accepted: whether it was done; for a question, whether the answer is yes.
    :param state: one line that says how the process is now.
    """

    accepted: bool
    state: str


@dataclass(slots=True)
class Lifecycle:
    """What a process may do, from its start to its end.

    :param is_draining: operators have asked for a drain.
    :param is_superseded: a newer process of this broker is the active one.
    :param is_in_maintenance: the brokers have agreed that this one is taken out for work.
    :param is_closing_connections: the end of a shutdown is near: each response is the last on its connection.
    """

    stage: Stage = Stage.STARTING
    is_draining: bool = False
    is_superseded: bool = False
    is_in_maintenance: bool = False
    is_closing_connections: bool = False

    # --- what follows from the state -----------------------------------------------------------

    @property
    def is_serving(self) -> bool:
        """Whether this process can serve, whether or not clients are sent to it."""
        return self.stage is Stage.SERVING

    @property
    def is_healthy(self) -> bool:
        """What clients' health checks are answered.

        A superseded process that stops still says yes: it speaks for the broker, which the newer one serves.
        """
        is_broker_up = self.is_serving or (self.is_superseded and self.stage is Stage.STOPPING)
        return is_broker_up and not (self.is_draining or self.is_in_maintenance)

    @property
    def closes_connections(self) -> bool:
        """Whether each response is the last on its connection, so that clients connect elsewhere."""
        return self.is_draining or self.is_superseded or self.is_closing_connections

    @property
    def state(self) -> str:
        """One line for operators."""
        words = [self.stage.value]
        if self.is_draining:
            words.append("drained")
        if self.is_superseded:
            words.append("superseded")
        if self.is_in_maintenance:
            words.append("in maintenance")
        return ", ".join(words)

    # --- calls of operators: each may come twice, and at any time ------------------------------

    def report_readiness(self) -> CommandResult:
        """Whether this process can serve."""
        return CommandResult(self.is_serving, self.state)

    def evacuate(self) -> CommandResult:
        """Send clients away. A call that comes before the process serves holds from its first moment."""
        if self.is_superseded:
            return CommandResult(False, self.state)
        self.is_draining = True
        return CommandResult(True, self.state)

    def rejoin(self) -> CommandResult:
        """End a drain. A process that stops, or that a newer one took over from, takes no clients back."""
        if self.is_superseded or self.stage is Stage.STOPPING:
            return CommandResult(False, self.state)
        self.is_draining = False
        return CommandResult(True, self.state)

    # --- what happens to the process -----------------------------------------------------------

    def mark_serving(self) -> None:
        """Everything that it takes to serve is there."""
        self._move(StageEvent.READY)

    def mark_stopping(self) -> None:
        """The process was asked to stop."""
        self._move(StageEvent.STOP_REQUESTED)

    def mark_superseded(self) -> None:
        """A newer process of this broker accepts from now on."""
        self.is_superseded = True

    def mark_active_again(self) -> None:
        """The newer process has died; this one accepts again, unless it stops."""
        if self.stage is not Stage.STOPPING:
            self.is_superseded = False

    def _move(self, event: StageEvent) -> None:
        self.stage = STAGE_TRANSITIONS.get((self.stage, event), self.stage)
