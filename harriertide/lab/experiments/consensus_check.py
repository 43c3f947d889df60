"""What the consensus promises, checked in two ways: a search through states, and simulated runs.

Usage: consensus-check [--states N] [--seeds N] [--first SEED] [--processes N] [--short]

The search (lab/model_checker) goes through every order of messages among three members, with losses,
duplicates, elections, crashes, lost disks and changes of members, up to a depth, and checks each invariant of
harriertide/consensus/node.py in each state. Members with a seeded bug must be found, and the path there is
printed. Then five members are simulated under random faults: the histories of their clients must be
linearizable. Exits with 1 where an invariant does not hold, a history is not linearizable, or a seeded bug is
not found.

Options:
  --states N     the most states of each search [default: 400000]
  --seeds N      simulated runs [default: 2000]
  --first SEED   seed of the first simulated run [default: 0]
  --processes N  processes at once; 0: one a core [default: 0]
  --short        20000 states and 60 simulated runs
"""

from __future__ import annotations

import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.lab.model_checker.scenarios import SEARCHES, SEEDED_BUG_SEARCHES, search
from harriertide.lab.raft_simulation.run import run_simulation

SHORT_STATE_LIMIT = 20_000
SHORT_RUN_COUNT = 60
MAX_PRINTED_FAILURES = 20


@dataclass(frozen=True, slots=True)
class SearchReport:
    """The result of one search. counterexample: empty where every invariant holds."""

    name: str
    seeded_bug: str
    states: int
    depth: int
    took_s: float
    counterexample: list[str]

    @property
    def is_as_expected(self) -> bool:
        """A seeded bug is found, and nothing else is."""
        return bool(self.counterexample) == bool(self.seeded_bug)


def run_search(state_limit: int, case: tuple[str, str]) -> SearchReport:
    """Run one search.

    :param case: its name in SEARCHES, and the seeded bug of its members, "" for none
    """
    name, seeded_bug = case
    started_s = time.monotonic()
    finished, counterexample = search(name, state_limit, seeded_bug)
    took_s = time.monotonic() - started_s
    return SearchReport(name, seeded_bug, finished.states, finished.depth, took_s, counterexample)


def run_searches(state_limit: int, processes: int | None) -> bool:
    """Run all searches and print each result.

    :returns: whether every result is as expected
    """
    cases = [(name, "") for name in SEARCHES]
    cases += [(name, seeded_bug) for seeded_bug, name in SEEDED_BUG_SEARCHES.items()]
    all_as_expected = True
    with ProcessPoolExecutor(processes) as pool:
        for report in pool.map(partial(run_search, state_limit), cases):
            print(format_search(report, state_limit), flush=True)
            all_as_expected = all_as_expected and report.is_as_expected
    return all_as_expected


def format_search(report: SearchReport, state_limit: int) -> str:
    """The lines of one search."""
    seeded_bug = f", seeded bug {report.seeded_bug}" if report.seeded_bug else ""
    is_exhaustive = report.states < state_limit and not report.counterexample
    extent = "all" if is_exhaustive else "the first"
    violation, *path = report.counterexample or ["every invariant holds"]
    return "\n".join(
        [
            f"search   {report.name}{seeded_bug}",
            f"         {extent} {report.states} states to depth {report.depth}, {report.took_s:.0f} s",
            f"         {violation}",
            *(f"           {action}" for action in path),
        ]
    )


def run_simulations(first_seed: int, run_count: int, processes: int | None) -> bool:
    """Run the simulations and print their sums and what failed.

    :returns: whether all promises were kept
    """
    counts: Counter[str] = Counter()
    failures: list[str] = []
    seeds = range(first_seed, first_seed + run_count)
    with ProcessPoolExecutor(processes) as pool:
        for seed, verdict in zip(seeds, pool.map(run_simulation, seeds, chunksize=4), strict=True):
            counts.update(
                runs=1,
                calls=verdict.operations,
                answered=verdict.answered,
                elections=verdict.elections,
                faults=len(verdict.faults),
            )
            failures += [f"seed {seed}: {failure}" for failure in verdict.broken]
    print("runs     " + ", ".join(f"{count} {name}" for name, count in counts.items()))
    if failures:
        print("\n".join(failures[:MAX_PRINTED_FAILURES]))
    else:
        print("runs     every history is linearizable, all members agree")
    return not failures


def main(arguments: list[str]) -> int:
    """Run the searches, then the simulations."""
    given = docopt(__doc__ or "", arguments)
    try:
        state_limit, run_count = int(given["--states"]), int(given["--seeds"])
        first_seed, processes = int(given["--first"]), int(given["--processes"]) or None
    except ValueError as error:
        raise SettingsError(f"consensus-check: {error}") from None
    if given["--short"]:
        state_limit, run_count = SHORT_STATE_LIMIT, SHORT_RUN_COUNT
    searches_passed = run_searches(state_limit, processes)
    simulations_passed = run_simulations(first_seed, run_count, processes)
    return 0 if searches_passed and simulations_passed else 1
