"""What rolling work costs, how long it takes, and what agreement costs; each against something of its run.

Usage: bench-maintenance [options]

Prints a JSON object. Part by part: writes served in rolling work over all boxes and brokers, against none,
against one at a time with fixed waits, and against half of the boxes at once, in turn; one agreement of three
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
from pathlib import Path
from statistics import median
from typing import Any

from docopt import docopt

from harriertide.consensus import events as ev
from harriertide.consensus.messages import Entry
from harriertide.consensus.store import Store
from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import until
from harriertide.lab.experiments.maintenance import Run
from harriertide.lab.rigs.maintenance_rig import Rig
from harriertide.lab.simulation import virtual_time
from harriertide.lab.simulation.maintenance_fleet import Fleet

BOXES, BROKERS, TAKES_S = 8, 5, 0.5
FIXED_S = 3.0  # that an operator waits for a drain by hand


def share(values: list[float], part: float) -> float:
    """A quantile."""
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(part * len(rows)))]


async def _rig(folder: Path, seed: int, labels: dict[str, str]) -> Rig:
    rig = Rig(folder, BROKERS, BOXES, seed, labels=labels, service_s=0.02)
    await rig.start()
    while True:
        _, answer = await rig.ask(0, "GET", "/maintenance")
        if answer.get("leader") and answer.get("applied", 0) >= 3:
            return rig
        await until(asyncio.get_running_loop().time() + 0.1)


async def rolling(seed: int, how: str, rate: float) -> dict[str, float]:
    """One run under load: the part of its writes that was served, and how long the work took."""
    labels = {f"x{n + 1}": f'group = "g{n % 4}"' for n in range(BOXES)}
    with tempfile.TemporaryDirectory() as made:
        rig = await _rig(Path(made), seed, labels)
        run = Run(rig, seed)
        loop = asyncio.get_running_loop()
        load = loop.create_task(run.load(rate))
        await until(loop.time() + 1.0)
        begun = time.monotonic()
        boxes = [box.name for box in rig.nodes]
        if how == "none":
            await until(loop.time() + 15.0)
        elif how.startswith("agreed"):
            await run.request("boxes", boxes, at_once=2, takes_s=TAKES_S)
            if how == "agreed":
                await run.request("brokers", rig.names, takes_s=TAKES_S)
            await run.operate(begun + 90.0)
        else:
            step = 1 if how == "one at a time" else BOXES // 2
            for place in range(0, BOXES, step):
                for name in boxes[place : place + step]:
                    await _by_hand(rig, name, "draining")
                await until(loop.time() + (FIXED_S if how == "one at a time" else 0.0) + TAKES_S)
                for name in boxes[place : place + step]:
                    await _by_hand(rig, name, "up")
        took = time.monotonic() - begun
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await rig.close()
        rows = [json.loads(line) for line in (Path(made) / "clients.log").read_text().splitlines()]
        told = Counter(row["status"] for row in rows if row["event"] == "write")
    return {
        "served": told[200] / max(1, sum(told.values())),
        "took_s": took,
        "writes": float(sum(told.values())),
    }


async def _by_hand(rig: Rig, name: str, state: str) -> None:
    """Plan and apply at every broker, as an operator does it today."""
    for place in range(rig.number):
        _, answer = await rig.ask(place, "GET", "/state")
        if "state" in answer:
            answer["state"]["boxes"][name]["state"] = state
            await rig.ask(place, "POST", "/apply", {"from": answer["digest"], "state": answer["state"]})


def work(rounds: int, rate: float) -> dict[str, Any]:
    """In turn: none, agreed (boxes and brokers; boxes), boxes one at a time by hand, half of them at once."""
    hows = ("none", "agreed", "agreed, boxes", "one at a time", "half at once")
    rows: dict[str, list[dict[str, float]]] = {how: [] for how in hows}
    for number in range(rounds):
        for how in hows:
            rows[how].append(asyncio.run(rolling(number + 1, how, rate)))
    found: dict[str, Any] = {}
    for how in hows:
        less = [a["served"] - b["served"] for a, b in zip(rows["none"], rows[how], strict=True)]
        found[how] = {
            "served": round(median(row["served"] for row in rows[how]), 4),
            "less_than_none": round(median(less), 4),
            "took_s": round(median(row["took_s"] for row in rows[how]), 1),
        }
    found["least_possible_s"] = round(max(BOXES / 2 * TAKES_S, BROKERS * TAKES_S), 1)
    return found


async def _agree(calls: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        rig = Rig(folder / "rig", 3, 1, 1, direct=True)
        await rig.start()
        place = -1
        while place < 0:
            for each in range(3):
                _, answer = await rig.ask(each, "GET", "/maintenance")
                if answer.get("leader") == rig.names[each] and answer.get("applied", 0) >= 3:
                    place = each
        store = Store.open(folder / "alone")
        agreed, alone = [], []
        for number in range(calls):
            begun = time.monotonic()
            status, _ = await rig.ask(place, "POST", f"/maintenance/{('hold', 'resume')[number % 2]}")
            assert status == 200
            agreed.append(time.monotonic() - begun)
            begun = time.monotonic()
            await rig.ask(place, "GET", "/state")  # the same call with nothing to agree on
            empty = time.monotonic() - begun
            agreed[-1] -= empty
            entry = Entry(number + 1, 1, "command", b"x" * 60, "c", number)
            begun = time.monotonic()
            store.write([ev.Persist(number + 1, "c", 1, None, 0, (entry,))])
            alone.append(time.monotonic() - begun)
        store.close()
        await rig.close()
    return {
        "agreement_ms": {
            "p50": round(1000 * share(agreed, 0.5), 2),
            "p99": round(1000 * share(agreed, 0.99), 2),
        },
        "synced_write_ms": {
            "p50": round(1000 * share(alone, 0.5), 2),
            "p99": round(1000 * share(alone, 0.99), 2),
        },
        "times": round(share(agreed, 0.5) / share(alone, 0.5), 2),
    }


async def _kills(kills: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        rig = Rig(folder, 5, 1, 1)
        await rig.start()
        gaps: list[float] = []
        while len(gaps) < kills:
            led = -1
            while led < 0:
                for place in range(5):
                    _, answer = await rig.ask(place, "GET", "/maintenance", within_s=2.0)
                    if answer.get("leader") == rig.names[place] and answer.get("leased"):
                        led = place
            begun = time.monotonic()
            await rig.kill(led)
            after = 0.0
            while not after:
                for name in rig.names:
                    rows = (folder / f"{name}.events").read_text().splitlines()
                    said = [json.loads(row) for row in rows if '"leads"' in row]
                    after = max([after, *(row["at"] for row in said if row["at"] > begun)])
                await until(asyncio.get_running_loop().time() + 0.02)
            gaps.append(after - begun)
            await rig.start_again(led)
            await until(asyncio.get_running_loop().time() + 1.0)
        await rig.close()
    return {
        "kills": kills, "p50_s": round(share(gaps, 0.5), 2), "p99_s": round(share(gaps, 0.99), 2),
        "longest_s": round(max(gaps), 2),
    }  # fmt: skip


async def _fleet(brokers: int) -> dict[str, Any]:
    """Idle for 10 s of virtual time, all with their leases."""
    fleet = Fleet(1, brokers, 5, 4, lease_ms=3_000, load_s=1e6)
    loop = asyncio.get_running_loop()
    await asyncio.gather(*(fleet.start(name) for name in fleet.names))
    await until(loop.time() + 6.0)
    before = {name: Counter(carrier.counts) for name, carrier in fleet.carriers.items()}
    cpu, span = time.process_time(), 10.0
    await until(loop.time() + span)
    cpu = time.process_time() - cpu
    rates = {
        name: (
            (carrier.counts["frames_out"] - before[name]["frames_out"]) / span,
            (carrier.counts["bytes_out"] - before[name]["bytes_out"]) / span,
        )
        for name, carrier in fleet.carriers.items()
    }
    led = next(name for name, service in fleet.services.items() if service.member.is_leader)
    found = {
        "leader": {"messages_s": round(rates[led][0]), "bytes_s": round(rates[led][1])},
        "median": {
            "messages_s": round(median(r[0] for r in rates.values())),
            "bytes_s": round(median(r[1] for r in rates.values())),
        },
        "cpu_ms_a_second_each": round(1000 * cpu / span / brokers, 2),
    }
    await fleet.kill_all()
    return found


def main(arguments: list[str]) -> int:
    """Measure, and print."""
    given = docopt(__doc__ or "", arguments)
    try:
        rounds, calls, kills, rate = (
            int(given[f"--{name}"]) for name in ("rounds", "calls", "kills", "rate")
        )
    except ValueError as off:
        raise SettingsError(f"bench-maintenance: {off}") from None
    only = given["--only"]
    found: dict[str, Any] = {"cores": os.cpu_count()}
    if only in ("all", "agree"):
        found["agree"] = asyncio.run(_agree(calls))
    if only in ("all", "kill"):
        found["without_a_leader"] = asyncio.run(_kills(kills))
    if only in ("all", "fleet"):
        found["fleet"] = {str(n): virtual_time.run(_fleet(n)) for n in (5, 50, 200)}
    if only in ("all", "work"):
        found["work"] = work(rounds, float(rate))
    print(json.dumps(found, indent=1))
    return 0
