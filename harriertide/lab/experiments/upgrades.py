"""Upgrades in place of one real broker under load, one after the other, each a case chosen by the seed.

Usage: upgrades [--runs N] [--seed N] [--cases NAMES] [--folder DIR]

The platform holds the clients' socket; the broker is started anew beside the process that serves, by the same
program. Exits with 1 where a request was lost, a rule was broken or a step did not end as it should.

Options:
  --runs N       upgrades [default: 50]
  --seed N       of cases and load [default: 1]
  --cases NAMES  these only, separated by commas
  --folder DIR   where configurations and logs are kept; else a folder that is deleted
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import Any

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.lab.checkers.upgrade_checker import Verdict, check_logs, conclude
from harriertide.lab.experiments.upgrade_cases import CASES, SETTLE_S, UpgradeRun
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.single_broker import SingleBrokerRig

STORE_RATIO = 0.2  # of requests whose key has an order


async def run_cases(folder: Path, seed: int, cases: list[str]) -> None:
    """Upgrade once for each case; what happened is in the folder's logs.

    :param cases: keys of CASES
    """
    rig = SingleBrokerRig(folder, Random(seed))
    await rig.start()
    stop = asyncio.Event()
    try:
        run = UpgradeRun(rig)
        await run.start_first_process()
        rig.clients.store_ratio = STORE_RATIO
        load = asyncio.create_task(rig.clients.offer(stop))
        await run.pause(SETTLE_S)
        for case in cases:
            rig.logs.write("platform", "case", case=case)
            await CASES[case](run)
            if not run.serving.is_running:
                run.log_failure(f"nothing serves after {case}")
                break
            await run.pause(SETTLE_S)
        stop.set()
        await load
    finally:
        await rig.close()


def summarize(verdict: Verdict, upgrades: int) -> str:
    """The counts of a run as one row."""
    return (
        f"upgrades {upgrades} requests {verdict.requests} lost {verdict.lost} "
        f"twice {verdict.excess_attempts} crossed-keys {verdict.crossed_keys} "
        f"not-let-in {verdict.closed_unread} over-limit {verdict.over_limit} "
        f"cold-falls {verdict.slow_start_overloads} "
        f"after-drain {verdict.after_drain} failed {len(verdict.failed)} ready-p99 {verdict.ready_p99:.2f}"
    )


def shuffle_cases(seed: int, runs: int, names: list[str]) -> list[str]:
    """Put cases into a random order, each as often as any other, or once more."""
    random = Random(seed)
    cases = [names[index % len(names)] for index in range(runs)]
    random.shuffle(cases)
    return cases


def main(arguments: list[str]) -> int:
    """Run the cases and check their logs."""
    given: dict[str, Any] = docopt(__doc__ or "", arguments)
    names = given["--cases"].split(",") if given["--cases"] else list(CASES)
    if unknown := set(names) - set(CASES):
        raise SettingsError(f"--cases: {', '.join(sorted(unknown))}: there is {', '.join(CASES)}")
    with kept_or_temporary(given["--folder"]) as folder:
        cases = shuffle_cases(int(given["--seed"]), int(given["--runs"]), names)
        asyncio.run(run_cases(folder, int(given["--seed"]), cases))
        verdict = check_logs(folder)
    return conclude(verdict, summarize(verdict, len(cases)))
