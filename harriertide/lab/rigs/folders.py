"""Where an experiment keeps its configurations and logs."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path


@contextmanager
def kept_or_temporary(path: str | None) -> Iterator[Path]:
    """Give a folder to work in.

    :param path: of a folder that is kept, created where there is none; without one, a folder that is deleted
        behind the block
    """
    if path:
        folder = Path(path)
        folder.mkdir(parents=True, exist_ok=True)
        yield folder
        return
    with tempfile.TemporaryDirectory() as temporary:
        yield Path(temporary)
