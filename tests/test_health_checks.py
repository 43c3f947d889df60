"""Probes of ejected nodes, on real sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.platform_scripts import PUSHED_SETTINGS, REJECTED, WATCH_OPENED
from tests.test_net import OK, play

PROBE_SETTINGS: dict[str, Any] = {
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


PROBE_SCENARIOS = {
    "an ejected node is probed, and gets no request until a probe succeeds": f"""
        {UNRESPONSIVE_NODE}
        b1 expect GET /health/live X-Call-Id=- Content-Length=-
        b1 send 200 body=live
        wait 0.05
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        d expect probes=1 probe_ok=1""",
    "a node that answers its probe with invalid bytes stays ejected": rf"""
        {UNRESPONSIVE_NODE}
        b1 expect GET /health/live
        b1 send bytes '\x00\xff nonsense\r\n\r\n'
        wait 0.05
        c send GET /api @0
        c expect 503
        d expect probes=1 probe_reset=1""",
    "a node that fails its probe, and then does not answer, is probed no more often": f"""
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


@pytest.mark.parametrize("script", PROBE_SCENARIOS.values(), ids=PROBE_SCENARIOS.keys())
def test_probes_of_ejected_nodes(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script.lstrip(), objects=False, folder=tmp_path, wire=PROBE_SETTINGS))


def test_without_probes_a_request_is_the_trial(tmp_path: Path) -> None:
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
