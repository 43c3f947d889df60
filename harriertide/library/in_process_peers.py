"""Brokers in one process, in any of its event loops and threads.

peers = InProcessPeers()
Broker(..., peers=peers.add_peer())
"""

from __future__ import annotations

import asyncio
import threading
from collections import Counter
from collections.abc import Callable

from harriertide.core import events as ev
from harriertide.library.membership import MembershipView
from harriertide.library.peer_transport import OnViewChanged, PostEvent


class InProcessPeers:
    """The brokers of one process that share. Its methods may be called from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._peers: dict[int, InProcessPeer] = {}
        self._last_id = 0

    def add_peer(self) -> InProcessPeer:
        """The transport for one more broker."""
        return InProcessPeer(self)

    def register(self, peer: InProcessPeer) -> int:
        """Take a peer in.

        :returns: its member id
        """
        with self._lock:
            self._last_id += 1
            self._peers[self._last_id] = peer
            return self._last_id

    def unregister(self, member: int) -> None:
        """Take a peer out."""
        with self._lock:
            self._peers.pop(member, None)

    def publish_views(self) -> None:
        """Give each peer the new view, on its own loop. One whose loop was closed without leaving is out."""
        while True:
            with self._lock:
                peers = dict(self._peers)
            members = tuple(sorted(peers))
            closed = [
                member
                for member, peer in peers.items()
                if not peer.deliver_view(MembershipView(members, member))
            ]
            for member in closed:
                self.unregister(member)
            if not closed:
                return

    def forward(self, sender: MembershipView, recipient_index: int, body: bytes) -> None:
        """Pass a message on to a peer with the sender's view."""
        if not 0 <= recipient_index < len(sender.members):
            return
        member = sender.members[recipient_index]
        with self._lock:
            peer = self._peers.get(member)
        if peer is not None and not peer.deliver_message(sender, body):
            self.unregister(member)
            self.publish_views()


class InProcessPeer:
    """One broker's access to the others of its process."""

    def __init__(self, peers: InProcessPeers) -> None:
        self.counts: Counter[str] = Counter()
        self._peers = peers
        self._own_id = 0
        self._view: MembershipView | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    async def join(self, post: PostEvent, on_view_changed: OnViewChanged) -> None:
        """Take part."""
        self._post = post
        self._on_view_changed = on_view_changed
        self._loop = asyncio.get_running_loop()
        self._own_id = self._peers.register(self)
        self._take_view(MembershipView((self._own_id,), self._own_id))
        self._peers.publish_views()

    def send(self, recipient_index: int, body: bytes) -> None:
        """Send a message to the broker with this index."""
        if self._view is not None:
            self.counts["notes_out"] += 1
            self._peers.forward(self._view, recipient_index, body)

    async def leave(self) -> None:
        """Take part no more."""
        self._peers.unregister(self._own_id)
        self._peers.publish_views()

    def deliver_view(self, view: MembershipView) -> bool:
        """Hand a new view over, from any thread.

        :returns: whether the loop of this broker still runs
        """
        return self._call_on_loop(self._take_view, view)

    def deliver_message(self, sender: MembershipView, body: bytes) -> bool:
        """Hand a message over, from any thread.

        :returns: whether the loop of this broker still runs
        """
        return self._call_on_loop(self._take_message, sender, body)

    def _call_on_loop(self, function: Callable[..., None], *arguments: object) -> bool:
        assert self._loop is not None
        try:
            self._loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:  # the loop is closed
            return False
        return True

    def _take_view(self, view: MembershipView) -> None:
        if view != self._view:
            self._view = view
            self.counts["views"] += 1
            self._on_view_changed(view)

    def _take_message(self, sender: MembershipView, body: bytes) -> None:
        if self._view is None or self._view.members != sender.members:
            self.counts["other_view"] += 1
            return
        self.counts["notes_in"] += 1
        self._post(ev.PeerMessageReceived(sender.broker_index, body))
