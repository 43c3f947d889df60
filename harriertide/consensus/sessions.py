"""Sessions of clients: each command takes effect once, however often it was proposed (Ongaro 2014, 6.3).

Answers are kept with the state, so all members have the same by the order of the log.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import msgpack

# Clients that are kept, by their last use, and answers of each: bounds what sessions add to a snapshot. A
# client repeats its latest calls only, and a fleet has 200 brokers, one client a process.
CLIENT_COUNT = 1024
ANSWER_COUNT = 64
FORGOTTEN_ANSWER = b"\xa9forgotten"  # msgpack of the word: the command is so old that its answer is dropped


class Sessions:
    """Answers to the latest commands of each client."""

    def __init__(self) -> None:
        self._answers: dict[str, dict[int, bytes]] = {}  # by client, the last used last; by serial
        self._forgotten_serials: dict[str, int] = {}  # by client: the answers up to this serial are dropped

    def apply_once(self, client: str, serial: int, apply: Callable[[], bytes]) -> tuple[bytes, bool]:
        """Apply a command unless it was applied before.

        :returns: the answer, and whether the command was applied now
        """
        answers = self._answers.pop(client, {})
        self._answers[client] = answers
        if serial in answers:
            return answers[serial], False
        if serial <= self._forgotten_serials.get(client, 0):
            return FORGOTTEN_ANSWER, False
        answers[serial] = apply()
        self._forget_answers(client)
        self._forget_clients()
        return answers[serial], True

    def _forget_answers(self, client: str) -> None:
        answers = self._answers[client]
        while len(answers) > ANSWER_COUNT:
            oldest = min(answers)
            self._forgotten_serials[client] = max(self._forgotten_serials.get(client, 0), oldest)
            del answers[oldest]

    def _forget_clients(self) -> None:
        while len(self._answers) > CLIENT_COUNT:
            longest_unused = next(iter(self._answers))
            del self._answers[longest_unused]
            self._forgotten_serials.pop(longest_unused, None)

    def find(self, client: str, serial: int) -> bytes | None:
        """The answer to a command, None where it was not applied or its answer is dropped."""
        return self._answers.get(client, {}).get(serial)

    def dump(self) -> bytes:
        """All sessions, as a snapshot carries them."""
        return msgpack.encode((list(self._answers.items()), self._forgotten_serials))

    def load(self, data: bytes) -> None:
        """Replace all sessions by a dump."""
        answers, forgotten_serials = msgpack.decode(
            data, type=tuple[list[tuple[str, dict[int, bytes]]], dict[str, int]]
        )
        self._answers = dict(answers)
        self._forgotten_serials = forgotten_serials
