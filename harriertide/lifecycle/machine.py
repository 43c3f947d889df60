"""The state machine of a broker's process. Pure: calls in, answers and questions out.

A process starts, serves and stops. Beside that it may be drained (clients are sent away, nothing is
restarted) and superseded (a newer process of the same broker accepts in its place).
docs/design/operations.md has why.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    """How far the process is."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class CommandResult:
    """What an operator's call comes to. state: one line that says how the process is now."""

    accepted: bool
    state: str


@dataclass(slots=True)
class Lifecycle:
    """What a process may do, from its start to its end."""

    stage: Stage = Stage.STARTING
    is_draining: bool = False
    is_superseded: bool = False
    is_in_maintenance: bool = False  # the brokers have settled that this one is taken out for work
    is_closing_connections: bool = False  # the end of a stop is near: no connection is kept after its answer

    # --- questions -----------------------------------------------------------------------------

    @property
    def is_serving(self) -> bool:
        """Whether this process can serve, whether or not clients are sent to it."""
        return self.stage is Stage.SERVING

    @property
    def is_healthy(self) -> bool:
        """What clients' health checks hear of the broker. A superseded process speaks for the newer one."""
        serving = self.stage is Stage.SERVING or (self.is_superseded and self.stage is Stage.STOPPING)
        return serving and not (self.is_draining or self.is_in_maintenance)

    @property
    def closes_connections(self) -> bool:
        """Whether each answer is the last on its connection."""
        return self.is_draining or self.is_superseded or self.is_closing_connections

    @property
    def state(self) -> str:
        """One line for operators."""
        words = [self.stage.value]
        words += ["drained"] if self.is_draining else []
        words += ["superseded"] if self.is_superseded else []
        words += ["in maintenance"] if self.is_in_maintenance else []
        return ", ".join(words)

    # --- calls of operators: each may come twice, and at any time ------------------------------

    def report_readiness(self) -> CommandResult:
        """Whether this process can serve."""
        return CommandResult(self.is_serving, self.state)

    def evacuate(self) -> CommandResult:
        """Send clients away. One that comes before the process serves holds from its first moment."""
        if self.is_superseded:
            return CommandResult(False, self.state)
        self.is_draining = True
        return CommandResult(True, self.state)

    def rejoin(self) -> CommandResult:
        """The end of a drain. A process that stops, or that a newer one took over from, takes none back."""
        if self.is_superseded or self.stage is Stage.STOPPING:
            return CommandResult(False, self.state)
        self.is_draining = False
        return CommandResult(True, self.state)

    # --- the course of the process -------------------------------------------------------------

    def mark_serving(self) -> None:
        """It can serve now."""
        if self.stage is Stage.STARTING:
            self.stage = Stage.SERVING

    def mark_superseded(self) -> None:
        """A newer process of this broker accepts from now on."""
        self.is_superseded = True

    def take_back(self) -> None:
        """The newer process has died; this one accepts again, unless it stops."""
        if self.stage is not Stage.STOPPING:
            self.is_superseded = False

    def stop(self) -> None:
        """It has been told to end."""
        self.stage = Stage.STOPPING
