"""The plan of a soak run: all faults, drawn from its seed before it begins."""

from __future__ import annotations

from random import Random
from typing import Literal

import msgspec
from msgspec import Struct

from harriertide.lab.rigs.nodes import NodeFault

StepKind = Literal[
    "reload", "drain", "cold-node", "node-fault", "dark", "crowd", "leavers", "burst", "pause", "hand-over"
]
SignalName = Literal["HUP", "TERM"]

STEPS_PER_RUN = 4
MAX_PAUSE_S = 0.15  # a broker may be held up for so long at any moment
MAX_SIGNAL_GAP_S = 0.1
MAX_START_S = 0.5  # signals reach a process within so long of its start
MIN_NEW_CONNECTIONS_S, MAX_NEW_CONNECTIONS_S = 0.2, 0.4  # after SIGTERM: for so long new connections come
LONG_DARK_RATIO = 0.1
LONG_DARK_S = 21.0
GROUP_COUNT = 3  # a third of the runs has a crowd, a third pauses brokers

PLAIN_STEPS: tuple[StepKind, ...] = (
    "reload", "drain", "cold-node", "node-fault", "dark", "leavers", "burst", "hand-over",
)  # fmt: skip
CROWD_STEPS: tuple[StepKind, ...] = ("crowd", "leavers", "burst")
PAUSE_STEPS: tuple[StepKind, ...] = ("drain", "drain", "drain", "pause")
NODE_FAULTS: tuple[NodeFault, ...] = ("hang", "reset", "close", "forget")
STOP_SIGNALS: tuple[tuple[SignalName, ...], ...] = (
    ("TERM",), ("TERM", "TERM"), ("HUP", "TERM"), ("TERM", "HUP"), ("HUP", "HUP", "TERM"),
)  # fmt: skip
START_SIGNALS: tuple[tuple[SignalName, ...], ...] = ((), ("HUP",), ("HUP", "HUP"), ("TERM",))


class SignalAt(Struct, frozen=True):
    """A signal, and how long after the one before it, or after the start of its process, it is sent."""

    name: SignalName
    after_s: float


class Step(Struct, frozen=True):
    """One thing that happens under load.

    node: which storage node. fault: of that node. seconds: how long it lasts. count: of requests. pause_s:
    for how long the broker is stopped right behind it; 0: not at all. signals: to the broker.
    """

    kind: StepKind
    node: int = 0
    fault: NodeFault = ""
    seconds: float = 0.0
    count: int = 0
    pause_s: float = 0.0
    signals: tuple[SignalAt, ...] = ()


class Restart(Struct, frozen=True):
    """How the broker is stopped, killed at the earliest time that the platform allows, and started anew.

    stop: signals to the old process; start: to the new one. new_connections_s: for how long after SIGTERM new
    connections still come. hangs: a storage node that hangs from the first signal on; -1: none.
    """

    stop: tuple[SignalAt, ...]
    start: tuple[SignalAt, ...]
    new_connections_s: float
    hangs: int


class SoakPlan(Struct, frozen=True):
    """All that happens in one run. sockets: descriptors that the broker may open."""

    seed: int
    has_crowd: bool
    has_pauses: bool
    sockets: int
    steps: tuple[Step, ...]
    first_restart: Restart
    last_restart: Restart

    def encode(self) -> bytes:
        """The plan as it is written down, for people and for comparing."""
        return msgspec.json.format(msgspec.json.encode(self), indent=1)


def _draw_signals(
    random: Random, names: tuple[SignalName, ...], first_after_s: float
) -> tuple[SignalAt, ...]:
    return tuple(
        SignalAt(name, first_after_s if index == 0 else random.uniform(0.0, MAX_SIGNAL_GAP_S))
        for index, name in enumerate(names)
    )


def _draw_step(random: Random, kinds: tuple[StepKind, ...], has_pauses: bool) -> Step:
    kind = random.choice(kinds)
    seconds = random.uniform(0.3, 1.5)
    if kind == "dark" and random.random() < LONG_DARK_RATIO:
        seconds = LONG_DARK_S
    names: tuple[SignalName, ...] = ()
    if kind == "reload":
        names = tuple("HUP" for _ in range(random.randint(2, 5)))
    elif kind == "hand-over":
        names = random.choice(STOP_SIGNALS)
    pauses = has_pauses or kind == "pause"
    return Step(
        kind,
        node=random.randrange(3),
        fault=random.choice(NODE_FAULTS) if kind == "node-fault" else "",
        seconds=seconds,
        count=random.randint(20, 60),
        pause_s=random.uniform(0.02, MAX_PAUSE_S) if pauses else 0.0,
        signals=_draw_signals(random, names, random.uniform(0.0, MAX_START_S)),
    )


def _draw_restart(random: Random) -> Restart:
    return Restart(
        stop=_draw_signals(random, random.choice(STOP_SIGNALS), 0.0),
        start=_draw_signals(random, random.choice(START_SIGNALS), random.uniform(0.0, MAX_START_S)),
        new_connections_s=random.uniform(MIN_NEW_CONNECTIONS_S, MAX_NEW_CONNECTIONS_S),
        hangs=random.choice([-1, -1, 0, 1, 2]),
    )


def draw_plan(seed: int) -> SoakPlan:
    """Draw the plan of a run; the same seed gives the same plan."""
    random = Random(seed)
    has_crowd = seed % GROUP_COUNT == 0
    has_pauses = seed % GROUP_COUNT == 1
    kinds = PLAIN_STEPS + (2 * CROWD_STEPS if has_crowd else ()) + (2 * PAUSE_STEPS if has_pauses else ())
    return SoakPlan(
        seed=seed,
        has_crowd=has_crowd,
        has_pauses=has_pauses,
        sockets=128 if has_crowd else 512,
        steps=tuple(_draw_step(random, kinds, has_pauses) for _ in range(STEPS_PER_RUN)),
        first_restart=_draw_restart(random),
        last_restart=_draw_restart(random),
    )
