"""Guards against memory that grows with names of clients: volumes, and timers of finished requests."""

from __future__ import annotations

from dataclasses import replace

import pytest

from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler
from tests.helpers import SECOND_US, SETTINGS, START_US

MAX_VOLUMES = 100
ALONE = replace(SETTINGS, broker_count=1, peer_messages_allowed=False, max_retained_volumes=MAX_VOLUMES)
NODES = tuple(api.NodeEntry(f"n{shard}", shard) for shard in range(4))
FREE, LIMITED = 0, 1  # plans of SETTINGS: the second one has a rate limit
LIMIT_PER_S = SETTINGS.plans[LIMITED].rate_limit
BURST_UNITS = SETTINGS.plans[LIMITED].burst_limit_units


class ServedRequests:
    """A scheduler whose nodes answer each attempt at once."""

    def __init__(self, settings: api.Settings) -> None:
        self.scheduler = Scheduler(settings, seed=1)
        self.now_us = START_US
        self.scheduler.decide(self.now_us, [api.EndpointUpdate("cached", NODES)])
        self.count = 0

    def send(
        self, volume: str, plan: int, after_us: int, units: float = 1.0, wait_us: int = SECOND_US
    ) -> str:
        """Send a request, and return "served" or the reason of its rejection."""
        self.count += 1
        self.now_us += after_us
        request_id = f"r{self.count}"
        arrival = api.Arrival(
            request_id, 0, plan, volume, self.count % 4, self.now_us + wait_us, units, f"k{self.count}"
        )
        for action in self.scheduler.decide(self.now_us, [arrival]):
            if isinstance(action, api.StartAttempt):
                finished = api.AttemptFinished(
                    request_id, 0, action.node_id, "ok", latency_us=1_000, is_final=True
                )
                self.scheduler.decide(self.now_us, [finished])
                return "served"
            if isinstance(action, (api.Reject, api.Fail)):
                return str(action.reason)
        return "waits"

    @property
    def volume_count(self) -> int:
        return len(self.scheduler.rate_limits.volumes)


# Guards against one client that names a new volume with each request: 58,000 in a minute took 46 MiB.
@pytest.mark.parametrize("plan", [FREE, LIMITED])
def test_ever_new_volumes_are_bounded(plan: int) -> None:
    requests = ServedRequests(ALONE)
    for number in range(20 * MAX_VOLUMES):
        requests.send(f"v{number}", plan, after_us=1_000)
        assert requests.volume_count <= MAX_VOLUMES
    assert len(requests.scheduler.rate_limits._discardable) <= MAX_VOLUMES


# Guards against a bound that lets a volume exceed its rate limit because it was forgotten.
def test_a_volume_that_has_spent_its_rate_limit_is_not_forgotten_for_others() -> None:
    requests = ServedRequests(ALONE)
    requests.now_us += 10 * SECOND_US  # buckets start empty
    begun_us = requests.now_us
    served_units = 0
    for number in range(3 * MAX_VOLUMES):
        served_units += requests.send("spender", LIMITED, after_us=500, units=1.0) == "served"
        requests.send(f"v{number}", LIMITED, after_us=500)
    elapsed_s = (requests.now_us - begun_us) / SECOND_US
    assert BURST_UNITS <= served_units <= BURST_UNITS + LIMIT_PER_S * elapsed_s


def test_new_volumes_with_a_rate_limit_are_rejected_at_the_bound_until_a_bucket_has_refilled() -> None:
    requests = ServedRequests(ALONE)
    requests.now_us += 10 * SECOND_US
    for number in range(MAX_VOLUMES):
        assert requests.send(f"v{number}", LIMITED, after_us=100) == "served"
    assert requests.send("new", LIMITED, after_us=100) == "rate_limit"
    assert requests.send("new", FREE, after_us=100) == "served"
    refill_us = int(SECOND_US * BURST_UNITS / LIMIT_PER_S)
    assert requests.send("new", LIMITED, after_us=refill_us) == "served"


def test_volumes_without_a_rate_limit_make_room_for_those_with_one() -> None:
    requests = ServedRequests(ALONE)
    requests.now_us += 10 * SECOND_US
    for number in range(2 * MAX_VOLUMES):
        requests.send(f"free{number}", FREE, after_us=100)
    for number in range(MAX_VOLUMES):
        assert requests.send(f"limited{number}", LIMITED, after_us=100) == "served"


# Guards against requests that are kept until their deadline, which the client of a stream may set freely.
def test_finished_requests_leave_no_timers_however_late_their_deadlines_are() -> None:
    """One request is always open, so that the next timer due is not obsolete."""
    requests = ServedRequests(ALONE)
    open_request = api.Arrival("open", 0, FREE, "v", 0, START_US + 10 * SECOND_US, 1.0, "k")
    requests.scheduler.decide(START_US, [open_request])
    for number in range(5_000):
        requests.send(f"v{number % 7}", FREE, after_us=1_000, wait_us=1_000_000 * SECOND_US)
    assert len(requests.scheduler.context.timers) < 600
