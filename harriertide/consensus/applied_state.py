"""What a broker has applied: its state machine, the sessions of clients, and a chain of hashes over both."""

from __future__ import annotations

from typing import Protocol

import xxhash
from msgspec import msgpack

from harriertide.consensus.messages import Entry
from harriertide.consensus.sessions import Sessions


class StateMachine(Protocol):
    """What is agreed on. apply must depend on nothing but the state and its arguments."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a command.

        :returns: the answer to whoever called
        """

    def dump(self) -> bytes:
        """The whole state."""

    def load(self, data: bytes) -> None:
        """Replace the state by a dump."""


class AppliedState:
    """A state machine behind its sessions. All brokers have the same at the same index.

    The digest is a chain of hashes of all entries: brokers whose digests differ at an index have applied
    different entries.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self.sessions = Sessions()
        self.last_applied = 0
        self.digest = 0

    def apply(self, entry: Entry) -> tuple[bytes, bool]:
        """Apply the next entry.

        :returns: the answer, and whether the entry took effect now: False for a repeated command
        """
        self.last_applied = entry.index
        answer, fresh = b"", False
        if entry.kind == "command":
            answer, fresh = self.sessions.apply_once(
                entry.client, entry.serial, lambda: self.machine.apply(entry.index, entry.data)
            )
        link = b"%d %d %d " % (self.digest, entry.index, entry.term) + entry.data
        self.digest = xxhash.xxh3_64_intdigest(link)
        return answer, fresh

    def dump(self) -> bytes:
        """State, sessions and digest, as a snapshot carries them."""
        return msgpack.encode((self.digest, self.sessions.dump(), self.machine.dump()))

    def load(self, index: int, data: bytes) -> None:
        """Replace all by a dump as of an index."""
        self.digest, sessions, state = msgpack.decode(data, type=tuple[int, bytes, bytes])
        self.sessions.load(sessions)
        self.machine.load(state)
        self.last_applied = index
