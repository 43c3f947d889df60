"""Brokers in several processes of one machine, which reach each other by datagrams over loopback.

Broker(..., peers=LoopbackPeers(29000))
"""

from __future__ import annotations

import asyncio
from collections import Counter
from struct import Struct, error
from typing import Any

from harriertide.core import events as ev
from harriertide.decide.settings import SettingsError
from harriertide.library.membership import HEARTBEAT_US, Membership
from harriertide.library.peer_transport import OnViewChanged, PostEvent

MAX_MESSAGE_BYTES = 256  # as between the platform's brokers
_HEARTBEAT = Struct("!4sBI")  # magic, kind, checksum of the sender's view
_MAGIC = b"hbt1"
_KIND_ALIVE = 1
_KIND_LEAVING = 2


class LoopbackPeers(asyncio.DatagramProtocol):
    """Datagrams between processes. A broker's member id is the port that it got, of several in a row.

    Datagrams from other ports or hosts, or which can't be read, have no effect. A process that is started
    again takes a free port, its old one or another's.

    :param first_port: of the ports that the brokers of the service use
    :param port_count: how many ports follow each other, and so how many brokers there may be
    :raises SettingsError: the host is not on loopback
    """

    def __init__(self, first_port: int, port_count: int = 16, host: str = "127.0.0.1") -> None:
        if not host.startswith("127."):
            raise SettingsError(f"peers: {host} is no loopback address")
        self.counts: Counter[str] = Counter()
        self._host = host
        self._ports = range(first_port, first_port + port_count)
        self._membership: Membership | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    async def join(self, post: PostEvent, on_view_changed: OnViewChanged) -> None:
        """Take the first free port, and send heartbeats from there.

        :raises SettingsError: all ports are taken
        """
        self._post = post
        self._on_view_changed = on_view_changed
        self._loop = asyncio.get_running_loop()
        for port in self._ports:
            try:
                await self._loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, port))
            except OSError:
                continue  # another broker has it
            self._membership = Membership(port, self._now_us())
            on_view_changed(self._membership.view)
            self._heartbeat()
            return
        raise SettingsError(f"peers: all ports from {self._ports[0]} to {self._ports[-1]} are taken")

    def send(self, recipient_index: int, body: bytes) -> None:
        """Send a message to the broker with this index; it may be lost."""
        if self._membership is None or self._transport is None:
            return
        members = self._membership.view.members
        if 0 <= recipient_index < len(members):
            self.counts["notes_out"] += 1
            self._transport.sendto(body, (self._host, members[recipient_index]))

    async def leave(self) -> None:
        """Tell the others, and close the port."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if self._transport is not None:
            self._announce(_KIND_LEAVING)
            self._transport.close()

    # --- heartbeats -----------------------------------------------------------------------------

    def _now_us(self) -> int:
        return int(self._loop.time() * 1_000_000)

    def _heartbeat(self) -> None:
        """Judge who is alive, then tell all that this broker is."""
        assert self._membership is not None
        next_s = self._loop.time() + HEARTBEAT_US / 1_000_000
        self._heartbeat_timer = self._loop.call_at(next_s, self._heartbeat)
        view = self._membership.update_view(self._now_us())
        if view is not None:
            self.counts["views"] += 1
            self._on_view_changed(view)
        self._announce(_KIND_ALIVE)

    def _announce(self, kind: int) -> None:
        assert self._membership is not None
        if self._transport is None or self._transport.is_closing():
            return
        view = self._membership.view
        heartbeat = _HEARTBEAT.pack(_MAGIC, kind, view.checksum)
        for port in self._ports:
            if port != view.own_id:
                self._transport.sendto(heartbeat, (self._host, port))

    # --- datagrams ------------------------------------------------------------------------------

    def connection_made(self, transport: Any) -> None:
        """The port is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """A heartbeat or a message, from whoever sends to this port."""
        membership = self._membership
        host, port = addr[:2]
        is_member_port = host == self._host and port in self._ports
        if membership is None or not is_member_port or len(data) > MAX_MESSAGE_BYTES:
            self.counts["junk"] += 1
        elif data.startswith(_MAGIC):
            self._on_heartbeat(membership, port, data)
        else:
            self._on_message(membership, port, data)

    def _on_heartbeat(self, membership: Membership, port: int, data: bytes) -> None:
        try:
            _, kind, checksum = _HEARTBEAT.unpack(data)
        except error:
            self.counts["junk"] += 1
            return
        if kind == _KIND_ALIVE:
            membership.record_heartbeat(port, checksum, self._now_us())
        elif kind == _KIND_LEAVING:
            membership.remove_member(port)

    def _on_message(self, membership: Membership, port: int, data: bytes) -> None:
        sender_index = membership.broker_index_of(port)
        if sender_index is None:
            self.counts["other_view"] += 1
            return
        self.counts["notes_in"] += 1
        self._post(ev.PeerMessageReceived(sender_index, data))

    def error_received(self, exc: Exception) -> None:
        """Nobody listens at a port that was sent to: it is not taken, or its broker has failed."""
