"""Play one workload through the daemon and through the library, in virtual time, and compare every decision.

Usage: parity [--seconds S] [--seed N] [--kind KIND] [--sockets] [FILE]

FILE is a recorded workload (harriertide serve --record); without one, a workload of each kind is drawn.
Prints `matched N differed 0`, or the first decisions that differ, and then exits with 1.

Options:
  --seconds S  length of a drawn workload [default: 8]
  --seed N     of what is drawn [default: 1]
  --kind KIND  calm, surge, failing, drains, cold or pair (a surge through two brokers that share); else all
  --sockets    in real time on real sockets instead: both scores for five pairs of surges, which may lie 0.02
               apart in their medians
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import count, product, zip_longest
from statistics import median
from typing import Any

from docopt import docopt

from harriertide.cli.daemon import Daemon
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.decide.settings import Names, SettingsError
from harriertide.engine.clock import until
from harriertide.engine.runtime import Runtime
from harriertide.engine.workload import Workload, absolute_event, load
from harriertide.lab.simulation import stand_in_nodes, virtual_time
from harriertide.library import Attempt, Broker, FailedError, Node, NodeList, RejectedError, RequestSpec
from harriertide.library.loopback_peers import LoopbackPeers
from harriertide.library.peer_transport import PeerTransport
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import EMPTY_PAGE
from harriertide.platform.fields import DEADLINE_MARGIN_US

LEAD_S = 0.5  # before the first row
APART = 0.02  # that the scores on sockets may be
SOCKET_UNIT_S = 0.045  # of a box in real time, where one process plays clients, broker and boxes
FIRST_PORT = 29_000  # of brokers that share
CONNECT_US, IDLE_US = 250_000, 15_000_000
Decision = tuple[Any, ...]


@dataclass
class Played:
    """What came of a workload: each decision with its time, and each request's end."""

    decisions: list[Decision] = field(default_factory=list)
    ends: dict[str, tuple[int, str]] = field(default_factory=dict)  # when, and how


def _watch(core: Reducer, start_us: int, played: Played) -> None:
    """Write down what the reducer asks for."""
    step = core.step

    def watched(now_us: int, events: list[ev.Event]) -> list[ev.Effect]:
        effects = step(now_us, events)
        for effect in effects:
            at = now_us - start_us
            if isinstance(effect, ev.StartAttempt):
                stop = effect.stop_at_us - start_us
                played.decisions.append(
                    (at, "attempt", effect.request_id, effect.attempt, effect.node_id, stop)
                )
            elif isinstance(effect, ev.CancelAttempt):
                played.decisions.append((at, "stop", effect.request_id, effect.attempt))
            elif isinstance(effect, ev.Respond):
                played.decisions.append((at, effect.kind, effect.request_id, effect.retry_after_us))
                played.ends[effect.request_id] = (at, effect.kind)
        return effects

    core.step = watched  # type: ignore[method-assign]


Submit = Callable[[api.Arrival], Awaitable[None]]


async def _play(workload: Workload, runtimes: list[Runtime], start_us: int, submit: Submit) -> None:
    """Each row in its time."""
    clock, tasks = runtimes[0].clock, []
    for row in workload.events:
        at_us, event = absolute_event(row, start_us)
        if at_us > clock.now_us():
            await until(clock.loop_time(at_us))
        if isinstance(event, ev.RequestArrived):
            tasks.append(asyncio.ensure_future(submit(event.arrival)))
        else:
            for runtime in runtimes:
                runtime.post(event)
    await asyncio.gather(*tasks)


