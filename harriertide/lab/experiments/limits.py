"""How much of a plan's limit is used, and whether it is kept, by brokers that lose messages and die.

Usage: limits [--courses N] [--seconds S] [--lost PART] [--json]

Each course: a volume whose requests come through two or three of 3, 4, 5 and 8 brokers, five times its limit,
nine in ten through the busiest, which changes every 3 s; one broker dies for good and one starts anew.
Virtual time.

Options:
  --courses N  of each number of brokers [default: 4]
  --seconds S  that a course lasts after the deaths [default: 30]
  --lost PART  of all messages [default: 0.3]
  --json       one object in place of the table
"""

from __future__ import annotations

import json

from docopt import docopt

from harriertide.lab.simulation.shared_limit import SECOND_US, SharedLimitSimulation, allowed_units

CASES = ((3, [0, 1, 2]), (4, [1, 3]), (5, [0, 2, 4]), (8, [5, 6, 7]))  # brokers, and which of them share
RATE = 50.0  # requests a second: five times the limit
TURN_S = 3  # that one broker is the busiest


def run_case(
    brokers: int, sharing: list[int], seed: int, seconds: int = 30, loss_ratio: float = 0.3
) -> tuple[float, float]:
    """Let one broker die for good and one start anew, and go on.

    :returns: the part of the limit that was used after the deaths, and the lowest level of its token bucket
    """
    simulation = SharedLimitSimulation(brokers, sharing, seed, loss_ratio)
    simulation.run(TURN_S * SECOND_US, sharing[0], RATE)
    simulation.stop(next(broker for broker in range(brokers) if broker not in sharing[:2]))
    simulation.run(SECOND_US, sharing[0], RATE)
    simulation.start(sharing[1])
    sent_before = simulation.sent_units
    turns = seconds // TURN_S
    for turn in range(turns):
        simulation.run(TURN_S * SECOND_US, sharing[turn % 2], RATE)
    used = (simulation.sent_units - sent_before) / allowed_units(turns * TURN_S * SECOND_US)
    return used, simulation.lowest_level


def main(arguments: list[str]) -> int:
    """Run the cases and print what each used; 1 where the limit was passed."""
    given = docopt(__doc__ or "", arguments)
    rows = []
    for brokers, sharing in CASES:
        for seed in range(1, int(given["--courses"]) + 1):
            used, lowest = run_case(brokers, sharing, seed, int(given["--seconds"]), float(given["--lost"]))
            row = {"heads": brokers, "seed": seed, "used": round(used, 3), "lowest": round(lowest, 1)}
            rows.append(row)  # "heads": scripts read it
    least = min(row["lowest"] for row in rows)
    if given["--json"]:
        print(json.dumps(rows))
    else:
        for row in rows:
            print("  ".join(f"{name} {value}" for name, value in row.items()))
        used_parts = [row["used"] for row in rows]
        print(f"used {min(used_parts)} to {max(used_parts)}, store never under {least}")
    return int(least < 0)
