"""Parts of scenario scripts, and settings, that several tests of the platform's protocol share."""

from __future__ import annotations

from typing import Any

from tests.test_net import WIRE

PUSHED_SETTINGS: dict[str, Any] = {**WIRE, "membershipMode": "push"}
REJECTED = """c send GET /api @0
        c expect 503"""
DRAINED_ON_WATCH = f"""s send 200 Transfer-Encoding=chunked
        s send list b1=draining
        wait 0.05
        {REJECTED}"""
WATCH_OPENED = """s expect GET /registry/instances?watch=1&after=7
        s send 200 Transfer-Encoding=chunked
        s send raw ''
"""
