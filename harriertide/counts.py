"""Counters of what is taken in, sent and answered."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping


def line(parts: Mapping[str, Counter[str]]) -> str:
    """All counts as one line, by part and name."""
    rows = (f"{part}.{name}={value}" for part, held in parts.items() for name, value in sorted(held.items()))
    return " ".join(["counters", *rows])
