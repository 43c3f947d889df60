"""A plan's limit held by whole brokers on the virtual network, HTTP and datagrams too; judged at the box."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

import pytest

from harriertide.cli.daemon import Daemon
from harriertide.decide.settings import Names
from harriertide.engine.clock import until
from harriertide.lab.simulation import virtual_time
from harriertide.lab.simulation.memory_network import Address, Network
from harriertide.lab.simulation.shared_limit import PLANS, SETTINGS
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import parse_page

LIMIT, BURST, SLACK = PLANS[0].rate_limit, PLANS[0].burst_limit_units, 6.0  # one of the largest requests
LATE_S = 0.15  # what the limit allows in so long is slack too, on sockets
FIRST_PORT = 29_500


class Judge:
    """The only box. It keeps the store as the rule words it: a request takes its units with its last byte."""

    def __init__(self) -> None:
        self.level = self.lowest = BURST
        self.at = self.sent = 0.0
        self.seen: set[str] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                broker = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(row.lower().split(": ", 1) for row in broker.split("\r\n")[1:-2])
                if fields["x-call-id"] not in self.seen:
                    self.seen.add(fields["x-call-id"])
                    units = float(fields["x-extent"].partition("units=")[2].partition(",")[0])
                    self.level = min(BURST, self.level + LIMIT * (loop.time() - self.at)) - units
                    self.at, self.sent = loop.time(), self.sent + units
                    self.lowest = min(self.lowest, self.level)
                await until(loop.time() + 0.01)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Brokers:
    """Daemons with one box and one volume, and the clients that come to them."""

    def __init__(self, number: int, seed: int) -> None:
        self.number, self.random, self.judge, self.made = number, Random(seed), Judge(), 0
        self.daemons: dict[int, Daemon] = {}
        self.tasks: list[asyncio.Future[None]] = []

    async def start(self, place: int, box: str) -> None:
        settings = replace(SETTINGS, broker_index=place, broker_count=self.number)
        names = Names({"c": 0}, {"p": 0}, {}, connect_us=250_000, idle_us=15_000_000)
        peers = [f"127.0.0.1:{FIRST_PORT + other}" for other in range(self.number)]
        self.made += 1
        host = {"host": "b", "dial": box, "block": 0, "health": "up"}
        config = Config(
            "n", ("127.0.0.1", 0), "127.0.0.1:1", self.made, settings, names,
            ("127.0.0.1", FIRST_PORT + place), peers,
            parse_page({"seq": 1, "whole": True, "hosts": [host]}, {}),
        )  # fmt: skip
        self.daemons[place] = daemon = Daemon(config, None)
        await daemon.start()

    async def kill(self, place: int) -> None:
        """Gone at once: its sockets end, and whatever it had taken is lost."""
        daemon = self.daemons.pop(place)
        assert daemon.peers is not None and daemon.watch is not None
        daemon.peers.close()
        for listener in daemon.listeners.servers:
            listener.close()
        daemon.clients.close()
        await daemon.watch.close()
        await daemon.runtime.close(0.0)
        await daemon.client.close()

    async def offer(self, for_s: float, busiest: int, hosts: list[int], rate: float = 50.0) -> None:
        """Requests of 1 to 3 units, nine in ten through the busiest broker, answered or not."""
        loop = asyncio.get_running_loop()
        end = loop.time() + for_s
        while loop.time() < end:
            await until(loop.time() + self.random.expovariate(rate))
            place = busiest if self.random.random() < 0.9 else self.random.choice(hosts)
            if place in self.daemons:
                self.made += 1
                units = self.random.choice([1, 2, 2, 3])
                self.tasks.append(asyncio.ensure_future(self._ask(self.made, place, units, len(hosts))))

    async def _ask(self, number: int, place: int, units: int, hosts: int) -> None:
        port = self.daemons[place].listeners.port(0)
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
            pass  # its broker has died


async def course(number: int, hosts: list[int], seed: int) -> tuple[float, float]:
    """Part of the limit used once one broker is dead and one fresh, and the lowest that the store was."""
    brokers = Brokers(number, seed)
    server = await asyncio.start_server(brokers.judge.serve, "127.0.0.1", 0)
    box = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    for place in range(number):
        await brokers.start(place, box)
    await brokers.offer(2.0, hosts[0], hosts)
    await brokers.kill(next(place for place in range(number) if place not in hosts[:2]))  # for good
    await brokers.kill(hosts[1])
    await brokers.offer(0.4, hosts[0], hosts)
    await brokers.start(hosts[1], box)
    await brokers.offer(1.0, hosts[0], hosts)
    before, at = brokers.judge.sent, asyncio.get_running_loop().time()
    for turn in range(4):
        await brokers.offer(3.0, hosts[turn % 2], hosts)
    used = (brokers.judge.sent - before) / (LIMIT * (asyncio.get_running_loop().time() - at))
    await asyncio.gather(*brokers.tasks)
    for place in list(brokers.daemons):
        await brokers.kill(place)
    server.close()
    return used, brokers.judge.lowest


@pytest.mark.parametrize(("number", "hosts"), [(3, [0, 1, 2]), (4, [1, 3]), (5, [0, 2, 4])])
def test_whole_brokers_hold_a_limit_and_use_it(number: int, hosts: list[int]) -> None:
    """30% of datagrams lost, 1.4 to 35 ms late; one broker dead, one fresh, the busiest changes each 3 s."""
    random = Random(number)

    def delay(here: Address, there: Address) -> float:
        between = there[1] in range(FIRST_PORT, FIRST_PORT + number)
        return random.uniform(0.0014, 0.035) if between else 0.0005

    network = Network(delay, lambda here, there: random.random() < 0.3)
    used, lowest = virtual_time.run(course(number, hosts, number), network)
    assert lowest >= -SLACK - LIMIT * LATE_S
    assert used > 0.9


def test_without_agreement_the_judge_finds_the_limit_passed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each broker keeps the whole store for itself."""
    from harriertide.decide.leases import Leases

    monkeypatch.setattr(
        Leases, "is_holder", lambda self, slot, now_us: self.slots[slot].promised_until_us > 0
    )
    monkeypatch.setattr(Leases, "presumed_holder", lambda self, slot, now_us, unanswered: self.broker_index)
    _, lowest = virtual_time.run(course(3, [0, 1, 2], 3), Network(lambda here, there: 0.0005))
    assert lowest < -SLACK - LIMIT * LATE_S
