"""Real brokers, each a process of its own, with faults between them and a node that checks a plan's limit.

Usage: processes [--brokers N] [--seconds S] [--seed N] [--script FILE] [--folder DIR] [--lost PART] [--json]

Starts N brokers on loopback, every datagram between two of them through a relay, and a node that all of them
reach through relays too. Requests of one volume come through all brokers, nine in ten through the busiest,
which changes every 3 s, at five times the limit. A script of faults is generated from the seed, written to
DIR/script.json, and runs again with --script. What the node received and how clients were answered is in
DIR/box.log and DIR/clients.log; the checker reads these files and nothing else. Exits with 1 where a rule
was broken.

Options:
  --brokers N    from 2 to 8 [default: 4]
  --seconds S    of offered load [default: 24]
  --seed N       of faults and load [default: 1]
  --script FILE  faults as written before, in place of random ones
  --folder DIR   where configurations and logs are kept; else a folder that is deleted
  --lost PART    of datagrams [default: 0.3]
  --json         the judgement as one object
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from random import Random

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.lab.checkers.limit_checker import Verdict, check_logs
from harriertide.lab.rigs.broker_settings import BURST, LIMIT, MAX_REQUEST_UNITS
from harriertide.lab.rigs.fault_script import Fault, load_script
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.process_rig import ProcessRig

OVERLOAD_RATIO = 5  # of the limit that clients ask for

# kill (back after for_s); pause (SIGSTOP, for for_s); term (back after it has ended); cut (datagrams from a
# to b, for for_s); lose (this part of all datagrams from now on); box (a way to the box is silent for for_s,
# then reset)
VERBS = ("kill", "pause", "term", "cut", "lose", "box")


def draw(seed: int, brokers: int, seconds: float, lost: float) -> list[Fault]:
    """Faults every 1 to 2 s from 3 s on, one broker at most out of work by them at a time."""
    random = Random(seed)
    faults, at_s = [Fault(0.0, "lose", part=lost)], 3.0
    while at_s < seconds - 3.0:
        verb = random.choice(("kill", "pause", "term", "cut", "cut", "box", "lose"))
        a, b = random.sample(range(brokers), 2)
        for_s = round(random.uniform(0.3, 2.0), 2)
        part = round(random.uniform(0.0, 2 * lost), 2) if verb == "lose" else 0.0
        faults.append(Fault(round(at_s, 2), verb, a, b, for_s, part))
        busy_s = for_s if verb in ("kill", "pause", "term") else 0.0
        at_s += busy_s + random.uniform(1.0, 2.0)
    return faults


async def play(folder: Path, brokers: int, seconds: float, seed: int, faults: list[Fault]) -> None:
    """Play a script under load; what happened is in the folder's logs."""
    rig = ProcessRig(folder, brokers, seed)
    mean_units = (1 + MAX_REQUEST_UNITS) / 2
    try:
        await rig.start()
        rig.began_s = asyncio.get_running_loop().time()
        await asyncio.gather(rig.offer(seconds, OVERLOAD_RATIO * LIMIT / mean_units), rig.play(faults))
    finally:
        await rig.stop()


def _print_verdict(verdict: Verdict, faults: list[Fault]) -> None:
    verbs = Counter(fault.verb for fault in faults)
    answers = ", ".join(f"{status or 'gone'} {count}" for status, count in sorted(verdict.told.items()))
    print("faults   " + ", ".join(f"{verb} {count}" for verb, count in sorted(verbs.items())))
    print(f"requests {verdict.requests}: {answers}; came to the box {verdict.came}")
    print(f"limit    used {verdict.used:.3f}, store never under {verdict.lowest:.1f} of {BURST:g}")
    for broken in verdict.broken[:10]:
        print(f"broken   {broken}")
    print("rules    " + (f"{len(verdict.broken)} broken" if verdict.broken else "kept"))


def main(arguments: list[str]) -> int:
    """Play one run and print the verdict."""
    given = docopt(__doc__ or "", arguments)
    brokers, seconds, seed = int(given["--brokers"]), float(given["--seconds"]), int(given["--seed"])
    if not 2 <= brokers <= 8 or not 6 <= seconds <= 600:
        raise SettingsError("--brokers from 2 to 8, --seconds from 6 to 600")
    random_faults = draw(seed, brokers, seconds, float(given["--lost"]))
    faults = load_script(given["--script"], brokers, VERBS) if given["--script"] else random_faults
    with kept_or_temporary(given["--folder"]) as folder:
        rows = [asdict(fault) for fault in faults]
        (folder / "script.json").write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
        asyncio.run(play(folder, brokers, seconds, seed, faults))
        verdict = check_logs(folder, seconds)
    if given["--json"]:
        print(json.dumps({**asdict(verdict), "faults": len(faults)}))
    else:
        _print_verdict(verdict, faults)
    return int(bool(verdict.broken))
