"""Logs events that can repeat thousands of times a second: once an interval for each kind, with a count."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from harriertide.engine.log import log

REPEAT_INTERVAL_S = 1.0  # between two lines of the same kind


class RepeatedLog:
    """Writes an event of each kind at most once every REPEAT_INTERVAL_S.

    A line that follows others of its kind that were not written has their number in the field `repeats`.
    """

    def __init__(self) -> None:
        self._written_at_s: dict[str, float] = {}
        self._left_out: Counter[str] = Counter()

    def __call__(self, kind: str, event: str, **fields: Any) -> None:
        """Write an event, unless one of the same kind was written within the interval.

        :param kind: one of a small number of kinds, as each is remembered
        :param fields: string and number values
        """
        now_s = time.monotonic()
        if now_s < self._written_at_s.get(kind, 0.0) + REPEAT_INTERVAL_S:
            self._left_out[kind] += 1
            return
        self._written_at_s[kind] = now_s
        if repeats := self._left_out.pop(kind, 0):
            fields["repeats"] = repeats
        log(event, **fields)
