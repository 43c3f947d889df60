"""Grants of a rate limit: the units granted and returned, and the credit of the requesting broker."""

from __future__ import annotations

from harriertide.decide.leases import LEASE_US, Leases
from harriertide.decide.quota_credit import (
    CREDIT_LIFETIME_US,
    REQUEST_NUMBER_COUNT,
    UNIT_COUNTER_COUNT,
    QuotaCredit,
)
from harriertide.decide.quota_grants import RECLAIM_US, QuotaDemand, QuotaGrants
from harriertide.decide.rate_limits import QUOTA_RETRY_US
from tests.helpers import (
    SECOND_US,
)


class GrantingBroker:
    """One of two brokers, which holds slot 0 and grants 10 units a second and at most 16 at once."""

    def __init__(self) -> None:
        self.leases = Leases(0, 2, 0)
        self.grants = QuotaGrants(self.leases)
        for _, slot, number in self.leases.request_votes(LEASE_US):
            self.leases.count_vote(LEASE_US, 1, slot, number)
        assert self.leases.is_holder(0, LEASE_US)

    def hold_until(self, until_us: int) -> None:
        self.leases.slots[0].held_until_us = until_us

    def grant(self, now_us: int, broker: int, volume_key: int, demand: QuotaDemand) -> int | None:
        return self.grants.grant(now_us, broker, volume_key, demand, 10.0, 16.0)


def test_a_token_bucket_starts_empty_and_fills_at_the_rate_up_to_the_burst() -> None:
    """A new lease holder does not know the last grants of the previous holder, so its bucket starts empty."""
    holder = GrantingBroker()
    assert holder.grant(LEASE_US, 1, 0, QuotaDemand(9, 0, 5, 1)) == 0
    holder.hold_until(10 * SECOND_US)
    # first, the grants of the previous holder are spent or expire
    filled_us = SECOND_US // 2 + CREDIT_LIFETIME_US
    assert holder.grant(LEASE_US + filled_us, 1, 0, QuotaDemand(9, 0, 5, 2)) == 5
    # another volume, which has been idle for long
    assert holder.grant(9 * SECOND_US, 1, 2, QuotaDemand(99, 0, 5, 1)) == 16


def test_a_token_bucket_is_not_filled_in_place_of_units_returned_later() -> None:
    """Granted units are not spent and are returned later. If the bucket filled up in their place meanwhile,
    both could be spent at the same time.
    """
    holder = GrantingBroker()
    holder.hold_until(20 * SECOND_US)
    now = 5 * SECOND_US
    assert holder.grant(now, 1, 0, QuotaDemand(10, 0, 5, 1)) == 10
    now += SECOND_US  # a bucket that ignored outstanding units would be full again
    taken = holder.grant(now, 0, 0, QuotaDemand(99, 0, 6, 1))
    returned = holder.grant(now, 1, 0, QuotaDemand(99, 0, 5, 2))
    assert taken == 6 and returned == 10
    # after RECLAIM_US no units are returned any more
    assert holder.grant(now + RECLAIM_US + 1, 1, 0, QuotaDemand(99, 0, 5, 3)) == 16


def test_units_granted_and_not_spent_are_returned_and_spent_ones_are_not() -> None:
    """Requests for units arrive twice, late, after a broker restart, and with counters that wrap around."""
    holder = GrantingBroker()
    holder.hold_until(10 * SECOND_US)
    now = 5 * SECOND_US
    assert holder.grant(now, 1, 0, QuotaDemand(10, 0, 5, 250)) == 10
    assert holder.grant(now, 1, 0, QuotaDemand(10, 3, 5, 251)) == 10  # 7 units are returned to the 6 left
    assert holder.grant(now, 1, 0, QuotaDemand(10, 3, 5, 251)) is None  # a duplicate
    assert holder.grant(now, 1, 0, QuotaDemand(10, 0, 5, 250)) is None  # a late request
    assert holder.grant(now, 1, 0, QuotaDemand(10, 13, 5, 252 % REQUEST_NUMBER_COUNT)) == 3
    assert holder.grant(now, 1, 0, QuotaDemand(10, 0, 6, 1)) == 0  # after a restart nothing is returned
    wrapped = holder.grant(
        now + SECOND_US, 1, 0, QuotaDemand(5, UNIT_COUNTER_COUNT - 2, 7, REQUEST_NUMBER_COUNT - 1)
    )
    # 3 were sent and 2 returned
    assert wrapped == 5 and holder.grant(now + SECOND_US, 1, 0, QuotaDemand(9, 1, 7, 0)) == 7


def test_a_broker_that_was_cut_off_for_long_is_answered_at_once() -> None:
    """A broker was disconnected from the lease holder for long. Its requests were lost, so the number of its
    next request may be any.
    """
    # within RECLAIM_US, the number shows whether a request is late
    assert RECLAIM_US / QUOTA_RETRY_US < REQUEST_NUMBER_COUNT / 2
    holder = GrantingBroker()
    holder.hold_until(40 * SECOND_US)
    assert holder.grant(4 * SECOND_US, 1, 0, QuotaDemand(2, 0, 5, 10)) == 2
    for number in (10, 9, 200):
        assert holder.grant(5 * SECOND_US, 1, 0, QuotaDemand(2, 2, 5, number)) is None
    for turn, number in enumerate((200, 10, 10)):
        now = 4 * SECOND_US + (turn + 1) * (RECLAIM_US + 1)
        assert holder.grant(now, 1, 0, QuotaDemand(2, 2 + 2 * turn, 5, number)) == 2


def test_only_the_lease_holder_grants_and_a_lease_lost_meanwhile_empties_the_bucket() -> None:
    """A broker loses its lease and wins it again. Another broker may have granted units meanwhile."""
    holder = GrantingBroker()
    holder.hold_until(5 * SECOND_US)
    assert holder.grant(4 * SECOND_US, 1, 0, QuotaDemand(10, 0, 5, 1)) == 10
    assert holder.grant(5 * SECOND_US, 1, 0, QuotaDemand(10, 10, 5, 2)) is None
    holder.leases.slots[0].held_since_us = 6 * SECOND_US
    holder.hold_until(9 * SECOND_US)
    assert holder.grant(6 * SECOND_US + CREDIT_LIFETIME_US, 1, 0, QuotaDemand(10, 10, 5, 3)) == 0
    assert holder.grant(6 * SECOND_US + CREDIT_LIFETIME_US + 100_000, 1, 0, QuotaDemand(10, 10, 5, 4)) == 1


def test_quota_credit_counts_for_the_last_request_only_and_expires() -> None:
    """A grant arrives late, twice, or for a request that a newer one has replaced."""
    credit = QuotaCredit()
    credit.request(0, 4, 2, 60_000)
    assert (
        not credit.accept(CREDIT_LIFETIME_US + 1, 1, 4)
        and credit.accept(30_000, 1, 4)
        and not credit.accept(30_000, 1, 4)
    )
    assert credit.covers(CREDIT_LIFETIME_US, 4) and not credit.covers(CREDIT_LIFETIME_US + 1, 4)
    credit.spend(3.0)
    assert credit.covers(CREDIT_LIFETIME_US, 1) and not credit.covers(CREDIT_LIFETIME_US, 2)
    credit.request(40_000, 4, 2, 100_000)
    # the new request has voided the old grant
    assert not credit.covers(40_000, 1) and not credit.accept(50_000, 1, 9)
    assert credit.accept(50_000, 2, 1, rate=10.0) and credit.is_short and credit.retry_at_us == 150_000
