"""What the on-call page promises, caused by real faults between real processes.

Each test does to brokers what the page's symptom speaks of, and then looks where the page tells an engineer
to look: at the log lines of the processes, and at the counters that they write at their end.
"""

from __future__ import annotations

import asyncio
import json
import re
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

from harriertide.lab.rigs.clients import PlannedRequest
from harriertide.lab.rigs.maintenance_rig import Rig as MaintenanceRig
from harriertide.lab.rigs.single_broker import BrokerProcess, SingleBrokerRig
from tests.test_control import wait_for_leader, wait_until_true
from tests.test_pages import page, table_rows

LEASE_S = 1.5  # longer than the lease of the process in charge, and than that of a leader


def lines_of_page(symptom: str) -> list[list[str]]:
    """The log lines that the page names for a symptom, each as the fixed texts that it is made of."""
    (row,) = [row for row in table_rows(page("docs/operators/on-call.md")) if row[0] == symptom]
    named = [line for line in re.findall(r"`([^`]+)`", row[1]) if line != "core"]
    assert named, symptom
    return [re.split(r" *(?:NAME|\.\.\.) *", line) for line in named]


def counters_of_page(symptom: str) -> list[str]:
    (row,) = [row for row in table_rows(page("docs/operators/on-call.md")) if row[0] == symptom]
    return re.findall(r"`([a-z]+\.[a-z_0-9]+)`", row[2])


async def wait_for_lines(log: Path, symptom: str) -> None:
    """Wait until a process has logged each line that the page names for a symptom."""

    async def is_logged() -> bool:
        logged = log.read_text().splitlines()
        return all(
            any(all(text in line for text in texts) for line in logged) for texts in lines_of_page(symptom)
        )

    try:
        await wait_until_true(is_logged, 15.0)
    except AssertionError:
        raise AssertionError(f"{symptom}: not in the log:\n{log.read_text()}") from None


def final_counters(log: Path) -> dict[str, int]:
    """The counters that a process has written as its last event."""
    (line,) = [line for line in log.read_text().splitlines() if "event=counters" in line]
    return {name: int(count) for name, count in re.findall(r"([a-z]+\.[a-z_0-9]+)=(\d+)", line)}


