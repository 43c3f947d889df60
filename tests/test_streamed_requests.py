"""Guards against requests that stream their bodies from slow clients and keep the nodes from all others."""

from __future__ import annotations

from dataclasses import replace

from harriertide.decide import api
from harriertide.decide.dispatch import STREAM_RECHECK_INTERVAL_US
from harriertide.decide.placement import MAX_IN_FLIGHT_COUNT, STREAM_IN_FLIGHT_RATIO
from harriertide.decide.scheduler import Scheduler
from tests.helpers import SECOND_US, SETTINGS, START_US

ALONE = replace(SETTINGS, broker_count=1, shard_count=1, peer_messages_allowed=False)
NODE = api.NodeEntry("n0", 0)


def started(actions: object) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, api.StartAttempt)]  # type: ignore[attr-defined]


def rejected(actions: object) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, (api.Reject, api.Fail))]  # type: ignore[attr-defined]


def arrival(request_id: str, now_us: int, streams_body: bool = False) -> api.Arrival:
    return api.Arrival(
        request_id, 0, 0, "v", 0, now_us + 2 * SECOND_US, 1.0, request_id, streams_body=streams_body
    )


def new_scheduler() -> Scheduler:
    scheduler = Scheduler(ALONE, seed=1)
    scheduler.decide(START_US, [api.EndpointUpdate("cached", (NODE,))])
    return scheduler


# Guards against slow streams that take every place at a node.
def test_streams_leave_half_of_the_places_at_a_node() -> None:
    scheduler = new_scheduler()
    streams = [arrival(f"s{number}", START_US, streams_body=True) for number in range(200)]
    sent_streams = started(scheduler.decide(START_US + 1_000, streams))
    assert 1 <= len(sent_streams) <= STREAM_IN_FLIGHT_RATIO * MAX_IN_FLIGHT_COUNT
    ordinary = [arrival(f"r{number}", START_US) for number in range(len(sent_streams))]
    actions = scheduler.decide(START_US + 2_000, list(ordinary))
    assert started(actions) == [each.request_id for each in ordinary]


# Guards against a queue of streams ahead of ordinary requests, which are rejected because it is full.
def test_streams_that_wait_neither_hold_up_nor_push_out_ordinary_requests() -> None:
    scheduler = new_scheduler()
    now_us = START_US
    served_count = 0
    for turn in range(50):
        now_us += 10_000
        streams = [arrival(f"s{turn}-{number}", now_us, streams_body=True) for number in range(20)]
        actions = scheduler.decide(now_us, [*streams, arrival(f"r{turn}", now_us)])
        assert f"r{turn}" in started(actions) and f"r{turn}" not in rejected(actions)
        finished = api.AttemptFinished(f"r{turn}", 0, "n0", "ok", latency_us=1_000, is_final=True)
        scheduler.decide(now_us + 1_000, [finished])
        served_count += 1
    assert served_count == 50


def test_a_stream_that_waits_is_sent_once_another_has_ended() -> None:
    scheduler = new_scheduler()
    streams = [arrival(f"s{number}", START_US, streams_body=True) for number in range(40)]
    sent = started(scheduler.decide(START_US + 1_000, streams))
    finished = api.AttemptFinished(sent[0], 0, "n0", "ok", latency_us=1_000, is_final=True)
    later = scheduler.decide(START_US + 2_000, [finished])
    later_us = START_US + 2_000 + STREAM_RECHECK_INTERVAL_US
    later = [*later, *scheduler.decide(later_us, [api.TimerFired(0)])]
    assert len(started(later)) == 1


def test_a_stream_that_finds_no_room_is_given_up_for_lack_of_time() -> None:
    scheduler = new_scheduler()
    streams = [arrival(f"s{number}", START_US, streams_body=True) for number in range(40)]
    waiting = {each.request_id for each in streams} - set(
        started(scheduler.decide(START_US + 1_000, streams))
    )
    gone: set[str] = set()
    for step in range(60):
        gone |= set(rejected(scheduler.decide(START_US + 50_000 * step, [api.TimerFired(0)])))
    assert gone == waiting
