"""How the descriptors that the process may hold are shared out."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from typing import Any

OWN = 28  # standard streams, the loop's own, listeners, peers, two watches on discovery, the catalogue, logs
SPARE_PART = 0.1  # for connections that were accepted and are not yet shed, or are closed and not yet gone
BOXES_PART = 0.35  # of what is left, for connections to boxes


@dataclass(frozen=True, slots=True)
class Limits:
    """Connections at most, by side."""

    clients: int
    boxes: int

    @classmethod
    def share(cls, sockets: int) -> Limits:
        """Shares of so many descriptors."""
        left = max(16, int((sockets - OWN) * (1 - SPARE_PART)))
        boxes = int(left * BOXES_PART)
        return cls(clients=left - boxes, boxes=boxes)


def read_limits(raw: dict[str, Any]) -> Limits:
    """As the configuration states them, but never more than the system grants."""
    granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    stated = int(raw.get("sockets") or 1024)
    if stated < 64:
        raise ValueError("limits.sockets: must be at least 64")
    return Limits.share(min(stated, granted) if granted > 0 else stated)
