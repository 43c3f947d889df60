"""Run a workload against stand-in nodes, through the platform's front or through the library.

Both record every decision of the brokers' cores with its time, so that runs can be compared and scored.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import count
from typing import NamedTuple

from harriertide.cli.daemon import Daemon
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.decide.settings import Names
from harriertide.engine.clock import Clock, sleep_until
from harriertide.engine.runtime import Runtime
from harriertide.engine.workload import Workload, absolute_event
from harriertide.lab.simulation.stand_in_nodes import StandInNode
from harriertide.library import Attempt, Broker, FailedError, Node, NodeList, RejectedError, RequestSpec
from harriertide.library.peer_transport import PeerTransport
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import EMPTY_PAGE
from harriertide.platform.fields import DEADLINE_MARGIN_US

START_DELAY_S = 0.5  # before the first event of the workload: all servers and brokers listen by then
FIRST_PEER_PORT = 29_000  # of brokers that share
CONNECT_TIMEOUT_US = 250_000
IDLE_TIMEOUT_US = 15_000_000
WRITE_BODY = b"x" * 16


class Decision(NamedTuple):
    """One effect of a core. A field that its kind does not have keeps its default.

    :ivar at_us: since the start of the workload
    :ivar kind: "attempt", "stop" (of an attempt) or the kind of a response
    :ivar stop_at_us: when an attempt is to be given up, since the start of the workload
    """

    at_us: int
    kind: str
    request_id: str
    attempt: int = 0
    node_id: str = ""
    stop_at_us: int = 0
    retry_after_us: int = 0


@dataclass
class RunRecord:
    """What came of a workload.

    :ivar decisions: in the order in which they were made
    :ivar responses: by request id: when it was answered, and the kind of the response
    """

    decisions: list[Decision] = field(default_factory=list)
    responses: dict[str, tuple[int, str]] = field(default_factory=dict)

    def attach(self, core: Reducer, start_us: int) -> None:
        """Record what this core decides from now on.

        :param start_us: when the workload starts, by the core's clock
        """
        original_step = core.step

        def step_and_record(now_us: int, events: list[ev.Event]) -> list[ev.Effect]:
            effects = original_step(now_us, events)
            for effect in effects:
                self._record_effect(now_us - start_us, effect, start_us)
            return effects

        core.step = step_and_record  # type: ignore[method-assign]

    def _record_effect(self, at_us: int, effect: ev.Effect, start_us: int) -> None:
        if isinstance(effect, ev.StartAttempt):
            stop_at_us = effect.stop_at_us - start_us
            decision = Decision(
                at_us, "attempt", effect.request_id, effect.attempt, effect.node_id, stop_at_us
            )
            self.decisions.append(decision)
        elif isinstance(effect, ev.CancelAttempt):
            self.decisions.append(Decision(at_us, "stop", effect.request_id, effect.attempt))
        elif isinstance(effect, ev.Respond):
            retry_after_us = effect.retry_after_us
            self.decisions.append(
                Decision(at_us, effect.kind, effect.request_id, retry_after_us=retry_after_us)
            )
            self.responses[effect.request_id] = (at_us, effect.kind)


# The transport of the broker with this index; None where it has no peers.
PeerTransportFactory = Callable[[int], PeerTransport | None]
# Runs beside the workload. A broker that it takes out of the list gets no more requests.
BrokerFault = Callable[[list[Broker]], Awaitable[None]]
_SubmitArrival = Callable[[api.Arrival], Awaitable[None]]


async def run_through_daemon(
    workload: Workload, nodes: list[StandInNode], broker_count: int = 1
) -> RunRecord:
    """Run a workload over HTTP, as a client of the platform; the brokers take requests in turn."""
    record = RunRecord()
    loop = asyncio.get_running_loop()
    addresses = await _start_nodes(nodes, loop.time() + START_DELAY_S)
    daemons: list[Daemon] = []
    start_us = 0
    for broker_index in range(broker_count):
        daemon = Daemon(_daemon_config(workload, broker_index, broker_count), None)
        daemon.directory.find = addresses.get  # type: ignore[assignment]
        await daemon.start()
        start_us = start_us or daemon.runtime.clock.unix_us(loop.time() + START_DELAY_S)
        record.attach(daemon.core, start_us)
        daemons.append(daemon)
    clock = daemons[0].runtime.clock
    turns = count()

    async def submit(arrival: api.Arrival) -> None:
        port = daemons[next(turns) % broker_count].listeners.port(0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(_encode_request(arrival, clock.now_us()))
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    await _post_events(workload, [daemon.runtime for daemon in daemons], start_us, submit)
    await asyncio.gather(*(daemon.stop() for daemon in daemons))
    return record


async def run_through_library(
    workload: Workload,
    nodes: list[StandInNode],
    broker_count: int = 1,
    make_peers: PeerTransportFactory = lambda broker_index: None,
    broker_fault: BrokerFault | None = None,
) -> RunRecord:
    """Run a workload through the library's call and its own client of nodes.

    :param broker_count: so many brokers take the requests in turn; the decisions are those of all
    :param broker_fault: started together with the workload
    """
    record = RunRecord()
    loop = asyncio.get_running_loop()
    addresses = await _start_nodes(nodes, loop.time() + START_DELAY_S)
    brokers: list[Broker] = []
    runtimes: list[Runtime] = []
    start_us = 0
    for broker_index in range(broker_count):
        source = NodeList([Node("none", 0, state="gone")])
        source.find_address = addresses.get  # type: ignore[assignment]
        seed = workload.header.seed + broker_index
        broker = Broker(workload.header.settings, source, seed=seed, peers=make_peers(broker_index))
        await broker.start()
        brokers.append(broker)
        assert broker.runtime is not None
        runtimes.append(broker.runtime)
        start_us = start_us or runtimes[0].clock.unix_us(loop.time() + START_DELAY_S)
        record.attach(broker.core, start_us)
    clock = runtimes[0].clock
    live_brokers = list(brokers)
    turns = count()

    async def submit(arrival: api.Arrival) -> None:
        await _call_broker(live_brokers[next(turns) % len(live_brokers)], arrival, clock)

    fault = asyncio.ensure_future(broker_fault(live_brokers)) if broker_fault is not None else None
    await _post_events(workload, runtimes, start_us, submit)
    if fault is not None:
        await fault
    for broker in brokers:
        await broker.stop()
    return record


async def _start_nodes(nodes: list[StandInNode], run_started_at_s: float) -> dict[str, str]:
    """Start the nodes' servers; their addresses by name."""
    addresses = {}
    for node in nodes:
        node.run_started_at_s = run_started_at_s
        server = await asyncio.start_server(node.serve_connection, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        addresses[node.name] = f"{host}:{port}"
    return addresses


def _daemon_config(workload: Workload, broker_index: int, broker_count: int) -> Config:
    settings = workload.header.settings
    has_peers = broker_count > 1
    classes = {f"c{index}": index for index in range(len(settings.classes))}
    plans = {f"p{index}": index for index in range(len(settings.plans))}
    return Config(
        "parity",
        ("127.0.0.1", 0),
        "127.0.0.1:1",
        workload.header.seed + broker_index,
        replace(
            settings, broker_index=broker_index, broker_count=broker_count, peer_messages_allowed=has_peers
        ),
        Names(classes, plans, {}, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US),
        ("127.0.0.1", FIRST_PEER_PORT + broker_index) if has_peers else None,
        [f"127.0.0.1:{FIRST_PEER_PORT + index}" for index in range(broker_count)],
        EMPTY_PAGE,
    )


async def _post_events(
    workload: Workload, runtimes: list[Runtime], start_us: int, submit: _SubmitArrival
) -> None:
    """Submit each arrival and post each other event at its time; return when all requests are answered."""
    clock = runtimes[0].clock
    tasks = []
    for row in workload.events:
        at_us, event = absolute_event(row, start_us)
        if at_us > clock.now_us():
            await sleep_until(clock.loop_time(at_us))
        if isinstance(event, ev.RequestArrived):
            tasks.append(asyncio.ensure_future(submit(event.arrival)))
        else:
            for runtime in runtimes:
                runtime.post(event)
    await asyncio.gather(*tasks)


def _time_limit_ms(arrival: api.Arrival, now_us: int) -> int:
    """The time limit that a client of the platform states: the broker keeps a margin of it for itself."""
    return max(1, -(-(arrival.deadline_at_us - now_us + DEADLINE_MARGIN_US) // 1000))


def _method_and_body(arrival: api.Arrival) -> tuple[str, bytes]:
    return ("PUT", WRITE_BODY) if arrival.request_class else ("GET", b"")


def _encode_request(arrival: api.Arrival, now_us: int) -> bytes:
    method, body = _method_and_body(arrival)
    extent = f"volume={arrival.volume},units={arrival.units:g},shard={arrival.shard}"
    head = (
        f"{method} /api?key={arrival.key} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {arrival.request_id}\r\n"
        f"X-Call-Class: c{arrival.request_class}\r\nX-Storage-Class: p{arrival.plan}\r\n"
        f"X-Budget-Ms: {_time_limit_ms(arrival, now_us)}\r\n"
        f"X-Extent: {extent},hosts={arrival.sharing_broker_count}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _call_broker(broker: Broker, arrival: api.Arrival, clock: Clock) -> None:
    """Call a library's broker with the deadline that the platform's front would compute."""
    method, body = _method_and_body(arrival)
    now_us = clock.now_us()
    stated_us = 1000 * _time_limit_ms(arrival, now_us)
    longest_us = broker.core.settings.classes[arrival.request_class].deadline_us
    deadline_us = now_us + min(stated_us, longest_us) - DEADLINE_MARGIN_US
    spec = RequestSpec(
        arrival.volume,
        arrival.shard,
        arrival.units,
        arrival.request_class,
        arrival.plan,
        arrival.key,
        clock.loop_time(deadline_us),
        arrival.sharing_broker_count,
        arrival.request_id,
    )

    async def perform(attempt: Attempt) -> bytes:
        headers = {"X-Call-Id": arrival.request_id}
        target = f"/api?key={arrival.key}"
        return (await broker.nodes.request(attempt, method, target, headers, body)).body

    with suppress(RejectedError, FailedError):
        await broker.call(spec, perform)
