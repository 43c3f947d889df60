"""How the brokers of one service reach each other: what the library's broker asks of a transport."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol, TypeAlias

from harriertide.core import events as ev
from harriertide.library.membership import MembershipView

PostEvent: TypeAlias = Callable[[ev.Event], None]
OnViewChanged: TypeAlias = Callable[[MembershipView], None]


class PeerTransport(Protocol):
    """One broker's access to the others of its service."""

    counts: Counter[str]

    async def join(self, post: PostEvent, on_view_changed: OnViewChanged) -> None:
        """Take part.

        :param post: takes the messages of others, as events of the core
        :param on_view_changed: called with each new view, the first one included
        """

    def send(self, recipient_index: int, body: bytes) -> None:
        """Send a message to the broker with this index; it may be lost."""

    async def leave(self) -> None:
        """Tell the others, and take part no more."""
