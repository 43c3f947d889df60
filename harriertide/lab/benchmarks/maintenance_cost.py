"""What rolling work costs, how long it takes, and what agreement costs; each against something of its run.

Usage: bench-maintenance [options]

Prints a JSON object. Part by part: writes served in rolling work over all nodes and brokers, against none,
against one at a time with fixed waits, and against half of the nodes at once, in turn; one agreement of three
brokers against one synced write of the same disk; the time without a leader after a kill; messages, bytes and
CPU of brokers at 5, 50 and 200.

Options:
  --rounds N    pairs of each part [default: 3]
  --calls N     agreements that are timed [default: 300]
  --kills N     of leaders [default: 12]
  --rate R      writes a second of the clients [default: 60]
  --only PART   work, agree, kill or fleet; else all [default: all]
"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any

from docopt import docopt

from harriertide.consensus import events as ev
from harriertide.consensus.messages import Entry
from harriertide.consensus.store import Store
from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import sleep_until
from harriertide.lab.benchmarks.rolling_work import BROKER_COUNT, MIN_APPLIED_ENTRIES, compare_methods
from harriertide.lab.rigs.maintenance_rig import Rig
from harriertide.lab.simulation import virtual_time
from harriertide.lab.simulation.maintenance_fleet import Fleet

AGREEMENT_BROKER_COUNT = 3
FLEET_SIZES = (5, 50, 200)  # brokers
ELECTION_POLL_S = 0.02
ASK_TIMEOUT_S = 8.0  # of a call to a broker that is expected to live
ASK_TIMEOUT_AFTER_KILL_S = 2.0
RECOVERY_S = 1.0  # between two kills
ENTRY_BYTES = b"x" * 60  # of an entry that is written without agreement
FLEET_SETTLE_S = 6.0
FLEET_SPAN_S = 10.0  # of virtual time that is measured
NO_LOAD_S = 1e6  # mean time between the fleet's loads: there are none


def quantile(values: list[float], part: float) -> float:
    """The smallest value that this part of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


# --- agreement ------------------------------------------------------------------------------------


async def _find_leader(rig: Rig, is_ready: Callable[[dict[str, Any]], bool], within_s: float) -> int:
    """Ask brokers until one says that it leads and is ready; its index."""
    while True:
        leader_index = -1
        for index, name in enumerate(rig.names):
            _, status = await rig.ask(index, "GET", "/maintenance", within_s=within_s)
            if status.get("leader") == name and is_ready(status):
                leader_index = index
        if leader_index >= 0:
            return leader_index


async def measure_agreement(calls: int) -> dict[str, Any]:
    """Time agreements of three brokers, and synced writes of the same disk in between."""
    with tempfile.TemporaryDirectory() as directory:
        folder = Path(directory)
        rig = Rig(folder / "rig", AGREEMENT_BROKER_COUNT, 1, 1, direct=True)
        await rig.start()
        leader_index = await _find_leader(
            rig, lambda status: status.get("applied", 0) >= MIN_APPLIED_ENTRIES, ASK_TIMEOUT_S
        )
        store = Store.open(folder / "alone")
        agreement_s: list[float] = []
        write_s: list[float] = []
        for number in range(calls):
            agreement_s.append(await _time_agreement(rig, leader_index, ("hold", "resume")[number % 2]))
            entry = Entry(number + 1, 1, "command", ENTRY_BYTES, "c", number)
            begun_s = time.monotonic()
            store.write([ev.Persist(number + 1, "c", 1, None, 0, (entry,))])
            write_s.append(time.monotonic() - begun_s)
        store.close()
        await rig.close()
    return {
        "agreement_ms": _milliseconds(agreement_s),
        "synced_write_ms": _milliseconds(write_s),
        "times": round(quantile(agreement_s, 0.5) / quantile(write_s, 0.5), 2),
    }


async def _time_agreement(rig: Rig, leader_index: int, verb: str) -> float:
    """Seconds that a call with an agreement takes longer than one that has nothing to agree on."""
    begun_s = time.monotonic()
    status, _ = await rig.ask(leader_index, "POST", f"/maintenance/{verb}")
    assert status == 200
    with_agreement_s = time.monotonic() - begun_s
    begun_s = time.monotonic()
    await rig.ask(leader_index, "GET", "/state")
    return with_agreement_s - (time.monotonic() - begun_s)


