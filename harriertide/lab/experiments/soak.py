"""A soak of a real broker under load, in short runs: signals in series, crowds, pauses and faults of nodes.

Usage: soak [--runs N] [--seed N] [--folder DIR]

Each run has a seed, from which its plan, its load and its clients follow; the plan is written down before the
run. Clients use open connections until the broker is killed, at the earliest time that the platform allows.
Prints a line for each run that breaks something, with its seed and the folder of its logs, and the counts of
all runs at the end. Exits with 1 where any of them is not 0.

Options:
  --runs N      runs, of this seed and those after it [default: 50]
  --seed N      of the first run [default: 1]
  --folder DIR  where plans, configurations and logs are kept; else a folder that is deleted
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from docopt import docopt

from harriertide.lab.checkers.soak_checker import SoakVerdict, check_soak
from harriertide.lab.experiments.soak_plan import draw_plan
from harriertide.lab.experiments.soak_run import carry_out
from harriertide.lab.rigs.folders import kept_or_temporary


def run_seed(folder: Path, seed: int) -> SoakVerdict:
    """Play one run, and check its logs in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    asyncio.run(carry_out(folder, draw_plan(seed)))
    return check_soak(folder)


def main(arguments: list[str]) -> int:
    """Play the runs and print what they broke."""
    given: dict[str, Any] = docopt(__doc__ or "", arguments)
    first_seed = int(given["--seed"])
    total = SoakVerdict()
    with kept_or_temporary(given["--folder"]) as folder:
        for seed in range(first_seed, first_seed + int(given["--runs"])):
            verdict = run_seed(folder / f"seed-{seed}", seed)
            if verdict.broken:
                print(f"seed {seed} in {folder / f'seed-{seed}'}: {verdict.summarize()}", flush=True)
                for what in verdict.failed:
                    print(f"failed: {what}", flush=True)
            total.add(verdict)
    print(total.summarize())
    return int(total.broken)
