"""Units of the figures that decisions are made of."""

from __future__ import annotations

SECOND_US = 1_000_000  # microseconds of a second
MILLISECOND_US = 1_000
