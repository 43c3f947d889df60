"""Look for second copies on real sockets: attempts that end in every way, and boxes that read late.

Usage: second_copy [options]

One process is the boxes: it reads its connections late, as a machine short of processor does, and in an order
drawn anew each time. It counts a request that arrives while an earlier attempt of its id has a connection
open. Of these, `unread` had the end of one of the two connections lying in its socket already: the broker had
closed it, and only the order of reading brought the second copy. `open` had not: that would be the broker's
own fault.

The other process is the broker's own reducer, runtime and client of nodes under a decision module that does
nothing but try again at once, and cancels now and then.

Options:
  --attempts=N   attempts in all [default: 200000]
  --width=N      requests open at a time [default: 64]
  --late-ms=X    mean time between two looks at the sockets [default: 2]
  --settle-ms=X  in place of the reducer's own gap between attempts
  --seed=N       of all that is drawn [default: 1]
  --json         one line of JSON
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import random
import select
import socket
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

from docopt import docopt

from harriertide.core import events as ev
from harriertide.core import requests
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine.clock import Clock
from harriertide.engine.runtime import Attempt, AttemptResult, Runtime
from harriertide.http.errors import AttemptFailedError
from harriertide.http.limits import Limits
from harriertide.http.node_client import NodeClient
from harriertide.http.node_response import classify_response

BOXES = 4
PIECE = b"x" * 1000
DEADLINE_US, STOP_US = 2_000_000, 150_000
_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata"
_PART = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndata"
# How a box ends an attempt, and how often: what it writes, then what becomes of the connection.
ENDS: dict[str, tuple[int, bytes, str]] = {
    "whole": (40, _WHOLE, "keep"),
    "whole, closed": (5, _WHOLE, "close"),
    "error": (8, b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", "keep"),
    "turned away": (8, b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", "keep"),
    "nothing, closed": (5, b"", "close"),
    "nothing, half closed": (8, b"", "half"),
    "part, half closed": (8, _PART, "half"),
    "part, reset": (5, _PART, "reset"),
    "part, left so": (4, _PART, "left"),
    "silent": (2, b"", "left"),
    "spoilt": (5, b"\x00\xff no answer\r\n\r\n", "left"),
    "surplus": (2, _WHOLE + _WHOLE, "left"),
}


@dataclass(slots=True, eq=False)
class _Peer:
    """A broker's connection at a box."""

    socket: socket.socket
    got: bytes = b""
    out: str = ""  # the id of the attempt that is out on it
    how: str = ""  # the end that was drawn for it


@dataclass(slots=True)
class Boxes:
    """All boxes of the experiment, on one thread that is late."""

    seed: int
    late_s: float
    counts: Counter[str] = field(default_factory=Counter)
    out: dict[str, set[_Peer]] = field(default_factory=dict)

    def run(self, pipe: Connection) -> None:
        """Serve until something comes through the pipe; then send the counts."""
        draw = random.Random(self.seed)
        doors = [socket.create_server(("127.0.0.1", 0), backlog=512) for _ in range(BOXES)]
        pipe.send([door.getsockname()[1] for door in doors])
        poll = select.epoll()
        peers: dict[int, _Peer] = {}
        by_door = {door.fileno(): door for door in doors}
        for number in (*by_door, pipe.fileno()):
            poll.register(number, select.EPOLLIN)
        while True:
            time.sleep(draw.expovariate(1 / self.late_s) if self.late_s else 0)
            ready = [number for number, _ in poll.poll(0.5)]
            draw.shuffle(ready)
            for number in ready:
                if number == pipe.fileno():
                    with suppress(OSError, EOFError):  # the other side has failed: end with it
                        pipe.recv()
                        pipe.send(dict(self.counts))
                    return
                if number in by_door:
                    made, _ = by_door[number].accept()
                    made.setblocking(False)
                    peers[made.fileno()] = _Peer(made)
                    poll.register(made.fileno(), select.EPOLLIN)
                elif (peer := peers.get(number)) is not None and not self._read(peer, draw):
                    self._over(peer)
                    del peers[number]
                    poll.unregister(number)
                    peer.socket.close()

    def _over(self, peer: _Peer) -> None:
        if peer.out:
            self.out[peer.out].discard(peer)
            if not self.out[peer.out]:
                del self.out[peer.out]
            peer.out = ""

    def _read(self, peer: _Peer, draw: random.Random) -> bool:
        """All that lies there; False at the end of the connection."""
        while True:
            try:
                data = peer.socket.recv(65536)
            except BlockingIOError:
                return True
            except OSError:
                return False
            if not data:
                return False
            peer.got += data
            while b"\r\n\r\n" in peer.got:
                head, _, rest = peer.got.partition(b"\r\n\r\n")
                size = int((head.partition(b"Content-Length: ")[2] or b"0").split(b"\r\n")[0])
                if len(rest) < size:
                    break  # an attempt arrives with its last byte
                peer.got = rest[size:]
                if not self._take(peer, head.partition(b"X-Call-Id: ")[2].split(b"\r\n")[0].decode(), draw):
                    return False

    def _take(self, peer: _Peer, request: str, draw: random.Random) -> bool:
        """An attempt has arrived."""
        self.counts["attempts"] += 1
        self._over(peer)
        others = self.out.setdefault(request, set())
        for other in others:
            what = "unread" if _ended(other) or _ended(peer) else "open"
            self.counts.update((what, f"{what} after {other.how}"))
        others.add(peer)
        peer.out = request
        names = list(ENDS)
        name = draw.choices(names, [ENDS[name][0] for name in names])[0]
        _, data, then = ENDS[name]
        peer.how = name
        self.counts[name] += 1
        try:
            peer.socket.send(data)
            if then == "keep":
                self._over(peer)
            elif then == "half":
                peer.socket.shutdown(socket.SHUT_WR)
            elif then == "reset":
                peer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            return False
        return then not in ("close", "reset")


