"""The settings of the broker processes that rigs start, and the rule of their plan with a limit."""

from __future__ import annotations

from typing import Any

LIMIT = 20.0  # units a second of the plan
BURST = 24.0  # units
MAX_REQUEST_UNITS = 3
SLACK_UNITS = 6.0  # that a limit may be passed by: one of the largest requests
LATE_S = 0.15  # what the limit allows in so long is slack too, on sockets
LATENCY_OBJECTIVE_MS = 300
DEADLINE_MS = 900
SETTINGS: dict[str, Any] = {
    "membershipMode": "push",
    "roundUs": 1000,
    "classes": [
        {
            "name": "read", "sloUs": 1000 * LATENCY_OBJECTIVE_MS, "deadlineUs": 1000 * DEADLINE_MS,
            "worth": 2.0, "lateWorth": 0.2, "effect": "idempotent",
        }
    ],
    "plans": [
        {
            "name": "capped", "guaranteed": 0.0, "weight": 1.0, "valueFactor": 1.0, "ceilingRate": LIMIT,
            "mostAtOnce": BURST,
        }
    ],
    "domain": {
        "nShards": 1, "meanUnits": 2.0, "maxUnits": SLACK_UNITS, "withinShare": 0.3, "beyondShare": 0.1,
        "youngLimit": 6.0,
    },
    "safety": {"coldFrom": 0.2, "coldUs": 1_000_000, "fallUs": 1_000_000, "fallMultiple": 2.5},
    "limits": {
        "peers": True, "retryAfter": True, "maxRetryAfterUs": 500_000, "tryLimit": 4, "cancel": True,
    },
}  # fmt: skip
