"""Client sessions: each command takes effect once, however often it is proposed (Ongaro 2014, 6.3).

Answers are part of the replicated state, so all members hold the same answers at the same log index.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import msgpack

# Most recently used clients and latest answers per client that are kept: bounds the sessions in a snapshot. A
# client repeats only its latest calls, and a fleet has 200 brokers with one client per process.
MAX_CLIENT_COUNT = 1024
MAX_ANSWERS_PER_CLIENT = 64
FORGOTTEN_ANSWER = b"\xa9forgotten"  # msgpack string: the answer to this old command was dropped


class Sessions:
    """The answers to the latest commands of each client."""

    def __init__(self) -> None:
        self._answers: dict[str, dict[int, bytes]] = {}  # by client in order of last use, then by serial
        self._forgotten_serials: dict[str, int] = {}  # by client: the highest serial with a dropped answer

    def apply_once(self, client: str, serial: int, apply: Callable[[], bytes]) -> tuple[bytes, bool]:
        """Apply a command unless it was applied before.

        :returns: the answer, and whether this call applied the command
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
        while len(answers) > MAX_ANSWERS_PER_CLIENT:
            oldest_serial = min(answers)
            self._forgotten_serials[client] = max(self._forgotten_serials.get(client, 0), oldest_serial)
            del answers[oldest_serial]

    def _forget_clients(self) -> None:
        while len(self._answers) > MAX_CLIENT_COUNT:
            least_recent_client = next(iter(self._answers))
            del self._answers[least_recent_client]
            self._forgotten_serials.pop(least_recent_client, None)

    def find(self, client: str, serial: int) -> bytes | None:
        """Return the answer to a command; None if the command was not applied or its answer was dropped."""
        return self._answers.get(client, {}).get(serial)

    def dump(self) -> bytes:
        """Encode all sessions for a snapshot."""
        return msgpack.encode((list(self._answers.items()), self._forgotten_serials))

    def load(self, data: bytes) -> None:
        """Replace all sessions with those of a dump."""
        answers, forgotten_serials = msgpack.decode(
            data, type=tuple[list[tuple[str, dict[int, bytes]]], dict[str, int]]
        )
        self._answers = dict(answers)
        self._forgotten_serials = forgotten_serials
