"""Run one workload through the daemon and through the library, in virtual time, and compare every decision.

Usage: parity [--seconds S] [--seed N] [--kind KIND] [--sockets] [FILE]

FILE is a recorded workload (harriertide serve --record); without one, a random workload of each kind is run.
Prints `matched N differed 0`, or the first decisions that differ, and then exits with 1.

Options:
  --seconds S  length of a random workload [default: 8]
  --seed N     of random workloads [default: 1]
  --kind KIND  calm, surge, failing, drains, cold or pair (a surge through two brokers that share); else all
  --sockets    in real time on real sockets instead: both scores for five pairs of surges, which may lie 0.02
               apart in their medians
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from itertools import product, zip_longest
from statistics import median

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.engine.workload import Workload, load
from harriertide.lab.simulation import virtual_time
from harriertide.lab.simulation.random_workloads import DEPLOYMENTS, KINDS, generate_workload
from harriertide.lab.simulation.stand_in_nodes import StandInNode
from harriertide.lab.simulation.workload_runs import (
    FIRST_PEER_PORT,
    RunRecord,
    run_through_daemon,
    run_through_library,
)
from harriertide.library.loopback_peers import LoopbackPeers
from harriertide.library.peer_transport import PeerTransport

MAX_SCORE_DIFFERENCE = 0.02  # of the medians on real sockets
SOCKET_UNIT_S = 0.045  # service time of a unit in real time, where one process runs clients, broker and nodes
SOCKET_PAIR_COUNT = 5
SHOWN_DIFFERENCES = 3
PAIR = "pair"  # this kind is a surge through two brokers

NodeFactory = Callable[[], list[StandInNode]]


@dataclass(frozen=True, slots=True)
class Case:
    """One workload to compare, and how to make nodes for it: each run needs new ones."""

    title: str
    workload: Workload
    make_nodes: NodeFactory
    broker_count: int = 1


def score_run(workload: Workload, record: RunRecord, from_us: int = 0, until_us: int = 1 << 62) -> float:
    """Sum the weighted units of what arrived in a span and was served within its latency objective."""
    settings = workload.header.settings
    score = 0.0
    for event in workload.events:
        arrival = event.arrival
        if arrival is None or not from_us <= event.at_us < until_us:
            continue
        responded_at_us, kind = record.responses.get(arrival.request_id, (0, "none"))
        request_class = settings.classes[arrival.request_class]
        if kind == "served" and responded_at_us - event.at_us <= request_class.latency_objective_us:
            factor = settings.plans[arrival.plan].priority_factor
            score += request_class.priority_weight * factor * arrival.units
    return score


def best_score(workload: Workload) -> float:
    """The score of a run that serves everything at once."""
    arrivals = [(event.at_us, event.arrival) for event in workload.events if event.arrival]
    responses = {arrival.request_id: (at_us, "served") for at_us, arrival in arrivals}
    return score_run(workload, RunRecord([], responses))


def compare(daemon: RunRecord, library: RunRecord, broker_count: int = 1) -> tuple[int, list[str]]:
    """Return how many decisions match, and those that differ, as text.

    Several brokers decide at one moment in any order among themselves.
    """
    records = (daemon, library)
    ordered = [record.decisions if broker_count == 1 else sorted(record.decisions) for record in records]
    differences = [
        f"daemon {first}, library {second}" for first, second in zip_longest(*ordered) if first != second
    ]
    return max(len(daemon.decisions), len(library.decisions)) - len(differences), differences


def run_both(
    workload: Workload, make_nodes: NodeFactory, broker_count: int = 1
) -> tuple[RunRecord, RunRecord]:
    """Run a workload through the daemon and through the library, each with nodes of its own."""

    def make_peers(broker_index: int) -> PeerTransport | None:
        return LoopbackPeers(FIRST_PEER_PORT, broker_count) if broker_count > 1 else None

    return (
        virtual_time.run(run_through_daemon(workload, make_nodes(), broker_count)),
        virtual_time.run(run_through_library(workload, make_nodes(), broker_count, make_peers)),
    )


def compare_scores_on_sockets(seed: int, seconds: float, pair_count: int = SOCKET_PAIR_COUNT) -> int:
    """Print both scores in real time, one event loop each run; 1 where they lie too far apart."""
    scores: dict[str, list[float]] = {"daemon": [], "library": []}
    for number in range(pair_count):
        for name, run_workload in (("daemon", run_through_daemon), ("library", run_through_library)):
            workload, nodes = generate_workload("surge", seed + number, seconds, SOCKET_UNIT_S)
            record = asyncio.run(run_workload(workload, nodes))
            scores[name].append(score_run(workload, record) / best_score(workload))
        daemon_score, library_score = scores["daemon"][-1], scores["library"][-1]
        print(f"pair {number + 1}: daemon {daemon_score:.3f} library {library_score:.3f}", flush=True)
    daemon_median, library_median = median(scores["daemon"]), median(scores["library"])
    difference = abs(daemon_median - library_median)
    print(f"medians: daemon {daemon_median:.3f} library {library_median:.3f}, {difference:.3f} apart")
    return 0 if difference <= MAX_SCORE_DIFFERENCE else 1


def _recorded_case(path: str, seed: int) -> Case:
    """A recorded workload, before nodes with the names that its endpoint lists have."""
    workload = load(path)
    updates = [event.endpoint_update for event in workload.events if event.endpoint_update]
    shards = {entry.node_id: entry.shard for update in updates for entry in update.entries}

    def make_nodes() -> list[StandInNode]:
        return [StandInNode(name, shard, seed) for name, shard in sorted(shards.items())]

    return Case(f"{path}, first", workload, make_nodes)


def _random_case(kind: str, deployment: str, seed: int, seconds: float) -> Case:
    broker_count = 2 if kind == PAIR else 1
    load_kind = "surge" if kind == PAIR else kind
    workload, _ = generate_workload(
        load_kind, seed, seconds, broker_count=broker_count, deployment=deployment
    )

    def make_nodes() -> list[StandInNode]:
        return generate_workload(load_kind, seed, seconds, deployment=deployment)[1]

    return Case(f"{kind}, {deployment}", workload, make_nodes, broker_count)


def _compare_case(case: Case) -> tuple[int, int]:
    """Run one case and print its result; how many decisions match and how many differ."""
    daemon, library = run_both(case.workload, case.make_nodes, case.broker_count)
    matched, differences = compare(daemon, library, case.broker_count)
    served = sum(kind == "served" for _, kind in daemon.responses.values())
    requests = f"{len(daemon.responses)} requests, {served} served"
    print(f"{case.title}: {requests}; matched {matched} differed {len(differences)}")
    for difference in differences[:SHOWN_DIFFERENCES]:
        print(f"  {difference}")
    return matched, len(differences)


def main(arguments: list[str]) -> int:
    """Print what matched; 1 where a decision differs."""
    given = docopt(__doc__ or "", arguments)
    known = [*KINDS, PAIR]
    kinds = [given["--kind"]] if given["--kind"] else known
    if not set(kinds) <= set(known):
        raise SettingsError(f"--kind: {given['--kind']} is none of {', '.join(known)}")
    seed, seconds = int(given["--seed"]), float(given["--seconds"])
    if given["--sockets"]:
        return compare_scores_on_sockets(seed, seconds)
    total_matched = total_differed = 0
    if given["FILE"]:
        cases = iter([_recorded_case(given["FILE"], seed)])
    else:
        cases = (_random_case(kind, name, seed, seconds) for kind, name in product(kinds, DEPLOYMENTS))
    for case in cases:
        matched, differed = _compare_case(case)
        total_matched += matched
        total_differed += differed
    print(f"matched {total_matched} differed {total_differed}")
    return 1 if total_differed else 0
