"""Experiments.

Usage: harriertide lab EXPERIMENT [ARGUMENT ...]

Experiments:
  bench-library  what a request costs direct, through the library and through the daemon
  bench-maintenance  what rolling work and agreement cost
  consensus-check  a search through the states of three members of the agreed log, and drawn courses of five
  drains         drains of a real broker under load
  limits         how much of a plan's limit heads use that lose messages and die
  maintenance    orders of work on real brokers and boxes, with drawn faults between them
  operator-calls  how soon operators are answered under overload, on a part of a core
  parity         one workload through daemon and library; every decision compared
  processes      real brokers with faults between them, judged at the box by a plan's limit
  upgrades       upgrades in place of a real broker under load, with drawn faults
  second-copy    look for second copies on real sockets; see docs/measurements/second-copy.md
"""

from __future__ import annotations

from importlib import import_module
from typing import Any

from harriertide.decide.settings import SettingsError

EXPERIMENTS = {
    "bench-library": "benchmarks.library_overhead",
    "bench-maintenance": "benchmarks.maintenance_cost",
    "consensus-check": "check",
    "drains": "experiments.drains",
    "limits": "experiments.limits",
    "maintenance": "experiments.maintenance",
    "operator-calls": "benchmarks.operator_calls",
    "parity": "experiments.parity",
    "processes": "experiments.processes",
    "second-copy": "experiments.duplicate_attempts",
    "upgrades": "experiments.upgrades",
}


def main(given: dict[str, Any]) -> int:
    """Run one."""
    if given["EXPERIMENT"] not in EXPERIMENTS:
        raise SettingsError(
            f"lab: {given['EXPERIMENT']}: no such experiment; there is {', '.join(EXPERIMENTS)}"
        )
    # by name: experiments start whole daemons, so their floor is above this one
    module = import_module(f"harriertide.lab.{EXPERIMENTS[given['EXPERIMENT']]}")
    return int(module.main(given["ARGUMENT"]))
