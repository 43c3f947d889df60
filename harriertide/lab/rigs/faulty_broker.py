"""A broker process with a disk and a wall clock that can be made to fail, for the rig.

Usage: child FILE FAULTS

FILE is the operator's file. FAULTS is a file of the rig's, read anew at each sync: sync_ms (how much longer
a sync takes), fail (it fails), full (nothing can be written), wall_s (how far the wall's clock is off).
"""

from __future__ import annotations

import errno
import json
import os
import sys
import time
from functools import partial
from typing import Any

from harriertide.cli.daemon import run
from harriertide.consensus.store import Store
from harriertide.control.environment import Environment


class Faults:
    """What the rig wants to go wrong by now."""

    def __init__(self, path: str) -> None:
        self._path = path

    def now(self) -> dict[str, Any]:
        """As the file says."""
        try:
            with open(self._path, encoding="utf-8") as file:
                found: dict[str, Any] = json.load(file)
            return found
        except (OSError, ValueError):
            return {}

    def sync(self, descriptor: int) -> None:
        """In place of the system's."""
        faults = self.now()
        if faults.get("full"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if faults.get("fail"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        os.fdatasync(descriptor)
        time.sleep(faults.get("sync_ms", 0) / 1000)  # on the store's own thread

    def wall_s(self) -> float:
        """A wall clock that jumps."""
        return time.time() + float(self.now().get("wall_s", 0))


def main(file: str, faults: str) -> int:
    """Serve as the daemon does."""
    made = Faults(faults)
    environment = Environment(disk=partial(Store.open, sync=made.sync))
    return run({}, file, maintenance_overrides={"environment": environment, "wall_s": made.wall_s})


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
