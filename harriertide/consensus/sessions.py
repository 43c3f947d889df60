"""Each proposal has its effect once, however often it comes: what was answered is kept with the state."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import msgpack

CLIENTS, ANSWERS = 1024, 64  # kept: clients by their last use, answers of each
FORGOTTEN = b"\xa9forgotten"  # msgpack of the word: so long ago that it is not known any more


class Sessions:
    """Part of the state machine: all members have the same, by the order of the log."""

    def __init__(self) -> None:
        self._clients: dict[str, dict[int, bytes]] = {}
        self._floors: dict[str, int] = {}  # serials up to this one are forgotten

    def once(self, client: str, serial: int, act: Callable[[], bytes]) -> tuple[bytes, bool]:
        """The answer, and whether it was made just now."""
        answers = self._clients.pop(client, {})
        self._clients[client] = answers  # the last used is the last
        if serial in answers:
            return answers[serial], False
        if serial <= self._floors.get(client, 0):
            return FORGOTTEN, False
        answers[serial] = act()
        while len(answers) > ANSWERS:
            oldest = min(answers)
            self._floors[client] = max(self._floors.get(client, 0), oldest)
            del answers[oldest]
        while len(self._clients) > CLIENTS:
            gone = next(iter(self._clients))
            del self._clients[gone]
            self._floors.pop(gone, None)
        return answers[serial], True

    def find(self, client: str, serial: int) -> bytes | None:
        """What was answered, if it is known."""
        return self._clients.get(client, {}).get(serial)

    def dump(self) -> bytes:
        """All of it."""
        return msgpack.encode((list(self._clients.items()), self._floors))

    def load(self, data: bytes) -> None:
        """In place of what is here."""
        rows, floors = msgpack.decode(data, type=tuple[list[tuple[str, dict[int, bytes]]], dict[str, int]])
        self._clients, self._floors = dict(rows), floors
