"""The applied state of a broker: its state machine, the client sessions and a hash chain over the entries."""

from __future__ import annotations

from typing import Protocol

import xxhash
from msgspec import msgpack

from harriertide.consensus.messages import Entry
from harriertide.consensus.sessions import Sessions


class StateMachine(Protocol):
    """The replicated state machine. apply must be deterministic in the state and its arguments."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a command.

        :returns: the answer for the client
        """

    def dump(self) -> bytes:
        """Encode the whole state."""

    def load(self, data: bytes) -> None:
        """Replace the state with that of a dump."""


class AppliedState:
    """A state machine with its client sessions. All brokers hold the same applied state at the same index.

    The digest is a hash chain of all entries: brokers whose digests differ at an index have applied different
    entries.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self.sessions = Sessions()
        self.last_applied = 0
        self.digest = 0

    def apply(self, entry: Entry) -> tuple[bytes, bool]:
        """Apply the next entry.

        :returns: the answer, and whether the entry took effect: False for a repeated command and for an entry
            without a command
        """
        self.last_applied = entry.index
        answer, took_effect = b"", False
        if entry.kind == "command":
            answer, took_effect = self.sessions.apply_once(
                entry.client, entry.serial, lambda: self.machine.apply(entry.index, entry.data)
            )
        link = b"%d %d %d " % (self.digest, entry.index, entry.term) + entry.data
        self.digest = xxhash.xxh3_64_intdigest(link)
        return answer, took_effect

    def dump(self) -> bytes:
        """Encode the digest, the sessions and the state for a snapshot."""
        return msgpack.encode((self.digest, self.sessions.dump(), self.machine.dump()))

    def load(self, index: int, data: bytes) -> None:
        """Replace the applied state with a dump taken at an index."""
        self.digest, sessions, state = msgpack.decode(data, type=tuple[int, bytes, bytes])
        self.sessions.load(sessions)
        self.machine.load(state)
        self.last_applied = index
