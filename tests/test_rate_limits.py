"""Rate limits of plans: shared by all brokers, or split evenly if brokers exchange no messages."""

from __future__ import annotations

from dataclasses import replace

import pytest

from harriertide.decide import api
from harriertide.decide.leases import Leases
from harriertide.decide.peer_messages import (
    LeaseVote,
    LeaseVoteRequest,
    PeerMessage,
    QuotaGrant,
    QuotaRequest,
    decode,
)
from harriertide.lab.experiments.limits import CASES, run_case
from harriertide.lab.simulation.shared_limit import PLANS, SharedLimitSimulation, allowed_units
from tests.helpers import (
    SECOND_US,
    BrokerUnderTest,
    offer_continuously,
    peer_datagrams,
    rejections,
    started_attempts,
)

LEASE_AND_QUOTA_MESSAGES: tuple[type[PeerMessage], ...] = (
    LeaseVoteRequest,
    LeaseVote,
    QuotaRequest,
    QuotaGrant,
)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("brokers", "hosts"), CASES)
def test_a_limit_is_kept_and_used_under_loss_crashes_restarts_and_a_changing_busiest_broker(
    brokers: int, hosts: list[int], seed: int
) -> None:
    """The load is up to five times the rate limit, 30% of messages are lost, one broker is dead and one
    restarts.

    The limit is never exceeded, in rate or in burst, not even by its slack, and more than 90% of it are used.
    """
    used, lowest = run_case(brokers, hosts, seed)
    assert lowest >= 0 and used > 0.9


def test_the_simulation_detects_an_exceeded_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Brokers that all believe they hold the lease exceed the limit, and the simulation must detect that."""
    monkeypatch.setattr(
        Leases, "is_holder", lambda self, slot, now_us: self.slots[slot].promised_until_us > 0
    )
    monkeypatch.setattr(Leases, "presumed_holder", lambda self, slot, now_us, unanswered: self.broker_index)
    assert run_case(3, [0, 1, 2], 1, seconds=3, loss_ratio=0.0)[1] < 0


def test_isolated_brokers_send_nothing_of_a_shared_limit_and_resume_when_reconnected() -> None:
    """A disconnected broker can't know what the others send, so it sends nothing. The majority continues to
    use the limit.
    """
    simulation = SharedLimitSimulation(3, [0, 1, 2], 1, loss_ratio=0.0)
    simulation.run(3 * SECOND_US, 0, 50.0)
    simulation.cut_off = {0}
    simulation.run(2 * SECOND_US, 0, 50.0)
    alone = simulation.sent_by_broker[0]
    simulation.run(3 * SECOND_US, 0, 50.0)
    assert simulation.sent_by_broker[0] == alone
    before = simulation.sent_units
    simulation.run(3 * SECOND_US, 1, 50.0)
    assert simulation.sent_units - before > 0.85 * allowed_units(3 * SECOND_US)
    simulation.cut_off = set()
    simulation.run(2 * SECOND_US, 0, 50.0)
    before = simulation.sent_units
    simulation.run(3 * SECOND_US, 0, 50.0)
    assert (
        simulation.sent_units - before > 0.85 * allowed_units(3 * SECOND_US) and simulation.lowest_level >= 0
    )


def test_a_volume_of_one_broker_needs_no_grant_and_a_plan_without_limit_no_lease() -> None:
    broker = BrokerUnderTest(broker_count=3, plans=PLANS)
    broker.advance(2 * SECOND_US)
    assert started_attempts(broker.request(sharing_broker_count=1, plan=0)) and not peer_datagrams(
        broker.advance(SECOND_US), QuotaRequest
    )
    free = BrokerUnderTest(broker_count=3, plans=(api.Plan(),))
    assert not [
        a for kind in LEASE_AND_QUOTA_MESSAGES for a in peer_datagrams(free.advance(2 * SECOND_US), kind)
    ]


def test_a_reload_keeps_leases_and_another_broker_count_ends_them() -> None:
    """A reload changes the number of brokers and with it the groups that elect lease holders. Votes given
    before the reload must not count.
    """
    broker = BrokerUnderTest(broker_count=3, plans=PLANS)
    broker.advance(SECOND_US)
    leases = broker.scheduler.rate_limits.leases
    broker.handle(api.SettingsChanged(replace(broker.settings, mean_request_units=3.0)))
    assert broker.scheduler.rate_limits.leases is leases is not None
    broker.handle(api.SettingsChanged(replace(broker.settings, broker_count=4)))
    assert (
        broker.scheduler.rate_limits.leases is not leases
        and not broker.scheduler.rate_limits.leases.grant_vote(broker.now_us, 0, 0)
    )
    assert all(decode(a.body) for a in peer_datagrams(broker.advance(SECOND_US), LeaseVoteRequest))


def test_a_clients_retry_does_not_wait_for_an_empty_token_bucket() -> None:
    """The token bucket is empty. New units go to first requests, whose answers can still be in time."""
    broker = BrokerUnderTest(peer_messages_allowed=False, plans=PLANS)
    broker.advance(100_000)
    first = broker.request(plan=0, sharing_broker_count=1, units=3.0)
    retry = broker.request(plan=0, sharing_broker_count=1, units=3.0, is_retry=True)
    assert not started_attempts(first) and rejections(retry)
    assert [send.request_id for send in started_attempts(broker.advance(SECOND_US, 10_000))] == ["r1"]


def test_brokers_without_peer_messages_split_a_plans_limit_and_start_spent() -> None:
    """Brokers exchange no messages. Each uses its part of the rate limit, and after a restart counts the part
    as spent.
    """
    broker = BrokerUnderTest(peer_messages_allowed=False)
    assert not started_attempts(broker.request(plan=1, sharing_broker_count=2, volume="w"))
    total_units = offer_continuously(broker, 4_000_000, 10_000, plan=1, sharing_broker_count=2, volume="w")
    assert 10 < total_units <= 10 / 2 * 4 + 2


def test_a_limits_burst_is_split_as_well() -> None:
    broker = BrokerUnderTest(peer_messages_allowed=False)
    broker.request(plan=1, sharing_broker_count=2, volume="w")
    broker.advance(10_000_000)
    total_units = offer_continuously(broker, 20_000, 1_000, plan=1, sharing_broker_count=2, volume="w")
    assert 0 < total_units <= 16 / 2 + 2
