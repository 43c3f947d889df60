"""Pending calls and reads of a replica's clients, each with its last recipient, next attempt and deadline."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from harriertide.consensus.messages import Member

# A request without an answer is sent again, possibly to another leader. The interval exceeds two heartbeats,
# within which an answer arrives unless a message is lost.
RETRY_INTERVAL_US = 250_000


@dataclass(slots=True)
class ClientCall:
    """A command that waits to be committed.

    :param sent_to: the leader that the latest attempt was sent to
    """

    number: int
    client: str
    serial: int
    data: bytes
    deadline_us: int
    retry_at_us: int = 0
    sent_to: Member | None = None


@dataclass(slots=True)
class ClientRead:
    """A read that waits until the state is recent enough.

    :param sent_to: the leader that the latest attempt was sent to
    :param index: the read is linearizable once this index is applied; None while unknown
    """

    number: int
    deadline_us: int
    retry_at_us: int = 0
    sent_to: Member | None = None
    index: int | None = None


class PendingRequests:
    """The pending calls and reads, by number."""

    def __init__(self) -> None:
        self._calls: dict[int, ClientCall] = {}
        self._reads: dict[int, ClientRead] = {}

    def add_call(self, call: ClientCall) -> None:
        """Track a call until it is answered or expires."""
        self._calls[call.number] = call

    def add_read(self, read: ClientRead) -> None:
        """Track a read until it is complete or expires."""
        self._reads[read.number] = read

    def _requests(self) -> Iterator[ClientCall | ClientRead]:
        yield from self._calls.values()
        yield from self._reads.values()

    def next_due_us(self, until_us: int) -> int:
        """Return the earliest next attempt or deadline of all requests, at most until_us."""
        for request in self._requests():
            until_us = min(until_us, request.deadline_us, request.retry_at_us)
        return until_us

    def expire(self, now_us: int) -> list[int]:
        """Remove the requests whose deadline has passed.

        :returns: the numbers of the removed requests
        """
        expired = [request.number for request in self._requests() if request.deadline_us <= now_us]
        for number in expired:
            self._calls.pop(number, None)
            self._reads.pop(number, None)
        return expired

    # --- attempts -------------------------------------------------------------------------------------

    def start_call_attempts(self, now_us: int, leader: Member | None) -> list[ClientCall]:
        """Start and return the call attempts that are due: to a new leader, or after the retry interval."""
        started = []
        for call in self._calls.values():
            if leader is None:
                call.retry_at_us = max(call.retry_at_us, now_us + RETRY_INTERVAL_US)
            elif call.sent_to != leader or now_us >= call.retry_at_us:
                call.sent_to = leader
                call.retry_at_us = now_us + RETRY_INTERVAL_US
                started.append(call)
        return started

    def start_read_attempts(self, now_us: int, leader: Member | None) -> list[ClientRead]:
        """Start and return the read attempts that are due: to a new leader, or after the retry interval."""
        started = []
        for read in self._reads.values():
            must_wait = leader is None or (read.sent_to == leader and now_us < read.retry_at_us)
            if read.index is not None or must_wait:
                read.retry_at_us = max(read.retry_at_us, now_us + RETRY_INTERVAL_US)
            else:
                read.sent_to = leader
                read.retry_at_us = now_us + RETRY_INTERVAL_US
                started.append(read)
        return started

    # --- answers --------------------------------------------------------------------------------------

    def calls(self) -> list[ClientCall]:
        """Return the pending calls."""
        return list(self._calls.values())

    def complete_call(self, call: ClientCall) -> None:
        """Remove an answered call."""
        del self._calls[call.number]

    def complete_command(self, client: str, serial: int) -> list[int]:
        """Remove the calls of an applied command.

        :returns: the numbers of the removed calls
        """
        completed = [
            call.number for call in self._calls.values() if (call.client, call.serial) == (client, serial)
        ]
        for number in completed:
            del self._calls[number]
        return completed

    def set_read_index(self, number: int, index: int) -> None:
        """Set the read index of a read; does nothing if the read is no longer pending."""
        read = self._reads.get(number)
        if read is not None:
            read.index = index

    def complete_reads(self, last_applied: int) -> list[int]:
        """Remove the reads whose read index is applied.

        :returns: the numbers of the removed reads
        """
        completed = [
            number
            for number, read in self._reads.items()
            if read.index is not None and read.index <= last_applied
        ]
        for number in completed:
            del self._reads[number]
        return completed
