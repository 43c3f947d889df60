"""Reads logs of one JSON object a line."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

Row = dict[str, Any]


def read_rows(path: Path) -> Iterator[Row]:
    """Read a log whose writer ended in order."""
    for line in path.read_text(encoding="utf-8").splitlines():
        yield json.loads(line)


def read_rows_of_killed(path: Path) -> Iterator[Row]:
    """Read a log that may be missing, and where killed processes may have left unfinished lines."""
    if path.exists():
        for line in path.read_text(encoding="utf-8").splitlines():
            with suppress(ValueError):
                yield json.loads(line)
