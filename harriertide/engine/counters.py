"""Counters, as the log and the operators' pages show them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping


def counter_fields(parts: Mapping[str, Counter[str]]) -> dict[str, int]:
    """All counters as the fields of one log event.

    :param parts: the counters of each part of the process, by its name
    :returns: counts by "part.counter"
    """
    return {
        f"{part}.{counter}": count
        for part, counters in parts.items()
        for counter, count in sorted(counters.items())
    }
