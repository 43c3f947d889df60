"""A token bucket: units that accrue at a rate up to a capacity, and are taken as requests are admitted."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.decide.units import SECOND_US


@dataclass(slots=True, eq=False)
class TokenBucket:
    """Units that may be taken now. A request may overdraw them, so that low rates serve large requests."""

    units: float
    refilled_at_us: int

    def refill(self, now_us: int, rate: float, capacity: float) -> float:
        """Add the units that have accrued since the last call.

        :param rate: units a second
        :param capacity: the most units that the bucket holds
        :returns: the units in the bucket now
        """
        accrued = rate * (now_us - self.refilled_at_us) / SECOND_US
        self.units = min(capacity, self.units + accrued)
        self.refilled_at_us = now_us
        return self.units