def _budget_ms(arrival: api.Arrival, now_us: int) -> int:
    return max(1, -(-(arrival.deadline_at_us - now_us + DEADLINE_MARGIN_US) // 1000))


async def _boxes(boxes: list[stand_in_nodes.Box], begin: float) -> dict[str, str]:
    """Bring them up; where each listens."""
    found = {}
    for box in boxes:
        box.begin = begin
        server = await asyncio.start_server(box.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        found[box.name] = f"{host}:{port}"
    return found


async def through_daemon(workload: Workload, boxes: list[stand_in_nodes.Box], brokers: int = 1) -> Played:
    """The platform's front, over HTTP, as a client of the platform sees it; brokers take requests in turn."""
    played, loop = Played(), asyncio.get_running_loop()
    settings = workload.header.settings
    peers = [f"127.0.0.1:{FIRST_PORT + place}" for place in range(brokers)]
    places = await _boxes(boxes, loop.time() + LEAD_S)
    names = Names(
        {f"c{n}": n for n in range(len(settings.classes))}, {f"p{n}": n for n in range(len(settings.plans))},
        {}, CONNECT_US, IDLE_US,
    )  # fmt: skip
    daemons: list[Daemon] = []
    start_us = 0
    for place in range(brokers):
        own = replace(settings, broker_index=place, broker_count=brokers, peer_messages_allowed=brokers > 1)
        config = Config(
            "parity", ("127.0.0.1", 0), "127.0.0.1:1", workload.header.seed + place, own, names,
            ("127.0.0.1", FIRST_PORT + place) if brokers > 1 else None, peers,
            EMPTY_PAGE,
        )  # fmt: skip
        daemon = Daemon(config, None)
        daemon.directory.find = places.get  # type: ignore[assignment]
        await daemon.start()
        start_us = start_us or daemon.runtime.clock.unix_us(loop.time() + LEAD_S)
        _watch(daemon.core, start_us, played)
        daemons.append(daemon)
    clock, turn = daemons[0].runtime.clock, count()

    async def submit(arrival: api.Arrival) -> None:
        port = daemons[next(turn) % brokers].listeners.port(0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        method, body = ("PUT", b"x" * 16) if arrival.request_class else ("GET", b"")
        extent = f"volume={arrival.volume},units={arrival.units:g},shard={arrival.shard}"
        writer.write(
            f"{method} /api?key={arrival.key} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {arrival.request_id}\r\n"
            f"X-Call-Class: c{arrival.request_class}\r\nX-Storage-Class: p{arrival.plan}\r\n"
            f"X-Budget-Ms: {_budget_ms(arrival, clock.now_us())}\r\n"
            f"X-Extent: {extent},hosts={arrival.sharing_broker_count}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    await _play(workload, [daemon.runtime for daemon in daemons], start_us, submit)
    await asyncio.gather(*(daemon.stop() for daemon in daemons))
    return played


Seats = Callable[[int], PeerTransport | None]
Kill = Callable[[list[Broker]], Awaitable[None]]


async def through_library(
    workload: Workload,
    boxes: list[stand_in_nodes.Box],
    brokers: int = 1,
    seat: Seats = lambda place: None,
    beside: Kill | None = None,
) -> Played:
    """The library's call, with its own client of boxes.

    brokers: so many take the requests in turn, each in its seat; the decisions are those of all. beside: run
    with them from the first row on; a broker that is taken out of the list gets no more requests.
    """
    played, loop = Played(), asyncio.get_running_loop()
    places = await _boxes(boxes, loop.time() + LEAD_S)
    all_brokers: list[Broker] = []
    runtimes: list[Runtime] = []
    start_us = 0
    for place in range(brokers):
        source = NodeList([Node("none", 0, state="gone")])
        source.find_address = places.get  # type: ignore[assignment]
        settings, seed = workload.header.settings, workload.header.seed + place
        broker = Broker(settings, source, seed=seed, peers=seat(place))
        await broker.start()
        all_brokers.append(broker)
        assert broker.runtime is not None
        runtimes.append(broker.runtime)
        start_us = start_us or runtimes[0].clock.unix_us(loop.time() + LEAD_S)
        _watch(broker.core, start_us, played)
    clock, taking = runtimes[0].clock, list(all_brokers)
    turn = count()

    async def submit(arrival: api.Arrival) -> None:
        broker = taking[next(turn) % len(taking)]
        method, body = ("PUT", b"x" * 16) if arrival.request_class else ("GET", b"")
        now_us = clock.now_us()
        last_us = now_us + 1000 * _budget_ms(arrival, now_us) - DEADLINE_MARGIN_US
        kind = broker.core.settings.classes[arrival.request_class]
        last_us = min(last_us, now_us + kind.deadline_us - DEADLINE_MARGIN_US)

        async def perform(attempt: Attempt) -> bytes:
            headers = {"X-Call-Id": arrival.request_id}
            target = f"/api?key={arrival.key}"
            return (await broker.nodes.request(attempt, method, target, headers, body)).body

        ask = RequestSpec(
            arrival.volume, arrival.shard, arrival.units, arrival.request_class, arrival.plan, arrival.key,
            clock.loop_time(last_us), arrival.sharing_broker_count, arrival.request_id,
        )  # fmt: skip
        with suppress(RejectedError, FailedError):
            await broker.call(ask, perform)

    other = asyncio.ensure_future(beside(taking)) if beside is not None else None
    await _play(workload, runtimes, start_us, submit)
    if other is not None:
        await other
    for broker in all_brokers:
        await broker.stop()
    return played


def worth(workload: Workload, played: Played, from_us: int = 0, until_us: int = 1 << 62) -> float:
    """Of what arrived in a span and was served within its aim: class and plan, by units."""
    settings, total = workload.header.settings, 0.0
    for row in workload.events:
        asked = row.arrival
        if asked is None or not from_us <= row.at_us < until_us:
            continue
        at, end = played.ends.get(asked.request_id, (0, "none"))
        kind = settings.classes[asked.request_class]
        if end == "served" and at - row.at_us <= kind.latency_objective_us:
            total += kind.priority_weight * settings.plans[asked.plan].priority_factor * asked.units
    return total


def due(workload: Workload) -> float:
    """Worth of all that arrives."""
    ends = {row.arrival.request_id: (row.at_us, "served") for row in workload.events if row.arrival}
    return worth(workload, Played([], ends))


def compare(one: Played, other: Played, brokers: int = 1) -> tuple[int, list[str]]:
    """Return how many decisions match, and those that differ, as text.

    Several brokers decide at one moment in any order among themselves.
    """
    both = [played.decisions if brokers == 1 else sorted(played.decisions) for played in (one, other)]
    pairs = zip_longest(*both)
    differ = [f"daemon {a}, library {b}" for a, b in pairs if a != b]
    return max(len(one.decisions), len(other.decisions)) - len(differ), differ


def play(
    workload: Workload, make: Callable[[], list[stand_in_nodes.Box]], brokers: int = 1
) -> tuple[Played, Played]:
    """Through both, each with boxes of its own."""

    def seat(place: int) -> PeerTransport | None:
        return LoopbackPeers(FIRST_PORT, brokers) if brokers > 1 else None

    return (
        virtual_time.run(through_daemon(workload, make(), brokers)),
        virtual_time.run(through_library(workload, make(), brokers, seat)),
    )


def on_sockets(seed: int, seconds: float, pairs: int = 5) -> int:
    """Both scores in real time, one process each play."""
    scores: dict[str, list[float]] = {"daemon": [], "library": []}
    for place in range(pairs):
        for name, through in (("daemon", through_daemon), ("library", through_library)):
            workload, boxes = stand_in_nodes.draw("surge", seed + place, seconds, SOCKET_UNIT_S)
            played = asyncio.run(through(workload, boxes))
            scores[name].append(worth(workload, played) / due(workload))
        last = {name: f"{held[-1]:.3f}" for name, held in scores.items()}
        print(f"pair {place + 1}: daemon {last['daemon']} library {last['library']}", flush=True)
    one, other = (median(scores[name]) for name in ("daemon", "library"))
    print(f"medians: daemon {one:.3f} library {other:.3f}, {abs(one - other):.3f} apart")
    return 0 if abs(one - other) <= APART else 1


def main(arguments: list[str]) -> int:
    """Print what matched."""
    given = docopt(__doc__ or "", arguments)
    known = [*stand_in_nodes.KINDS, "pair"]
    kinds = [given["--kind"]] if given["--kind"] else known
    if not set(kinds) <= set(known):
        raise SettingsError(f"--kind: {given['--kind']} is none of {', '.join(known)}")
    if given["--sockets"]:
        return on_sockets(int(given["--seed"]), float(given["--seconds"]))
    seed, seconds = int(given["--seed"]), float(given["--seconds"])
    matched, differed = 0, 0
    plays = [(given["FILE"], "first")] if given["FILE"] else list(product(kinds, stand_in_nodes.SHAPES))
    for kind, shape in plays:
        brokers = 2 if kind == "pair" else 1
        if given["FILE"]:
            workload = load(kind)
            names = {
                e.node_id: e.shard
                for row in workload.events
                if row.endpoint_update
                for e in row.endpoint_update.entries
            }

            def make(names: dict[str, int] = names) -> list[stand_in_nodes.Box]:
                return [stand_in_nodes.Box(name, shard, seed) for name, shard in sorted(names.items())]
        else:
            drawn = "surge" if kind == "pair" else kind
            workload, _ = stand_in_nodes.draw(drawn, seed, seconds, hosts=brokers, shape=shape)

            def make(drawn: str = drawn, shape: str = shape) -> list[stand_in_nodes.Box]:  # type: ignore[misc]
                return stand_in_nodes.draw(drawn, seed, seconds, shape=shape)[1]

        daemon, library = play(workload, make, brokers)
        same, differ = compare(daemon, library, brokers)
        matched, differed = matched + same, differed + len(differ)
        served = sum(kind == "served" for _, kind in daemon.ends.values())
        ends = f"{len(daemon.ends)} requests, {served} served"
        print(f"{kind}, {shape}: {ends}; matched {same} differed {len(differ)}")
        print("".join(f"  {line}\n" for line in differ[:3]), end="")
    print(f"matched {matched} differed {differed}")
    return 1 if differed else 0
