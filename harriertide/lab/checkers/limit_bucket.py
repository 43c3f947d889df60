"""The token bucket of a plan's limit, as the rule words it: kept by checkers beside the brokers' own."""

from __future__ import annotations


class LimitBucket:
    """Starts full, and may be overdrawn: its level below 0 shows by how much the limit was passed.

    :param rate: units a second that it gains
    :param burst_units: the most that it holds
    """

    def __init__(self, rate: float, burst_units: float) -> None:
        self._rate = rate
        self._burst_units = burst_units
        self._level = burst_units
        self._updated_s = 0.0

    def take(self, at_s: float, units: float) -> float:
        """Take units at a time, and return the level after it."""
        gained_units = self._rate * (at_s - self._updated_s)
        self._level = min(self._burst_units, self._level + gained_units) - units
        self._updated_s = at_s
        return self._level
