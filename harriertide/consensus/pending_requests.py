"""Pending calls and reads of a replica's clients: where each was sent, its next attempt and its deadline."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from harriertide.consensus.messages import Member

# A request without an answer goes out again, perhaps to another leader. Over two heartbeats: where nothing is
# lost the answer is here by then.
RETRY_INTERVAL_US = 250_000


@dataclass(slots=True)
class ClientCall:
    """A command that waits to be committed. sent_to: the leader that was asked last."""

    number: int
    client: str
    serial: int
    data: bytes
    deadline_us: int
    retry_at_us: int = 0
    sent_to: Member | None = None


@dataclass(slots=True)
class ClientRead:
    """A read that waits. index: it is linearizable once this is applied; None while that is not known."""

    number: int
    deadline_us: int
    retry_at_us: int = 0
    sent_to: Member | None = None
    index: int | None = None


class PendingRequests:
    """The calls and reads that wait, by their numbers."""

    def __init__(self) -> None:
        self._calls: dict[int, ClientCall] = {}
        self._reads: dict[int, ClientRead] = {}

    def add_call(self, call: ClientCall) -> None:
        """Add a call."""
        self._calls[call.number] = call

    def add_read(self, read: ClientRead) -> None:
        """Add a read."""
        self._reads[read.number] = read

    def _requests(self) -> Iterator[ClientCall | ClientRead]:
        yield from self._calls.values()
        yield from self._reads.values()

    def earliest_us(self, until_us: int) -> int:
        """The earliest next attempt or deadline of all requests; until_us where none is before that."""
        for request in self._requests():
            until_us = min(until_us, request.deadline_us, request.retry_at_us)
        return until_us

    def expire(self, now_us: int) -> list[int]:
        """Drop those whose deadline has passed.

        :returns: their numbers
        """
        expired = [request.number for request in self._requests() if request.deadline_us <= now_us]
        for number in expired:
            self._calls.pop(number, None)
            self._reads.pop(number, None)
        return expired

    # --- attempts -------------------------------------------------------------------------------------

    def start_call_attempts(self, now_us: int, leader: Member | None) -> list[ClientCall]:
        """The calls to send now: to a leader that was not asked yet, or again after a while."""
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
        """The reads to send now: to a leader that was not asked yet, or again after a while."""
        started = []
        for read in self._reads.values():
            is_asked = leader is None or (read.sent_to == leader and now_us < read.retry_at_us)
            if read.index is not None or is_asked:
                read.retry_at_us = max(read.retry_at_us, now_us + RETRY_INTERVAL_US)
            else:
                read.sent_to = leader
                read.retry_at_us = now_us + RETRY_INTERVAL_US
                started.append(read)
        return started

    # --- answers --------------------------------------------------------------------------------------

    def calls(self) -> list[ClientCall]:
        """The calls that wait."""
        return list(self._calls.values())

    def complete_call(self, call: ClientCall) -> None:
        """Remove a call that is answered."""
        del self._calls[call.number]

    def complete_command(self, client: str, serial: int) -> list[int]:
        """Remove the calls of a command that was applied.

        :returns: their numbers
        """
        completed = [
            call.number for call in self._calls.values() if (call.client, call.serial) == (client, serial)
        ]
        for number in completed:
            del self._calls[number]
        return completed

    def set_read_index(self, number: int, index: int) -> None:
        """Set the index of a read; ignored where the read is not pending any more."""
        read = self._reads.get(number)
        if read is not None:
            read.index = index

    def complete_reads(self, applied: int) -> list[int]:
        """Complete the reads whose index is applied.

        :returns: their numbers
        """
        completed = [
            number for number, read in self._reads.items() if read.index is not None and read.index <= applied
        ]
        for number in completed:
            del self._reads[number]
        return completed
