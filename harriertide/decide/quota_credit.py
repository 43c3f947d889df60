"""Credit: units of a rate limit or of a warming node's budget, granted by another broker, with an expiry."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from harriertide.decide.units import SECOND_US

# How long granted units may be used, from the request for them: the round trip of a message and some slack.
CREDIT_LIFETIME_US = 150_000
# Messages carry request numbers in one byte and unit counters in two, so both are counted modulo these
# values.
REQUEST_NUMBER_COUNT = 2**8
UNIT_COUNTER_COUNT = 2**16
MAX_REQUESTED_UNITS = 255  # the field of a message has one byte


@dataclass(slots=True)
class QuotaCredit:
    """The units that another broker granted on the last request, and their expiry.

    wanted: units that the last request asked for. min_useful_units: the fewest units that allow a request to
    be sent. is_short: fewer units were granted than wanted. unanswered: requests sent minus answers
    accepted. used_units: units sent since the start of the broker.
    """

    units: float = 0.0
    expires_at_us: int = 0
    request_number: int = 0
    wanted: int = 0
    min_useful_units: float = 0.0
    is_short: bool = False
    unanswered: int = 0
    requested_at_us: int = 0
    retry_at_us: int = 0
    used_units: int = 0

    def covers(self, now_us: int, units: float) -> bool:
        """Whether the credit suffices to send a request of that size now."""
        return self.units >= units and now_us <= self.expires_at_us

    def void(self) -> None:
        """Discard the granted units and ignore the answer to the last request."""
        self.units = 0.0
        self.expires_at_us = 0
        self.requested_at_us = -CREDIT_LIFETIME_US
        self.retry_at_us = 0

    def spend(self, units: float) -> None:
        """Take the units of a request that is sent."""
        self.units -= units
        self.used_units += ceil(units)

    def request(self, now_us: int, wanted: float, min_useful_units: float, retry_at_us: int) -> None:
        """Record a new request for units, which gives up the unsent units of the last grant.

        :param wanted: units that would be used
        :param min_useful_units: the fewest units that allow a request to be sent
        :param retry_at_us: when to ask again if no answer arrives
        """
        self.void()
        self.wanted = min(MAX_REQUESTED_UNITS, ceil(wanted))
        self.min_useful_units = min_useful_units
        self.requested_at_us = now_us
        self.retry_at_us = retry_at_us
        self.request_number = (self.request_number + 1) % REQUEST_NUMBER_COUNT
        self.unanswered += 1

    def accept(self, now_us: int, request_number: int, units: int, rate: float = 0.0) -> bool:
        """Accept a grant if it answers the last request and arrives in time.

        :param rate: units a second that accrue in the granting bucket; the next request is due when the
            bucket can have accrued the missing useful units. 0: it is due immediately
        :returns: whether the grant was accepted
        """
        is_late = now_us > self.requested_at_us + CREDIT_LIFETIME_US
        is_answered = self.expires_at_us != 0
        if request_number != self.request_number or is_late or is_answered:
            return False
        self.units = float(units)
        self.expires_at_us = self.requested_at_us + CREDIT_LIFETIME_US
        self.is_short = units < self.wanted
        self.unanswered -= 1
        missing_units = max(0.0, self.min_useful_units - units)
        self.retry_at_us = now_us + int(missing_units / rate * SECOND_US) if rate else now_us
        return True
