"""The shared token buckets of volumes, from which a lease holder grants units of the rate limit to brokers.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from harriertide.decide.expiry import expire_oldest
from harriertide.decide.leases import Leases
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US, REQUEST_NUMBER_COUNT, UNIT_COUNTER_COUNT
from harriertide.decide.units import SECOND_US

# A broker's next request returns the granted units that it has not sent, up to this time after the grant. A
# broker that sends no request for that time has restarted or asks another holder.
RECLAIM_US = 4_000_000


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """A broker's request for units of a volume.

    used_units: units that the broker has sent for the volume since it started, modulo UNIT_COUNTER_COUNT.
    epoch: identifies the broker's start. number: of the request, modulo REQUEST_NUMBER_COUNT.
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
        """Whether units of the grant that were not sent may still be returned."""
        return now_us <= self.granted_at_us + RECLAIM_US

    def is_followed_by(self, number: int) -> bool:
        """Whether a request of that number is newer than the grant's; if not, it is a duplicate or late."""
        return 0 < (number - self.number) % REQUEST_NUMBER_COUNT < REQUEST_NUMBER_COUNT // 2

    def unsent_units(self, used_units: int) -> int:
        """Return the grant's units that the broker has not sent, by its counter of sent units."""
        return max(0, self.granted_units - (used_units - self.used_units_before) % UNIT_COUNTER_COUNT)


@dataclass(slots=True)
class SharedTokenBucket:
    """A volume's token bucket at the lease holder. lease_since_us: the start of that lease."""

    lease_since_us: int
    units: float
    refilled_at_us: int
    requested_at_us: int = 0
    grants: dict[int, Grant] = field(default_factory=dict)  # by broker, its last grant

    def outstanding_units(self, now_us: int) -> int:
        """Return the granted units that may still be returned."""
        return sum(grant.granted_units for grant in self.grants.values() if grant.is_reclaimable(now_us))

    def refill(self, now_us: int, rate: float, capacity: float) -> None:
        """Add the units that have accrued since the last call.

        Invariant: the bucket and the outstanding units together hold no more than an ideal bucket of the same
        capacity that gives up each unit when the unit is sent. Otherwise the bucket would fill up in place of
        units that are returned later, and both could be sent at the same time.
        """
        accrued = rate * max(0, now_us - self.refilled_at_us) / SECOND_US
        self.units = min(capacity - self.outstanding_units(now_us), self.units + accrued)
        self.refilled_at_us = max(now_us, self.refilled_at_us)


class QuotaGrants:
    """The token buckets of the volumes whose slots this broker holds."""

    def __init__(self, leases: Leases) -> None:
        self._leases = leases
        self.buckets: dict[int, SharedTokenBucket] = {}  # by volume key, the least recently requested first

    def grant(
        self, now_us: int, broker: int, volume_key: int, demand: QuotaDemand, rate: float, capacity: float
    ) -> int | None:
        """Grant units to a broker for its requests of a volume.

        With a new request the broker gives up the unsent units of its last grant; they return to the bucket.

        :param rate: rate limit of the volume's plan, in units a second
        :param capacity: burst limit of the volume's plan, in units
        :returns: the units granted; None if the request gets no answer
        """
        slot = self._leases.slot_of(volume_key)
        if not self._leases.is_holder(slot, now_us):
            return None
        bucket = self._bucket(volume_key, self._leases.slots[slot].held_since_us)
        bucket.requested_at_us = now_us
        last_grant = bucket.grants.get(broker)
        # Request numbers wrap around. After RECLAIM_US they may have wrapped, as the broker may have sent
        # many requests to other holders. A number then no longer shows the age of its request, and is not
        # checked.
        if last_grant is not None and last_grant.epoch == demand.epoch and last_grant.is_reclaimable(now_us):
            if not last_grant.is_followed_by(demand.number):
                return None
            bucket.units += last_grant.unsent_units(demand.used_units)
            del bucket.grants[broker]
        bucket.refill(now_us, rate, capacity)
        granted = max(0, min(demand.wanted_units, int(bucket.units)))
        bucket.grants[broker] = Grant(demand.epoch, demand.number, granted, demand.used_units, now_us)
        bucket.units -= granted
        return granted

    def _bucket(self, volume_key: int, lease_since_us: int) -> SharedTokenBucket:
        """Return the volume's bucket, now the most recently requested; a new lease starts a new bucket.

        The grants of the previous holder are not known, so a new bucket stays empty until they are spent or
        have expired.
        """
        bucket = self.buckets.pop(volume_key, None)
        if bucket is None or bucket.lease_since_us != lease_since_us:
            bucket = SharedTokenBucket(lease_since_us, 0.0, lease_since_us + CREDIT_LIFETIME_US)
        self.buckets[volume_key] = bucket
        return bucket

    def forget(self, before_us: int) -> None:
        """Remove buckets without a request since before_us: they are full again."""
        expire_oldest(self.buckets, lambda bucket: bucket.requested_at_us < before_us)
