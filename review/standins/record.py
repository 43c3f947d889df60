"""The record of a run: one line for each thing that was sent, answered or run."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any


class Record:
    """Writes `record.txt`; times are seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._start

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {rest}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
