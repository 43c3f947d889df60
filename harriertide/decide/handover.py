"""What a broker's decision module knows, as records that a newer process of the same broker goes on from.

Requests stay with the process that took them, and what is out at nodes with them. Times are those of the
clock that both processes go by. Nothing here decides anything.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, fields, replace
from typing import Any

from harriertide.decide import api
from harriertide.decide.leases import Credit, Fund, Leases, Slot
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.state import Store, Tally, Volume

NOTHING = 1e-6  # in place of a figure that must be above 0: no request fits in


@dataclass(slots=True)
class NodeState:
    """A node's health, and what was given out of it while it is cold."""

    id: str
    started_us: int
    fast: float
    streak: int
    silent: bool
    trial_us: int
    given: list[tuple[int, float]]
    answered: float
    answered_us: int
    proof: float
    proof_us: int
    gift: Credit


@dataclass(slots=True)
class ShardState:
    """A shard's learned capacity, the sums of all brokers, and this broker's demand."""

    shard: int
    heard_us: int
    weight_sum: float
    capacity: float
    learned: bool
    pressed: bool
    strain_all: float
    strain: float
    rate: float
    bids: int
    demand: list[float]
    totals: list[float]
    chance: list[float]


@dataclass(slots=True)
class VolumeState:
    """A volume's stores here."""

    key: int
    part: float
    reserve: Store
    limit: Store
    shares: dict[int, Store]
    credit: Credit


@dataclass(slots=True)
class LeaseState:
    """The slots of plan limits that this broker votes on or holds, and the stores that it keeps."""

    epoch: int
    slots: dict[int, Slot]
    funds: dict[int, Fund]


@dataclass(slots=True)
class DecisionState:
    """All of it."""

    nodes: list[NodeState] = field(default_factory=list)
    shards: list[ShardState] = field(default_factory=list)
    volumes: list[VolumeState] = field(default_factory=list)
    tallies: dict[int, Tally] = field(default_factory=dict)
    usual: list[float] = field(default_factory=list)
    taken: list[int] = field(default_factory=list)
    extra: list[int] = field(default_factory=list)
    placed: dict[str, tuple[int, int]] = field(default_factory=dict)
    leases: LeaseState | None = None


def _names(record: type) -> list[str]:
    return [each.name for each in fields(record)]


def _values(source: object, record: type) -> dict[str, Any]:
    """What a record of that type takes from an object with fields of the same names."""
    values = {name: getattr(source, name) for name in _names(record)}
    return {name: list(value) if isinstance(value, deque) else value for name, value in values.items()}


def export_state(scheduler: Scheduler) -> DecisionState:
    """What a scheduler knows by now."""
    leases = scheduler._leases
    return DecisionState(
        nodes=[NodeState(**_values(node, NodeState)) for node in scheduler._nodes.values()],
        shards=[ShardState(**_values(cell, ShardState)) for cell in scheduler._cells.values()],
        volumes=[VolumeState(**_values(volume, VolumeState)) for volume in scheduler._volumes.values()],
        tallies=scheduler._tallies,
        usual=list(scheduler._usual),
        taken=list(scheduler._taken),
        extra=list(scheduler._extra),
        placed=scheduler._placed.rows,
        leases=LeaseState(leases.epoch, leases._slots, leases._funds) if leases is not None else None,
    )


def _set_back(scheduler: Scheduler, now_us: int) -> None:
    """Have a scheduler that ran on a clock ahead of this one go by this one.

    Guards against time that has passed for it alone: stores would fill in it that another process has spent.
    """
    ahead_us = scheduler._now - now_us
    if ahead_us <= 0:
        return
    scheduler._now -= ahead_us
    scheduler._started -= ahead_us
    scheduler._round_us -= ahead_us
    scheduler._round_end -= ahead_us
    scheduler._later = [(when_us - ahead_us, count, what) for when_us, count, what in scheduler._later]


def import_state(scheduler: Scheduler, state: DecisionState, now_us: int) -> None:
    """Have a scheduler that has the list of nodes, and no requests yet, go on from there.

    now_us: by the clock of the process before, which this one goes by from now on.
    """
    _set_back(scheduler, now_us)
    for node_state in state.nodes:
        node = scheduler._nodes.get(node_state.id)
        if node is not None and node.started_us == node_state.started_us:
            for name in _names(NodeState):
                setattr(node, name, getattr(node_state, name))
            node.given = deque(node_state.given)
    for shard_state in state.shards:
        cell = scheduler._cells.get(shard_state.shard)
        if cell is None or len(shard_state.demand) != cell.bands:
            continue
        for name in _names(ShardState):
            setattr(cell, name, getattr(shard_state, name))
        if sum(cell.demand) > 0:
            scheduler._active[cell.shard] = cell
    for kept in state.volumes:
        scheduler._volumes[kept.key] = Volume(
            kept.key, kept.part, kept.reserve, kept.limit, kept.shares, kept.credit
        )
        scheduler._resting[kept.key] = scheduler._now
    scheduler._tallies.update(state.tallies)
    scheduler._usual[: len(state.usual)] = state.usual[: len(scheduler._usual)]
    scheduler._taken, scheduler._extra = deque(state.taken), deque(state.extra)
    scheduler._placed.rows.update(state.placed)
    _import_leases(scheduler._leases, state.leases)


def _import_leases(leases: Leases | None, state: LeaseState | None) -> None:
    """Go on with the votes and stores of the process before: no vote may be given twice."""
    if leases is not None and state is not None and leases._slots.keys() == state.slots.keys():
        leases.epoch, leases._slots, leases._funds = state.epoch, state.slots, state.funds


def superseded(settings: api.Settings) -> api.Settings:
    """Settings of a process whose budgets a newer one has: nothing of a limit, nothing of a cold node.

    What it has taken goes on otherwise: requests of plans without a limit, at nodes that are warm.
    """
    plans = tuple(
        replace(plan, rate_limit=NOTHING, burst_limit_units=NOTHING) if plan.rate_limit > 0 else plan
        for plan in settings.plans
    )
    return replace(settings, plans=plans, slow_start_units=NOTHING, slow_start_initial_ratio=1.0)