def _milliseconds(seconds: list[float]) -> dict[str, float]:
    return {f"p{part}": round(1000 * quantile(seconds, part / 100), 2) for part in (50, 99)}


# --- leaders that are killed ----------------------------------------------------------------------


async def measure_leader_kills(kills: int) -> dict[str, Any]:
    """Kill leaders: how long there is none."""
    with tempfile.TemporaryDirectory() as directory:
        folder = Path(directory)
        rig = Rig(folder, BROKER_COUNT, 1, 1)
        await rig.start()
        gaps_s: list[float] = []
        while len(gaps_s) < kills:
            leader_index = await _find_leader(
                rig, lambda status: bool(status.get("leased")), ASK_TIMEOUT_AFTER_KILL_S
            )
            begun_s = time.monotonic()
            await rig.kill(leader_index)
            elected_at_s = await _wait_for_election(folder, rig.names, begun_s)
            gaps_s.append(elected_at_s - begun_s)
            await rig.start_again(leader_index)
            await sleep_until(asyncio.get_running_loop().time() + RECOVERY_S)
        await rig.close()
    return {
        "kills": kills,
        "p50_s": round(quantile(gaps_s, 0.5), 2),
        "p99_s": round(quantile(gaps_s, 0.99), 2),
        "longest_s": round(max(gaps_s), 2),
    }


async def _wait_for_election(folder: Path, broker_names: list[str], after_s: float) -> float:
    """Wait until a broker's log has an election after this time; the time of the last one there."""
    while True:
        elected_at_s: list[float] = []
        for name in broker_names:
            rows = (folder / f"{name}.events").read_text().splitlines()
            times_s = [json.loads(row)["at"] for row in rows if '"leads"' in row]
            elected_at_s += [at_s for at_s in times_s if at_s > after_s]
        await sleep_until(asyncio.get_running_loop().time() + ELECTION_POLL_S)
        if elected_at_s:
            return max(elected_at_s)


# --- messages of a fleet --------------------------------------------------------------------------


async def measure_fleet(broker_count: int) -> dict[str, Any]:
    """Messages, bytes and CPU of an idle fleet in virtual time, all brokers with their leases."""
    fleet = Fleet(1, broker_count, 5, 4, lease_ms=3_000, load_s=NO_LOAD_S)
    loop = asyncio.get_running_loop()
    await asyncio.gather(*(fleet.start(name) for name in fleet.names))
    await sleep_until(loop.time() + FLEET_SETTLE_S)
    before = {name: Counter(carrier.counts) for name, carrier in fleet.carriers.items()}
    cpu_before_s = time.process_time()
    await sleep_until(loop.time() + FLEET_SPAN_S)
    cpu_s = time.process_time() - cpu_before_s

    def rate_per_s(name: str, counter: str) -> float:
        return (fleet.carriers[name].counts[counter] - before[name][counter]) / FLEET_SPAN_S

    leader = next(name for name, service in fleet.services.items() if service.member.is_leader)
    figures = {
        "leader": {
            "messages_s": round(rate_per_s(leader, "frames_out")),
            "bytes_s": round(rate_per_s(leader, "bytes_out")),
        },
        "median": {
            "messages_s": round(median(rate_per_s(name, "frames_out") for name in fleet.carriers)),
            "bytes_s": round(median(rate_per_s(name, "bytes_out") for name in fleet.carriers)),
        },
        "cpu_ms_a_second_each": round(1000 * cpu_s / FLEET_SPAN_S / broker_count, 2),
    }
    await fleet.kill_all()
    return figures


def main(arguments: list[str]) -> int:
    """Measure, and print."""
    given = docopt(__doc__ or "", arguments)
    try:
        rounds, calls, kills, rate = (
            int(given[f"--{name}"]) for name in ("rounds", "calls", "kills", "rate")
        )
    except ValueError as error:
        raise SettingsError(f"bench-maintenance: {error}") from None
    only = given["--only"]
    figures: dict[str, Any] = {"cores": os.cpu_count()}
    if only in ("all", "agree"):
        figures["agree"] = asyncio.run(measure_agreement(calls))
    if only in ("all", "kill"):
        figures["without_a_leader"] = asyncio.run(measure_leader_kills(kills))
    if only in ("all", "fleet"):
        figures["fleet"] = {str(size): virtual_time.run(measure_fleet(size)) for size in FLEET_SIZES}
    if only in ("all", "work"):
        figures["work"] = compare_methods(rounds, float(rate))
    print(json.dumps(figures, indent=1))
    return 0
