"""Writes with an idempotency key, on real sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.platform_scripts import PUSHED_SETTINGS, WATCH_OPENED
from tests.test_net import OK, WIRE, play

IDEMPOTENCY_SETTINGS: dict[str, Any] = {
    **PUSHED_SETTINGS,
    "classes": [{**WIRE["classes"][0], "effect": "deduplicated", "dedupScope": "cell", "windowUs": 400_000}],
}


IDEMPOTENT_WRITE_SCENARIOS = {
    "cut off within the window: retried at the same shard with the same key": f"""
        {WATCH_OPENED}
        c send PUT /api @0 Idempotency-Key=k body=x
        b1 expect PUT /api Idempotency-Key=k
        b1 close
        b1 expect PUT /api Idempotency-Key=k X-Call-Id=id1
        {OK}
        c expect 200
        b2 expect nothing""",
    "cut off after the window: not retried, and no hint that a retry is harmless": f"""
        {WATCH_OPENED}
        c send PUT /api @0 Idempotency-Key=k body=x
        b1 expect PUT /api
        wait 0.5
        b1 close
        c expect 502
        b1 expect nothing
        b2 expect nothing""",
    "rejected before it ran: may be retried at any time, at the node that rejected it": f"""
        {WATCH_OPENED}
        c send PUT /api @0 Idempotency-Key=k body=x
        b1 expect PUT /api
        wait 0.5
        b1 send 503 X-Rejected=1
        b1 expect PUT /api
        {OK}
        c expect 200""",
    "a new object whose first attempt may have run goes to no other shard": f"""
        {WATCH_OPENED}
        s send list b2=draining
        wait 0.05
        c send PUT /api @-1 Idempotency-Key=k body=x
        b1 expect PUT /api
        s send list b2=up
        wait 0.05
        b1 close
        b1 expect PUT /api Idempotency-Key=k
        s send list b1=draining
        wait 0.05
        b1 close
        c expect 502
        b2 expect nothing""",
}


@pytest.mark.parametrize("script", IDEMPOTENT_WRITE_SCENARIOS.values(), ids=IDEMPOTENT_WRITE_SCENARIOS.keys())
def test_writes_with_an_idempotency_key_never_count_twice(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script.lstrip(), objects=False, folder=tmp_path, wire=IDEMPOTENCY_SETTINGS))
