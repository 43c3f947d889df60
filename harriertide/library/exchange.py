"""How brokers of one service hear of each other: in one process, or over loopback between processes.

Each is a seat of its own broker: Broker(..., exchange=Loopback(29000)).
"""

from __future__ import annotations

import asyncio
import threading
from collections import Counter
from collections.abc import Callable
from struct import Struct, error
from typing import Any, Protocol

from harriertide.core import events as ev
from harriertide.decide.settings import SettingsError
from harriertide.library.places import BEAT_US, Places, View

Post = Callable[[ev.Event], None]
TakeView = Callable[[View], None]
NOTE_BYTES = 256


class Exchange(Protocol):
    """One broker's seat among the others."""

    counts: Counter[str]

    async def join(self, post: Post, take: TakeView) -> None:
        """Take part: what others say is posted, and each new view is told."""

    def tell(self, head: int, body: bytes) -> None:
        """Send one message to the broker in that place; it may be lost."""

    async def leave(self) -> None:
        """Tell the others, and take part no more."""


_BEAT = Struct("!4sBI")  # magic, what it is, mark of the sender's view
_MAGIC, _ALIVE, _GONE = b"hbt1", 1, 2


class Loopback(asyncio.DatagramProtocol):
    """Datagrams between processes on loopback. Its member number is the port that it got, of ports in a row.

    What comes from elsewhere than those ports, or can't be read, has no effect. A worker that is started
    again takes a free port, its old one or another's.
    """

    def __init__(self, first_port: int, ports: int = 16, host: str = "127.0.0.1") -> None:
        if not host.startswith("127."):
            raise SettingsError(f"exchange: {host} is no loopback address")
        self.counts: Counter[str] = Counter()
        self._host, self._ports = host, range(first_port, first_port + ports)
        self._places: Places | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def join(self, post: Post, take: TakeView) -> None:
        self._post, self._take = post, take
        self._loop = asyncio.get_running_loop()
        for port in self._ports:
            try:
                await self._loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, port))
            except OSError:
                continue  # somebody's seat
            self._places = Places(port, self._now_us())
            take(self._places.view)
            self._beat()
            return
        raise SettingsError(f"exchange: all ports from {self._ports[0]} to {self._ports[-1]} are taken")

    def _now_us(self) -> int:
        return int(self._loop.time() * 1_000_000)

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def _beat(self) -> None:
        """Look who is there, then say so to all."""
        assert self._places is not None
        self._timer = self._loop.call_at(self._loop.time() + BEAT_US / 1e6, self._beat)
        view = self._places.look(self._now_us())
        if view is not None:
            self.counts["views"] += 1
            self._take(view)
        self._say(_ALIVE)

    def _say(self, what: int) -> None:
        assert self._places is not None
        if self._transport is None or self._transport.is_closing():
            return
        view = self._places.view
        for port in self._ports:
            if port != view.own:
                self._transport.sendto(_BEAT.pack(_MAGIC, what, view.mark), (self._host, port))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        places, (host, port) = self._places, addr[:2]
        if places is None or host != self._host or port not in self._ports or len(data) > NOTE_BYTES:
            self.counts["junk"] += 1
            return
        if data[:4] == _MAGIC:
            try:
                _, what, mark = _BEAT.unpack(data)
            except error:
                self.counts["junk"] += 1
                return
            if what == _ALIVE:
                places.heard(port, mark, self._now_us())
            elif what == _GONE:
                places.left(port)
            return
        place = places.place_of(port)
        if place is None:
            self.counts["other_view"] += 1
            return
        self.counts["notes_in"] += 1
        self._post(ev.PeerMessageReceived(place, data))

    def error_received(self, exc: Exception) -> None:
        """A port where nobody listens."""

    def tell(self, head: int, body: bytes) -> None:
        places, transport = self._places, self._transport
        if places is None or transport is None or not 0 <= head < len(places.view.members):
            return
        self.counts["notes_out"] += 1
        transport.sendto(body, (self._host, places.view.members[head]))

    async def leave(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._say(_GONE)
            self._transport.close()


class Hub:
    """The exchange of brokers in one process, in any of its event loops and threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seats: dict[int, Seat] = {}
        self._number = 0

    def seat(self) -> Seat:
        """For one broker."""
        return Seat(self)

    def enter(self, seat: Seat) -> int:
        """Its number."""
        with self._lock:
            self._number += 1
            self._seats[self._number] = seat
            return self._number

    def gone(self, number: int) -> None:
        """Its seat is free."""
        with self._lock:
            self._seats.pop(number, None)

    def tell_views(self) -> None:
        """Each hears, on its own loop, who is there; a loop that was closed without a word is gone."""
        while True:
            with self._lock:
                seats = dict(self._seats)
            members = tuple(sorted(seats))
            dead = [number for number, seat in seats.items() if not seat.hear_view(View(members, number))]
            for number in dead:
                self.gone(number)
            if not dead:
                return

    def pass_on(self, sender: View, head: int, body: bytes) -> None:
        """A message from one seat to another of the same view."""
        if not 0 <= head < len(sender.members):
            return
        number = sender.members[head]
        with self._lock:
            seat = self._seats.get(number)
        if seat is not None and not seat.hear(sender, body):
            self.gone(number)
            self.tell_views()


class Seat:
    """One broker's place in a Hub."""

    def __init__(self, hub: Hub) -> None:
        self.counts: Counter[str] = Counter()
        self._hub = hub
        self._number = 0
        self._view: View | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    async def join(self, post: Post, take: TakeView) -> None:
        self._post, self._take = post, take
        self._loop = asyncio.get_running_loop()
        self._number = self._hub.enter(self)
        self._new_view(View((self._number,), self._number))
        self._hub.tell_views()

    def _on_loop(self, what: Callable[..., None], *given: object) -> bool:
        """Whether its loop still takes something."""
        try:
            assert self._loop is not None
            self._loop.call_soon_threadsafe(what, *given)
        except RuntimeError:
            return False
        return True

    def hear_view(self, view: View) -> bool:
        """From any thread."""
        return self._on_loop(self._new_view, view)

    def hear(self, sender: View, body: bytes) -> bool:
        """From any thread."""
        return self._on_loop(self._note, sender, body)

    def _new_view(self, view: View) -> None:
        if view != self._view:
            self._view = view
            self.counts["views"] += 1
            self._take(view)

    def _note(self, sender: View, body: bytes) -> None:
        if self._view is None or self._view.members != sender.members:
            self.counts["other_view"] += 1
            return
        self.counts["notes_in"] += 1
        self._post(ev.PeerMessageReceived(sender.place, body))

    def tell(self, head: int, body: bytes) -> None:
        if self._view is not None:
            self.counts["notes_out"] += 1
            self._hub.pass_on(self._view, head, body)

    async def leave(self) -> None:
        self._hub.gone(self._number)
        self._hub.tell_views()
