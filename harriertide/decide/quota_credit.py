"""Units that another broker has granted this one, of a plan's limit or of a warming node, until a time."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from harriertide.decide.units import SECOND_US

# How long granted units hold, counted from the request for them: two trips of a message and some.
CREDIT_LIFETIME_US = 150_000
# Units and numbers of requests travel in fields of one and two bytes and are counted modulo these.
REQUEST_NUMBER_COUNT = 2**8
UNIT_COUNTER_COUNT = 2**16
MAX_REQUESTED_UNITS = 255  # of one request: one byte in the message


@dataclass(slots=True)
class QuotaCredit:
    """What another broker granted on the last request, and until when it holds.

    wanted: units of the last request. min_useful_units: the least that is of any use. is_short: fewer units
    were granted than wanted. unanswered: requests so far without an answer. used_units: sent in all, since
    the start.
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
        """Whether a request of so many units may be sent on it now."""
        return self.units >= units and now_us <= self.expires_at_us

    def void(self) -> None:
        """What was granted holds no more, and no answer is awaited."""
        self.units = 0.0
        self.expires_at_us = 0
        self.requested_at_us = -CREDIT_LIFETIME_US
        self.retry_at_us = 0

    def spend(self, units: float) -> None:
        """A request of so many units is sent."""
        self.units -= units
        self.used_units += ceil(units)

    def request(self, now_us: int, wanted: float, min_useful_units: float, retry_at_us: int) -> None:
        """Ask anew, which gives up what was not sent of the last grant.

        :param wanted: units that would be used
        :param min_useful_units: the least that is of any use
        :param retry_at_us: when to ask again if no answer comes
        """
        self.void()
        self.wanted = min(MAX_REQUESTED_UNITS, ceil(wanted))
        self.min_useful_units = min_useful_units
        self.requested_at_us = now_us
        self.retry_at_us = retry_at_us
        self.request_number = (self.request_number + 1) % REQUEST_NUMBER_COUNT
        self.unanswered += 1

    def accept(self, now_us: int, request_number: int, units: int, rate: float = 0.0) -> bool:
        """Take an answer, if it is that to the last request and in time.

        :param rate: units a second at which the bucket that it came from fills; it is asked again when it can
            have filled up to what is of use. 0: at once
        :returns: whether the answer counts
        """
        is_late = now_us > self.requested_at_us + CREDIT_LIFETIME_US
        is_answered = self.expires_at_us != 0
        if request_number != self.request_number or is_late or is_answered:
            return False
        self.units = float(units)
        self.expires_at_us = self.requested_at_us + CREDIT_LIFETIME_US
        self.is_short = units < self.wanted
        self.unanswered -= 1
        lacking = max(0.0, self.min_useful_units - units)
        self.retry_at_us = now_us + int(lacking / rate * SECOND_US) if rate else now_us
        return True
