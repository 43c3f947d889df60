"""A broker process with a disk and a wall clock that can be made to fail, for the rig.

Usage: child FILE FAULTS

FILE is the operator's file. FAULTS is a JSON file of the rig, read anew at each sync: sync_ms (how much
longer a sync takes), fail (it fails), full (nothing can be written), wall_s (how far the wall clock is off).
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


class InjectedFaults:
    """The faults that the rig has written to its file."""

    def __init__(self, path: str) -> None:
        self._path = path

    def read(self) -> dict[str, Any]:
        """The faults of this moment. A file that is missing, or half written, is no fault."""
        try:
            with open(self._path, encoding="utf-8") as file:
                faults: dict[str, Any] = json.load(file)
            return faults
        except (OSError, ValueError):
            return {}

    def sync(self, descriptor: int) -> None:
        """Sync a file, in place of the system's call.

        :raises OSError: where a fault says so
        """
        faults = self.read()
        if faults.get("full"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if faults.get("fail"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        os.fdatasync(descriptor)
        time.sleep(faults.get("sync_ms", 0) / 1000)  # on the store's own thread

    def wall_s(self) -> float:
        """The wall clock, as far off as the faults say."""
        return time.time() + float(self.read().get("wall_s", 0))


def main(operator_file: str, faults_file: str) -> int:
    """Serve as the daemon does."""
    faults = InjectedFaults(faults_file)
    environment = Environment(disk=partial(Store.open, sync=faults.sync))
    return run({}, operator_file, maintenance_overrides={"environment": environment, "wall_s": faults.wall_s})


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
