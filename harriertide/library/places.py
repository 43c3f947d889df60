"""Who takes part in an exchange, and in which place: the hand-over rule. Pure; time is an argument.

Each instance hears the beats of the others and judges by itself. A view is the members that it takes to be
there, in the order of their numbers; an instance's place is its position there. Messages count only between
instances whose views are the same, so that a place never means two instances at once. A member that falls
silent leaves the view and the others move up; one that comes back joins anew.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

BEAT_US = 60_000  # between an instance's beats
SILENT_US = 240_000  # after so long without one it counts as gone: four lost in a row
LATE_US = 120_000  # a look that is later than this was held up here: nobody else is to blame


@dataclass(frozen=True, slots=True)
class View:
    """The members at a moment, as seen here."""

    members: tuple[int, ...]
    own: int

    @property
    def place(self) -> int:
        """This instance's number among them."""
        return self.members.index(self.own)

    @property
    def mark(self) -> int:
        """The same for the same members, as a message carries it."""
        return crc32(b"".join(member.to_bytes(4, "big") for member in self.members))


class Places:
    """One instance's judgement of who is there."""

    def __init__(self, own: int, now_us: int) -> None:
        self.view = View((own,), own)
        self._heard: dict[int, int] = {}  # other members: when last
        self._marks: dict[int, int] = {}  # and their views
        self._looked_us = now_us

    def heard(self, member: int, mark: int, now_us: int) -> None:
        """A beat of another member, with the mark of its view."""
        if member != self.view.own:
            self._heard[member] = now_us
            self._marks[member] = mark

    def left(self, member: int) -> None:
        """A member has said that it goes."""
        self._heard.pop(member, None)
        self._marks.pop(member, None)

    def look(self, now_us: int) -> View | None:
        """Judge; the new view where it has changed. To be called once a beat.

        Guards against a paused instance taking the others for dead: the time that it was held up itself is
        not counted against them.
        """
        late_us = now_us - self._looked_us - BEAT_US
        self._looked_us = now_us
        if late_us > LATE_US:
            for member in self._heard:
                self._heard[member] = min(now_us, self._heard[member] + late_us)
        for member in [m for m, at in self._heard.items() if now_us - at > SILENT_US]:
            self.left(member)
        members = tuple(sorted((self.view.own, *self._heard)))
        if members == self.view.members:
            return None
        self.view = View(members, self.view.own)
        return self.view

    def place_of(self, member: int) -> int | None:
        """The place of one whose view is this one; None for all others, whose messages don't count."""
        if member not in self.view.members or self._marks.get(member) != self.view.mark:
            return None
        return self.view.members.index(member)
