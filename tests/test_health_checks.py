"""Probes of ejected nodes, on real sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.platform_scripts import PUSHED_SETTINGS, REJECTED, WATCH_OPENED
from tests.test_net import OK, play

HEALTH_CHECK_SETTINGS: dict[str, Any] = {
    **PUSHED_SETTINGS,
    "limits": {**PUSHED_SETTINGS["limits"], "probes": True},
}


CONNECTION_LOST = "b1 expect GET /api\n        b1 close\n"


UNRESPONSIVE_NODE = f"""{WATCH_OPENED}
        c send GET /api @0
        {CONNECTION_LOST * 3}
        c expect 503
        {REJECTED}
        wait 0.3
        {REJECTED}"""


HEALTH_CHECK_SCENARIOS = {
    "an ejected node is health-checked, and gets no request until a check succeeds": f"""
        {UNRESPONSIVE_NODE}
        b1 expect GET /health/live X-Call-Id=- Content-Length=-
        b1 send 200 body=live
        wait 0.05
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        d expect probes=1 probe_ok=1""",
    "a node that answers its health check with nonsense stays ejected": rf"""
        {UNRESPONSIVE_NODE}
        b1 expect GET /health/live
        b1 send bytes '\x00\xff nonsense\r\n\r\n'
        wait 0.05
        c send GET /api @0
        c expect 503
        d expect probes=1 probe_reset=1""",
    "a node that fails its health check, and then does not answer, is checked no more often": f"""
        {UNRESPONSIVE_NODE}
        b1 expect GET /health/live
        b1 send 503
        c send GET /api @0
        c expect 503
        b1 expect nothing
        wait 0.3
        c send GET /api @0
        c expect 503
        b1 expect GET /health/live
        wait 0.35
        d expect probes=2 probe_error=1 probe_timeout=1""",
}


@pytest.mark.parametrize("script", HEALTH_CHECK_SCENARIOS.values(), ids=HEALTH_CHECK_SCENARIOS.keys())
def test_health_checks(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script.lstrip(), objects=False, folder=tmp_path, wire=HEALTH_CHECK_SETTINGS))


def test_without_health_checks_a_request_is_the_trial(tmp_path: Path) -> None:
    """If the settings allow no probes, a client's request is the trial that reinstates an ejected node."""
    script = f"""{WATCH_OPENED}
        c send GET /api @0
        {CONNECTION_LOST * 3}
        c expect 503
        wait 0.3
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        d expect probes=0"""
    asyncio.run(play(script, objects=False, folder=tmp_path, wire=PUSHED_SETTINGS))
