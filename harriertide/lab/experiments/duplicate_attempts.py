"""Look for duplicate attempts on real sockets: attempts that end in every way, and nodes that read late.

Usage: second_copy [options]

One process is the nodes: it reads its connections late, as a machine short of processor time does, and in a
random order each time. It counts a request that arrives while an earlier attempt of its id has a connection
open. Of these, `unread` had the end of one of the two connections lying in its socket already: the broker had
closed it, and only the order of reading made it look like a duplicate. `open` had not: that would be the
broker's own fault.

The other process is the broker's own reducer, runtime and client of nodes under a decision module that does
nothing but retry at once, and cancels now and then.

Options:
  --attempts=N   attempts in all [default: 200000]
  --width=N      requests open at a time [default: 64]
  --late-ms=X    mean time between two looks at the sockets [default: 2]
  --settle-ms=X  in place of the reducer's own gap between attempts
  --seed=N       of all that is random [default: 1]
  --json         one line of JSON
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import random
import sys
from collections import Counter
from collections.abc import AsyncIterator

from docopt import docopt

from harriertide.core import events as ev
from harriertide.core import requests
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine.clock import Clock
from harriertide.engine.runtime import Attempt, AttemptResult, Runtime
from harriertide.http.errors import AttemptFailedError
from harriertide.http.limits import OWN_MEMORY_MB, Limits
from harriertide.http.node_client import NodeClient
from harriertide.http.node_response import classify_response
from harriertide.lab.rigs.late_reading_nodes import NODE_COUNT, LateReadingNodes

BODY_PART = b"x" * 1000
BODY_PART_COUNT = 2
BODY_PAUSE_S = 0.002  # between the parts: a node may respond before the last one
STREAMED_BODY_EVERY = 4  # one request in so many has a streamed body
REQUEST_DEADLINE_US = 2_000_000
ATTEMPT_TIMEOUT_US = 150_000
CONNECT_TIMEOUT_US = 500_000
IDLE_TIMEOUT_US = 5_000_000
MAX_ATTEMPTS = 4
MEMORY_BYTES = 256 << 20  # of the client; nothing here comes near it
CANCEL_PROBABILITY = 0.002  # of a timer that cancels all open attempts, at each decision
CANCEL_AFTER_US = 1_000


class EagerScheduler:
    """A decision module that retries at once, on a random node, and cancels some attempts."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._random = random.Random(seed)
        self._max_attempts = settings.max_attempts
        self._finished_attempts: dict[str, int] = {}  # by the id of an open request

    def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Answer events with actions, as the project's own decision module."""
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.Arrival):
                self._finished_attempts[event.request_id] = 0
                actions.append(self._start_attempt(event.request_id, now_us))
            elif isinstance(event, api.AttemptFinished) and event.request_id in self._finished_attempts:
                actions += self._on_attempt_finished(event, now_us)
            elif isinstance(event, api.TimerFired):
                actions += [api.CancelAttempt(*attempt) for attempt in self._finished_attempts.items()]
        if self._finished_attempts and self._random.random() < CANCEL_PROBABILITY:
            actions.append(api.SetTimer(CANCEL_AFTER_US, 1))
        return actions

    def _on_attempt_finished(self, event: api.AttemptFinished, now_us: int) -> list[api.Action]:
        request_id = event.request_id
        self._finished_attempts[request_id] += 1
        if event.is_final:
            del self._finished_attempts[request_id]
            return []
        if self._finished_attempts[request_id] < self._max_attempts:
            return [self._start_attempt(request_id, now_us)]
        del self._finished_attempts[request_id]
        return [api.Reject(request_id, 0)]

    def _start_attempt(self, request_id: str, now_us: int) -> api.StartAttempt:
        node_id = f"n{self._random.randrange(NODE_COUNT)}"
        return api.StartAttempt(request_id, node_id, now_us + ATTEMPT_TIMEOUT_US)


async def _stream_body() -> AsyncIterator[bytes]:
    """A body that comes in two parts, a moment apart."""
    yield BODY_PART
    await asyncio.sleep(BODY_PAUSE_S)
    yield BODY_PART


