"""Whole brokers keep a plan's rate limit on a virtual network with HTTP and datagrams, as the node checks."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

import pytest

from harriertide.cli.daemon import Daemon
from harriertide.decide.settings import Names
from harriertide.engine.clock import sleep_until
from harriertide.lab.simulation import virtual_time
from harriertide.lab.simulation.memory_network import Address, Network
from harriertide.lab.simulation.shared_limit import PLANS, SETTINGS
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import parse_page

# SLACK: the units of the largest request
LIMIT, BURST, SLACK = PLANS[0].rate_limit, PLANS[0].burst_limit_units, 6.0
MAX_DELAY_S = 0.15  # on sockets, the units that the limit allows in this time are slack too
FIRST_PORT = 29_500


class LimitChecker:
    """The only node. It keeps a token bucket by the definition of the rate limit: a request takes its units
    when its last byte arrives.
    """

    def __init__(self) -> None:
        self.level = self.lowest = BURST
        self.updated_at = self.sent_units = 0.0
        self.seen_ids: set[str] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(row.lower().split(": ", 1) for row in head.split("\r\n")[1:-2])
                if fields["x-call-id"] not in self.seen_ids:
                    self.seen_ids.add(fields["x-call-id"])
                    units = float(fields["x-extent"].partition("units=")[2].partition(",")[0])
                    self.level = min(BURST, self.level + LIMIT * (loop.time() - self.updated_at)) - units
                    self.updated_at, self.sent_units = loop.time(), self.sent_units + units
                    self.lowest = min(self.lowest, self.level)
                await sleep_until(loop.time() + 0.01)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class BrokerFleet:
    """Broker daemons with one node and one volume, and their clients."""

    def __init__(self, broker_count: int, seed: int) -> None:
        self.broker_count = broker_count
        self.random = Random(seed)
        self.checker = LimitChecker()
        self.request_count = 0
        self.daemons: dict[int, Daemon] = {}
        self.tasks: list[asyncio.Future[None]] = []

    async def start(self, broker_index: int, node_address: str) -> None:
        settings = replace(SETTINGS, broker_index=broker_index, broker_count=self.broker_count)
        names = Names({"c": 0}, {"p": 0}, {}, connect_us=250_000, idle_us=15_000_000)
        peers = [f"127.0.0.1:{FIRST_PORT + other}" for other in range(self.broker_count)]
        self.request_count += 1
        host = {"host": "b", "dial": node_address, "block": 0, "health": "up"}
        config = Config(
            "n", ("127.0.0.1", 0), "127.0.0.1:1", self.request_count, settings, names,
            ("127.0.0.1", FIRST_PORT + broker_index), peers,
            parse_page({"seq": 1, "whole": True, "hosts": [host]}, {}),
        )  # fmt: skip
        self.daemons[broker_index] = daemon = Daemon(config, None)
        await daemon.start()

    async def kill(self, broker_index: int) -> None:
        """Crash a broker: its sockets close, and the requests that it has accepted are lost."""
        daemon = self.daemons.pop(broker_index)
        assert daemon.peers is not None and daemon.watch is not None
        daemon.peers.close()
        for listener in daemon.listeners.servers:
            listener.close()
        daemon.clients.close()
        await daemon.watch.close()
        await daemon.runtime.close(0.0)
        await daemon.client.close()

    async def offer(self, for_s: float, busiest: int, hosts: list[int], rate: float = 50.0) -> None:
        """Send requests of 1 to 3 units, 90% of them to the busiest broker, without waiting for answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + for_s
        while loop.time() < end:
            await sleep_until(loop.time() + self.random.expovariate(rate))
            broker_index = busiest if self.random.random() < 0.9 else self.random.choice(hosts)
            if broker_index in self.daemons:
                self.request_count += 1
                units = self.random.choice([1, 2, 2, 3])
                self.tasks.append(
                    asyncio.ensure_future(
                        self._send_request(self.request_count, broker_index, units, len(hosts))
                    )
                )

    async def _send_request(self, number: int, broker_index: int, units: int, hosts: int) -> None:
        port = self.daemons[broker_index].listeners.port(0)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                f"GET /api?key={number:016x} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {number}\r\n"
                f"X-Call-Class: c\r\nX-Storage-Class: p\r\nX-Budget-Ms: 900\r\n"
                f"X-Extent: volume={7:016x},units={units},shard=0,hosts={hosts}\r\n\r\n".encode()
            )
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the broker has crashed


async def run_fleet(broker_count: int, hosts: list[int], seed: int) -> tuple[float, float]:
    """Run a fleet in which one broker dies and one restarts.

    :returns: the part of the limit that is used after that, and the lowest level of the checker's bucket
    """
    fleet = BrokerFleet(broker_count, seed)
    server = await asyncio.start_server(fleet.checker.serve, "127.0.0.1", 0)
    node_address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    for broker_index in range(broker_count):
        await fleet.start(broker_index, node_address)
    await fleet.offer(2.0, hosts[0], hosts)
    await fleet.kill(
        next(broker_index for broker_index in range(broker_count) if broker_index not in hosts[:2])
    )  # stays dead
    await fleet.kill(hosts[1])
    await fleet.offer(0.4, hosts[0], hosts)
    await fleet.start(hosts[1], node_address)
    await fleet.offer(1.0, hosts[0], hosts)
    units_before, measured_from = fleet.checker.sent_units, asyncio.get_running_loop().time()
    for turn in range(4):
        await fleet.offer(3.0, hosts[turn % 2], hosts)
    used = (fleet.checker.sent_units - units_before) / (
        LIMIT * (asyncio.get_running_loop().time() - measured_from)
    )
    await asyncio.gather(*fleet.tasks)
    for broker_index in list(fleet.daemons):
        await fleet.kill(broker_index)
    server.close()
    return used, fleet.checker.lowest


@pytest.mark.parametrize(("broker_count", "hosts"), [(3, [0, 1, 2]), (4, [1, 3]), (5, [0, 2, 4])])
def test_whole_brokers_keep_a_limit_and_use_it(broker_count: int, hosts: list[int]) -> None:
    """30% of datagrams are lost and the others delayed by 1.4 to 35 ms; one broker is dead, one has
    restarted, and the busiest broker changes every 3 s.
    """
    random = Random(broker_count)

    def delay(here: Address, there: Address) -> float:
        is_between_brokers = there[1] in range(FIRST_PORT, FIRST_PORT + broker_count)
        return random.uniform(0.0014, 0.035) if is_between_brokers else 0.0005

    network = Network(delay, lambda here, there: random.random() < 0.3)
    used, lowest = virtual_time.run(run_fleet(broker_count, hosts, broker_count), network)
    assert lowest >= -SLACK - LIMIT * MAX_DELAY_S
    assert used > 0.9


def test_without_leases_the_checker_finds_the_limit_exceeded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Brokers that all believe they hold the lease each spend the whole limit.

    The checker must detect that the limit is exceeded.
    """
    from harriertide.decide.leases import Leases

    monkeypatch.setattr(
        Leases, "is_holder", lambda self, slot, now_us: self.slots[slot].promised_until_us > 0
    )
    monkeypatch.setattr(Leases, "presumed_holder", lambda self, slot, now_us, unanswered: self.broker_index)
    _, lowest = virtual_time.run(run_fleet(3, [0, 1, 2], 3), Network(lambda here, there: 0.0005))
    assert lowest < -SLACK - LIMIT * MAX_DELAY_S
