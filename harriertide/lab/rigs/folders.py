"""Where an experiment keeps its configurations and logs."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path


@contextmanager
def kept_or_temporary(named: str | None) -> Iterator[Path]:
    """The folder of that name, made where there is none; without a name one that is deleted behind it."""
    if named:
        folder = Path(named)
        folder.mkdir(parents=True, exist_ok=True)
        yield folder
        return
    with tempfile.TemporaryDirectory() as made:
        yield Path(made)
