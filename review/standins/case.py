"""How a case runs: its temporary folder, its record, its end, and its exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.record import Record

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 110.0

# Plays a case in a folder and returns what broke the rule, one line each.
Play = Callable[[Path, Record, bool], Awaitable[list[str]]]


def run_case(case_file: str, play: Play) -> None:
    """Play a case and exit: 0 where the rule held, 1 where it was broken, 2 where the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # A runner that ends the case ends its processes too: SystemExit passes the `finally` of the case.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(Path(case_file).resolve().parent / "record.txt")
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            breaks = asyncio.run(_play_in_time(play, Path(folder), record, has_trouble))
        for line in breaks:
            record.write("rule-broken", what=line)
            print(f"broken: {line}")
        status = RULE_BROKEN if breaks else RULE_HELD
        print(f"the rule {'was broken' if breaks else 'held'}; TROUBLE={int(has_trouble)}")
    except Exception:
        record.write("could-not-run")
        traceback.print_exc()
    record.write("end", status=status)
    record.close()
    sys.exit(status)


async def _play_in_time(play: Play, folder: Path, record: Record, has_trouble: bool) -> list[str]:
    async with asyncio.timeout(LONGEST_RUN_S):
        return await play(folder, record, has_trouble)
