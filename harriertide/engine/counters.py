"""Counters in the form that the log and the admin pages show."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping


def counter_fields(parts: Mapping[str, Counter[str]]) -> dict[str, int]:
    """Return all counters as the fields of one log event.

    :param parts: the counters of each part of the process, by the name of the part
    :returns: the counts by "part.counter"
    """
    return {
        f"{part}.{counter}": count
        for part, counters in parts.items()
        for counter, count in sorted(counters.items())
    }