class _Job:
    """A request without a client."""

    context = None

    def __init__(self, client: NodeClient, request_id: str, free_slots: asyncio.Semaphore) -> None:
        self._client = client
        self._request_id = request_id
        self._free_slots = free_slots

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """As the platform's front; a quarter with streamed bodies, as the object front has."""
        headers = {"X-Call-Id": self._request_id}
        if int(self._request_id, 16) % STREAMED_BODY_EVERY:
            return AttemptResult(*await self._client.exchange(attempt, "GET", "/api", headers, b""))
        headers["Content-Length"] = str(BODY_PART_COUNT * len(BODY_PART))
        try:
            async with self._client.open(attempt, "PUT", "/api", headers, _stream_body()) as response:
                await response.read()
                return AttemptResult(classify_response(response))
        except AttemptFailedError as error:
            return AttemptResult(error.outcome)

    def has_client_disconnected(self) -> bool:
        return False

    def respond(self, answer: ev.Respond) -> None:
        """Let the next request start."""
        self._free_slots.release()


async def send_requests(ports: list[int], attempts: int, width: int, seed: int) -> Counter[str]:
    """Send requests until so many attempts were made; the counts of the reducer and the client.

    :param ports: of the nodes
    :param width: requests open at a time
    """
    request_class = api.RequestClass(latency_objective_us=ATTEMPT_TIMEOUT_US, deadline_us=REQUEST_DEADLINE_US)
    settings = api.Settings(
        broker_index=0,
        broker_count=1,
        shard_count=1,
        classes=(request_class,),
        plans=(api.Plan(),),
        max_attempts=MAX_ATTEMPTS,
    )
    core = Reducer(settings, seed, EagerScheduler)
    runtime = Runtime(core, Clock(asyncio.get_running_loop()))
    limits = Limits(
        memory_bytes=MEMORY_BYTES,
        own_memory_bytes=OWN_MEMORY_MB << 20,
        process_count=1,
        max_client_connections=1,
        max_node_connections=4 * width,
    )
    addresses = {f"n{index}": f"127.0.0.1:{port}" for index, port in enumerate(ports)}
    client = NodeClient(addresses.get, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, limits)
    entries = tuple(api.NodeEntry(node_id, 0) for node_id in addresses)
    runtime.post(ev.EndpointsUpdated(api.EndpointUpdate("cached", entries)))
    free_slots = asyncio.Semaphore(width)
    number = 0
    while core.counts["attempts"] < attempts:
        await free_slots.acquire()
        number += 1
        request_id = f"{number:016x}"
        deadline_at_us = runtime.clock.now_us() + REQUEST_DEADLINE_US
        arrival = api.Arrival(request_id, 0, 0, "v", 0, deadline_at_us)
        runtime.submit(arrival, _Job(client, request_id, free_slots))
    for _ in range(width):
        await free_slots.acquire()
    await client.close()
    return core.counts + client.counts


def count_duplicates(attempts: int, width: int, late_ms: float, seed: int) -> dict[str, int]:
    """Run both processes; counts of what the nodes saw and what the broker's side did."""
    context = multiprocessing.get_context("spawn")  # a fork would take the caller's loop and sockets along
    own_end, nodes_end = context.Pipe()
    nodes = LateReadingNodes(seed, late_ms / 1000)
    process = context.Process(target=nodes.run, args=(nodes_end,), daemon=True)
    process.start()
    try:
        broker_counts = asyncio.run(send_requests(own_end.recv(), attempts, width, seed))
        own_end.send("end")
        node_counts: dict[str, int] = own_end.recv()
    finally:
        own_end.close()
        process.join()
    figures = {"open": 0, "unread": 0}
    figures |= dict(sorted(node_counts.items()))
    figures["held back"] = broker_counts["second_copy_held_back"]
    figures |= {name: count for name, count in sorted(broker_counts.items()) if name.startswith("outcome_")}
    return figures


def main(arguments: list[str]) -> int:
    """Print what was found; 1 where the broker itself made a duplicate attempt."""
    given = docopt(__doc__ or "", arguments)
    if given["--settle-ms"] is not None:
        requests.RETRY_GAP_US = int(1000 * float(given["--settle-ms"]))
    figures = count_duplicates(
        int(given["--attempts"]), int(given["--width"]), float(given["--late-ms"]), int(given["--seed"])
    )
    if given["--json"]:
        print(json.dumps(figures))
    else:
        print("\n".join(f"{name:24} {count:9}" for name, count in figures.items()))
    return 1 if figures["open"] else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
