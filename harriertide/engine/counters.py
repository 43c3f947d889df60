"""Counters of what is taken in, sent and answered."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping


def counter_fields(parts: Mapping[str, Counter[str]]) -> dict[str, int]:
    """All counts as the fields of one event, by part and name."""
    return {f"{part}.{name}": value for part, held in parts.items() for name, value in sorted(held.items())}
