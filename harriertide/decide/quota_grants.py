"""What the holder of a plan's limit grants to other brokers: one shared bucket for each volume. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from harriertide.decide.expiry import expire_oldest
from harriertide.decide.leases import Leases
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US, REQUEST_NUMBER_COUNT, UNIT_COUNTER_COUNT
from harriertide.decide.units import SECOND_US

# Units that were granted and not sent come back with the next request of that broker, but not after so long:
# it has restarted, or asks elsewhere.
RECLAIM_US = 4_000_000


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """A broker's request for units of a volume.

    used_units: what it has sent in all so far, modulo UNIT_COUNTER_COUNT. epoch: of its start. number: of the
    request, modulo REQUEST_NUMBER_COUNT.
    """

    wanted_units: int
    used_units: int
    epoch: int
    number: int


class Grant(NamedTuple):
    """The answer to a broker's last request."""

    epoch: int
    number: int
    granted_units: int
    used_units_before: int
    granted_at_us: int

    def is_reclaimable(self, now_us: int) -> bool:
        """Whether what was not sent of it may still come back."""
        return now_us <= self.granted_at_us + RECLAIM_US

    def is_followed_by(self, number: int) -> bool:
        """Whether a request of that number was made after it; else it came twice, or late."""
        return 0 < (number - self.number) % REQUEST_NUMBER_COUNT < REQUEST_NUMBER_COUNT // 2

    def unsent_units(self, used_units: int) -> int:
        """What the broker has not sent of it, as its count of units tells."""
        return max(0, self.granted_units - (used_units - self.used_units_before) % UNIT_COUNTER_COUNT)


@dataclass(slots=True)
class SharedTokenBucket:
    """A volume's bucket at its holder. lease_since_us: the lease under which it was begun."""

    lease_since_us: int
    units: float
    refilled_at_us: int
    requested_at_us: int = 0
    grants: dict[int, Grant] = field(default_factory=dict)  # the last one of each broker

    def outstanding_units(self, now_us: int) -> int:
        """Units that are granted and may come back."""
        return sum(grant.granted_units for grant in self.grants.values() if grant.is_reclaimable(now_us))

    def refill(self, now_us: int, rate: float, capacity: float) -> None:
        """Add what has accrued.

        Invariant: bucket and outstanding units hold no more than a bucket that is filled up to its capacity
        and gives each unit as it is sent. Guards against filling up in place of what comes back later.
        """
        accrued = rate * max(0, now_us - self.refilled_at_us) / SECOND_US
        self.units = min(capacity - self.outstanding_units(now_us), self.units + accrued)
        self.refilled_at_us = max(now_us, self.refilled_at_us)


class QuotaGrants:
    """The buckets of the volumes whose slots this broker holds."""

    def __init__(self, leases: Leases) -> None:
        self._leases = leases
        self.buckets: dict[int, SharedTokenBucket] = {}  # by volume, the longest without a request first

    def grant(
        self, now_us: int, broker: int, volume_key: int, demand: QuotaDemand, rate: float, capacity: float
    ) -> int | None:
        """Units for a broker's requests of a volume.

        What was granted to it before and not sent is void, as a new request gives that up, and goes back.

        :param rate: units a second of the volume's plan
        :param capacity: the most units that may be sent at once
        :returns: units granted; None if no answer is due
        """
        slot = self._leases.slot_of(volume_key)
        if not self._leases.is_holder(slot, now_us):
            return None
        bucket = self._bucket(volume_key, self._leases.slots[slot].held_since_us)
        bucket.requested_at_us = now_us
        last = bucket.grants.get(broker)
        if last is not None and last.epoch == demand.epoch and last.is_reclaimable(now_us):
            if not last.is_followed_by(demand.number):
                return None  # after RECLAIM_US any number may be new, as many requests went elsewhere
            bucket.units += last.unsent_units(demand.used_units)
            del bucket.grants[broker]
        bucket.refill(now_us, rate, capacity)
        granted = max(0, min(demand.wanted_units, int(bucket.units)))
        bucket.grants[broker] = Grant(demand.epoch, demand.number, granted, demand.used_units, now_us)
        bucket.units -= granted
        return granted

    def _bucket(self, volume_key: int, lease_since_us: int) -> SharedTokenBucket:
        """The volume's bucket, last in order of requests; a new one under a new lease.

        What another holder granted just before is not known: until that is sent or void, a new bucket is
        empty.
        """
        bucket = self.buckets.pop(volume_key, None)
        if bucket is None or bucket.lease_since_us != lease_since_us:
            bucket = SharedTokenBucket(lease_since_us, 0.0, lease_since_us + CREDIT_LIFETIME_US)
        self.buckets[volume_key] = bucket
        return bucket

    def forget(self, before_us: int) -> None:
        """Forget buckets that nobody asked of since then: they are full again."""
        expire_oldest(self.buckets, lambda bucket: bucket.requested_at_us < before_us)
