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
class Verdict:
    """What an operator's call comes to. state: one line that says how the process is now."""

    done: bool
    state: str


@dataclass(slots=True)
class Lifecycle:
    """What a process may do, from its start to its end."""

    stage: Stage = Stage.STARTING
    drained: bool = False
    superseded: bool = False
    in_maintenance: bool = False  # the brokers have settled that this one is taken out for work
    last_answers: bool = False  # the end of a stop is near: no connection is kept after its answer

    # --- questions -----------------------------------------------------------------------------

    @property
    def can_serve(self) -> bool:
        """Whether this process can serve, whether or not clients are sent to it."""
        return self.stage is Stage.SERVING

    @property
    def healthy(self) -> bool:
        """What clients' health checks hear of the broker. A superseded process speaks for the newer one."""
        serving = self.stage is Stage.SERVING or (self.superseded and self.stage is Stage.STOPPING)
        return serving and not (self.drained or self.in_maintenance)

    @property
    def ends_connections(self) -> bool:
        """Whether each answer is the last on its connection."""
        return self.drained or self.superseded or self.last_answers

    @property
    def state(self) -> str:
        """One line for operators."""
        words = [self.stage.value]
        words += ["drained"] if self.drained else []
        words += ["superseded"] if self.superseded else []
        words += ["in maintenance"] if self.in_maintenance else []
        return ", ".join(words)

    # --- calls of operators: each may come twice, and at any time ------------------------------

    def ready(self) -> Verdict:
        """Whether this process can serve."""
        return Verdict(self.can_serve, self.state)

    def evacuate(self) -> Verdict:
        """Send clients away. One that comes before the process serves holds from its first moment."""
        if self.superseded:
            return Verdict(False, self.state)
        self.drained = True
        return Verdict(True, self.state)

    def rejoin(self) -> Verdict:
        """The end of a drain. A process that stops, or that a newer one took over from, takes none back."""
        if self.superseded or self.stage is Stage.STOPPING:
            return Verdict(False, self.state)
        self.drained = False
        return Verdict(True, self.state)

    # --- the course of the process -------------------------------------------------------------

    def serve(self) -> None:
        """It can serve now."""
        if self.stage is Stage.STARTING:
            self.stage = Stage.SERVING

    def supersede(self) -> None:
        """A newer process of this broker accepts from now on."""
        self.superseded = True

    def take_back(self) -> None:
        """The newer process has died; this one accepts again, unless it stops."""
        if self.stage is not Stage.STOPPING:
            self.superseded = False

    def stop(self) -> None:
        """It has been told to end."""
        self.stage = Stage.STOPPING
