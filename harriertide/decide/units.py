"""Conversion factors for times in microseconds."""

from __future__ import annotations

SECOND_US = 1_000_000
MILLISECOND_US = 1_000