async def send(rig: SingleBrokerRig, key: int, plan: str = "free", units: int = 1, shard: int = 0) -> int:
    """A client's request on a connection of its own; the status of its response."""
    reader, writer = await asyncio.open_connection(*rig.address)
    writer.write(PlannedRequest(key, plan, units, shard, long=False).encode(0))
    status = int((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
    writer.transport.abort()
    return status


def run_broker(folder: Path, body: Callable[[SingleBrokerRig, BrokerProcess], Awaitable[None]]) -> None:
    """Run a test with one broker process between stand-in nodes and discovery."""

    async def main() -> None:
        rig = SingleBrokerRig(folder, Random(1))
        await rig.start()
        try:
            broker = await rig.launch()
            assert await rig.wait_ready(broker) >= 0
            await body(rig, broker)
        finally:
            await rig.close()

    asyncio.run(main())


def test_rejected_requests_show_their_reason_in_log_and_counters(tmp_path: Path) -> None:
    """The only node of a shard goes away and comes back; a plan's limit is used up; discovery goes away."""
    log = tmp_path / "broker-0.log"

    async def body(rig: SingleBrokerRig, broker: BrokerProcess) -> None:
        node = rig.nodes[0]
        assert node.server is not None
        node.server.close()  # the broker has no connection there yet
        statuses = [await send(rig, 10 + number) for number in range(6)]
        assert 200 not in statuses
        await wait_for_lines(log, "a node is ejected")

        await node.start()
        rig.discovery.notify()

        async def is_served() -> bool:
            return await send(rig, 100 + len(asyncio.all_tasks())) == 200

        await wait_until_true(is_served)
        await wait_for_lines(log, "a node is reinstated")

        for first_key in range(200, 200 + 8 * 6, 6):  # no more at once than nodes take without a queue
            await asyncio.gather(
                *(send(rig, first_key + each, "capped", units=6, shard=each % 3) for each in range(6))
            )
        rig.discovery.set_dark(True)
        await wait_for_lines(log, "the endpoint list is old")
        broker.signal(signal.SIGTERM)
        assert await rig.wait_ended(broker)

    run_broker(tmp_path, body)
    counters = final_counters(log)
    for symptom in ("rejected: no node of its shard takes requests", "rejected: its plan's limit"):
        for name in counters_of_page(symptom):
            assert counters.get(name, 0) > 0, (name, counters)
    assert counters["core.outcome_connect_failed"] > 0 and counters["watch.broken"] > 0
    assert (
        counters["core.rejected"] >= counters["core.given_up_no_node"] + counters["core.given_up_rate_limit"]
    )


def test_a_reload_that_cannot_be_used_says_so_and_changes_nothing(tmp_path: Path) -> None:
    """SIGHUP with a file that is broken, and with another address; then SIGTERM."""
    log = tmp_path / "broker-0.log"
    config = tmp_path / "config-0.json"

    async def body(rig: SingleBrokerRig, broker: BrokerProcess) -> None:
        text = config.read_text()
        config.write_text(text[:-1])
        broker.signal(signal.SIGHUP)
        await wait_for_lines(log, "SIGHUP changed nothing")
        assert await send(rig, 1) == 200

        config.write_text(json.dumps({**json.loads(text), "listen": "127.0.0.1:1"}))
        broker.signal(signal.SIGHUP)
        await wait_for_lines(log, "reloaded, but the address is the old one")
        assert await send(rig, 2) == 200

        broker.signal(signal.SIGTERM)
        assert await rig.wait_ended(broker)
        await wait_for_lines(log, "what happens on SIGTERM?")

    run_broker(tmp_path, body)


def test_an_upgrade_whose_old_process_stands_still_waits_for_its_lease(tmp_path: Path) -> None:
    """The old process is stopped by SIGSTOP: the new one begins from nothing after the lease, and the old one
    notices that it was superseded when it runs again.
    """

    async def body(rig: SingleBrokerRig, old: BrokerProcess) -> None:
        old.signal(signal.SIGSTOP)
        new = await rig.launch()
        assert await rig.wait_ready(new) > 0
        await wait_for_lines(tmp_path / "broker-1.log", "an upgrade is stuck")
        assert "state=none" in (tmp_path / "broker-1.log").read_text()
        old.signal(signal.SIGCONT)
        await wait_for_lines(tmp_path / "broker-0.log", "the old process stopped accepting")
        assert await send(rig, 1) == 200

    run_broker(tmp_path, body)


def test_an_upgrade_whose_new_process_dies_is_taken_back(tmp_path: Path) -> None:
    """The new process is killed after it has taken over: the old one serves again, and says why."""

    async def body(rig: SingleBrokerRig, old: BrokerProcess) -> None:
        new = await rig.launch()
        assert await rig.wait_ready(new) > 0
        await wait_for_lines(tmp_path / "broker-0.log", "the old process stopped accepting")
        new.kill()
        await wait_for_lines(tmp_path / "broker-0.log", "the old process serves again")
        assert await send(rig, 1) == 200

    run_broker(tmp_path, body)


def run_agreement(folder: Path, body: Callable[[MaintenanceRig, int], Awaitable[None]]) -> None:
    """Run a test with three brokers that agree, and the place of their leader."""

    async def main() -> None:
        rig = MaintenanceRig(folder, 3, 1, seed=1)
        try:
            await rig.start()
            await body(rig, await wait_for_leader(rig))
        finally:
            await rig.close()

    asyncio.run(main())


def test_a_leader_that_stood_still_follows_the_next_one(tmp_path: Path) -> None:
    """The leader of three brokers stands still for longer than its lease: another one leads, and the old one
    follows it as soon as it runs again.
    """

    async def body(rig: MaintenanceRig, old: int) -> None:
        log = tmp_path / f"{rig.names[old]}.err"
        await wait_for_lines(log, "who plans?")
        rig.send_signal(old, signal.SIGSTOP)
        await asyncio.sleep(LEASE_S)
        new = await wait_for_leader(rig, excluded=(old,))
        await wait_for_lines(tmp_path / f"{rig.names[new]}.err", "who plans?")
        rig.send_signal(old, signal.SIGCONT)
        await wait_for_lines(log, "a leader is lost: another one leads")
        await rig.end(old, signal.SIGTERM)
        for name in counters_of_page("a leader is lost: another one leads"):
            assert final_counters(log)[name] > 0, name

    run_agreement(tmp_path, body)


def test_a_leader_that_hears_no_majority_steps_down(tmp_path: Path) -> None:
    """Both followers of three brokers stand still: the leader may not go on, as others could elect
    one that it does not hear of.
    """

    async def body(rig: MaintenanceRig, led: int) -> None:
        log = tmp_path / f"{rig.names[led]}.err"
        await wait_for_lines(log, "who plans?")
        for place in {0, 1, 2} - {led}:
            rig.send_signal(place, signal.SIGSTOP)
        await wait_for_lines(log, "a leader is lost: it hears no majority")
        await rig.end(led, signal.SIGTERM)
        for name in counters_of_page("a leader is lost: it hears no majority"):
            assert final_counters(log)[name] > 0, name

    run_agreement(tmp_path, body)
