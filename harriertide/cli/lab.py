"""Experiments.

Usage: harriertide lab EXPERIMENT [ARGUMENT ...]

Experiments:
  bench-library  what a request costs direct, through the library and through the daemon
  bench-maintenance  what rolling maintenance and consensus cost
  consensus-check  a search through the states of three members of the agreed log, and random runs of five
  drains         drains of a real broker under load
  limits         how much of a plan's limit brokers use that lose messages and die
  maintenance    orders of work on real brokers and nodes, with random faults between them
  operator-calls  how soon operators are answered under overload, on a part of a core
  parity         one workload through daemon and library; every decision compared
  processes      real brokers with faults between them, checked at the node by a plan's limit
  soak           a real broker under load, with signals in series, crowds, pauses and faults of nodes
  upgrades       upgrades in place of a real broker under load, with random faults
  second-copy    look for hedged requests on real sockets; see docs/measurements/second-copy.md
"""

from __future__ import annotations

from importlib import import_module
from typing import Any

from harriertide.decide.settings import SettingsError

MODULES = {  # by experiment, under harriertide/lab/
    "bench-library": "benchmarks.library_overhead",
    "bench-maintenance": "benchmarks.maintenance_cost",
    "consensus-check": "experiments.consensus_check",
    "drains": "experiments.drains",
    "limits": "experiments.limits",
    "maintenance": "experiments.maintenance",
    "operator-calls": "benchmarks.operator_calls",
    "parity": "experiments.parity",
    "processes": "experiments.processes",
    "second-copy": "experiments.duplicate_attempts",
    "soak": "experiments.soak",
    "upgrades": "experiments.upgrades",
}


def main(given: dict[str, Any]) -> int:
    """Run one experiment.

    :returns: its exit status.
    :raises SettingsError: where there is no such experiment, or it can't use its arguments.
    """
    name = given["EXPERIMENT"]
    if name not in MODULES:
        raise SettingsError(f"lab: {name}: no such experiment; there is {', '.join(MODULES)}")
    # imported by name: experiments start whole daemons, so their layer is above this one
    module = import_module(f"harriertide.lab.{MODULES[name]}")
    return int(module.main(given["ARGUMENT"]))
