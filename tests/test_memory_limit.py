"""Guards against incident 65: a process passed its memory limit, or ended, under hundreds of hostile clients.

A real process with the limits of the report, its memory sampled as the platform counts it.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from harriertide.lab.rigs.hostile_clients import HostileForm
from harriertide.lab.rigs.overload_run import OverloadCase, OverloadResult, play_overload

SOCKETS = 1024
CLIENT_COUNT = 700
DURATION_S = 3.0
LEAST_MEMORY_MB = 32
SCORED_MEMORY_MB = 192


def play(form: HostileForm, memory_mb: int, folder: Path) -> OverloadResult:
    case = OverloadCase(form, memory_mb, SOCKETS, CLIENT_COUNT, DURATION_S)
    return asyncio.run(play_overload(case, folder))


# Guards against bodies and heads in flight that no budget counts: they took 314 and 1,090 MiB of 192.
@pytest.mark.parametrize("form", ["half of a long body", "endless head of long fields"])
def test_slow_and_stopped_clients_do_not_take_a_process_over_its_memory_limit(
    form: HostileForm, tmp_path: Path
) -> None:
    result = play(form, SCORED_MEMORY_MB, tmp_path)
    assert result.ended_with is None
    assert result.peak_mib <= SCORED_MEMORY_MB


# Guards against connections, heads and bodies that together take more than the least memory of the pages.
@pytest.mark.parametrize(
    "form",
    [
        "slow body", "half of a long body", "most of a short body", "endless head of long fields",
        "endless head of short fields", "finished head of many fields", "chunks of one byte",
        "unread answers", "silent", "pipelined reads",
    ],
)  # fmt: skip
def test_hundreds_of_clients_do_not_take_the_smallest_process_over_its_memory_limit(
    form: HostileForm, tmp_path: Path
) -> None:
    result = play(form, LEAST_MEMORY_MB, tmp_path)
    assert result.ended_with is None
    assert result.peak_mib <= LEAST_MEMORY_MB


# Guards against nodes that are ejected because clients do not finish their bodies in time.
@pytest.mark.parametrize("form", ["slow body", "half of a long body"])
def test_bodies_that_clients_do_not_finish_eject_no_node(form: HostileForm, tmp_path: Path) -> None:
    result = play(form, SCORED_MEMORY_MB, tmp_path)
    assert result.ejected_count == 0


# Guards against slow streams that take the places at the nodes, which do nothing before their last byte.
@pytest.mark.parametrize("form", ["slow body", "half of a long body"])
def test_slow_streams_leave_others_half_of_what_they_get_without_them(
    form: HostileForm, tmp_path: Path
) -> None:
    (tmp_path / "calm").mkdir()
    calm = OverloadCase("silent", SCORED_MEMORY_MB, SOCKETS, client_count=1, duration_s=DURATION_S)
    calm_served = asyncio.run(play_overload(calm, tmp_path / "calm")).honest_statuses[200]
    result = play(form, SCORED_MEMORY_MB, tmp_path)
    assert result.honest_statuses[200] >= calm_served / 2