def _ended(peer: _Peer) -> bool:
    """Whether the end of a connection lies unread in its socket."""
    poll = select.poll()
    poll.register(peer.socket.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class Eager:
    """Tries again at once, on a drawn box, as often as it may; cancels some attempts."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._draw, self._most = random.Random(seed), settings.max_attempts
        self._open: dict[str, int] = {}

    def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """As the project's own."""
        done: list[api.Action] = []
        for event in events:
            if isinstance(event, api.Arrival):
                self._open[event.request_id] = 0
                done.append(self._send(event.request_id, now_us))
            elif isinstance(event, api.AttemptFinished) and event.request_id in self._open:
                self._open[event.request_id] += 1
                if event.is_final:
                    del self._open[event.request_id]
                elif self._open[event.request_id] < self._most:
                    done.append(self._send(event.request_id, now_us))
                else:
                    del self._open[event.request_id]
                    done.append(api.Reject(event.request_id, 0))
            elif isinstance(event, api.TimerFired):
                done += [api.CancelAttempt(name, made) for name, made in self._open.items()]
        if self._open and self._draw.random() < 0.002:
            done.append(api.SetTimer(1_000, 1))
        return done

    def _send(self, request: str, now_us: int) -> api.StartAttempt:
        return api.StartAttempt(request, f"n{self._draw.randrange(BOXES)}", now_us + STOP_US)


async def _pieces() -> AsyncIterator[bytes]:
    """A body that comes in two pieces, a moment apart."""
    yield PIECE
    await asyncio.sleep(0.002)
    yield PIECE


class _Job:
    """A request without a client."""

    context = None

    def __init__(self, client: NodeClient, request: str, done: asyncio.Semaphore) -> None:
        self._client, self._request, self._done = client, request, done

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """As the platform's front; a quarter with bodies that pass through, as the object front has."""
        headers = {"X-Call-Id": self._request}
        if int(self._request, 16) % 4:
            return AttemptResult(*await self._client.exchange(attempt, "GET", "/api", headers, b""))
        headers["Content-Length"] = str(2 * len(PIECE))
        try:
            async with self._client.open(attempt, "PUT", "/api", headers, _pieces()) as answer:
                await answer.read()
                return AttemptResult(classify_response(answer))
        except AttemptFailedError as end:
            return AttemptResult(end.outcome)

    def has_client_disconnected(self) -> bool:
        return False

    def respond(self, answer: ev.Respond) -> None:
        """Room for the next one."""
        self._done.release()


async def drive(ports: list[int], attempts: int, width: int, seed: int) -> Counter[str]:
    """Requests until so many attempts were made; the counts of the reducer and the client."""
    kind = api.RequestClass(latency_objective_us=STOP_US, deadline_us=DEADLINE_US)
    settings = api.Settings(
        broker_index=0, broker_count=1, shard_count=1, classes=(kind,), plans=(api.Plan(),), max_attempts=4
    )
    core = Reducer(settings, seed, Eager)
    runtime = Runtime(core, Clock(asyncio.get_running_loop()))
    limits = Limits(
        max_client_connections=1,
        max_node_connections=4 * width,
        max_response_bytes=65536,
        max_buffered_response_bytes=1 << 24,
        max_buffered_request_bytes=1 << 24,
    )
    dial = {f"n{place}": f"127.0.0.1:{port}" for place, port in enumerate(ports)}
    client = NodeClient(dial.get, 500_000, 5_000_000, limits)
    runtime.post(
        ev.EndpointsUpdated(api.EndpointUpdate("cached", tuple(api.NodeEntry(name, 0) for name in dial)))
    )
    done, number = asyncio.Semaphore(width), 0
    while core.counts["attempts"] < attempts:
        await done.acquire()
        number += 1
        name = f"{number:016x}"
        deadline_at_us = runtime.clock.now_us() + DEADLINE_US
        runtime.submit(api.Arrival(name, 0, 0, "v", 0, deadline_at_us), _Job(client, name, done))
    for _ in range(width):
        await done.acquire()
    await client.close()
    return core.counts + client.counts


def look(attempts: int, width: int, late_ms: float, seed: int) -> dict[str, int]:
    """Counts of what the boxes saw and what the broker's side did."""
    context = multiprocessing.get_context("spawn")  # a fork would take the caller's loop and sockets along
    near, far = context.Pipe()
    boxes = context.Process(target=Boxes(seed, late_ms / 1000).run, args=(far,), daemon=True)
    boxes.start()
    try:
        counts = asyncio.run(drive(near.recv(), attempts, width, seed))
        near.send("end")
        seen: dict[str, int] = near.recv()
    finally:
        near.close()
        boxes.join()
    figures = {"open": 0, "unread": 0} | dict(sorted(seen.items()))
    figures["held back"] = counts["second_copy_held_back"]
    return figures | {name: count for name, count in sorted(counts.items()) if name.startswith("outcome_")}


def main(arguments: list[str]) -> int:
    """Print what was found; 1 where the broker itself made a second copy."""
    given = docopt(__doc__ or "", arguments)
    if given["--settle-ms"] is not None:
        requests.CUT_OFF_GAP_US = int(1000 * float(given["--settle-ms"]))
    figures = look(
        int(given["--attempts"]), int(given["--width"]), float(given["--late-ms"]), int(given["--seed"])
    )
    if given["--json"]:
        print(json.dumps(figures))
    else:
        print("\n".join(f"{name:24} {count:9}" for name, count in figures.items()))
    return 1 if figures["open"] else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
