"""Maintenance with several broker processes on real sockets and disks, and the checker of their logs."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import pytest

from harriertide.cli.main import main as command
from harriertide.decide.settings import SettingsError
from harriertide.lab.checkers import maintenance_checker
from harriertide.lab.experiments import maintenance
from harriertide.lab.rigs.fault_player import VERBS, draw
from harriertide.lab.rigs.fault_script import HOST, Fault, load_script
from harriertide.lab.rigs.maintenance_rig import Rig

Scenario = Callable[[Rig], Awaitable[None]]


def run_on_rig(
    folder: Path, scenario: Scenario, brokers: int = 3, nodes: int = 4, at_once: int = 1, **keys: Any
) -> maintenance_checker.Verdict:
    """Run a scenario on a rig that has a leader; return the checker's verdict."""

    async def main() -> None:
        rig = Rig(folder, brokers, nodes, 1, **keys)
        try:
            await rig.start()
            await wait_for_leader(rig)
            await scenario(rig)
        finally:
            await rig.close()

    asyncio.run(main())
    verdict = maintenance_checker.check_logs(folder, {}, {"fw": at_once, "all": at_once})
    violation_count = (
        verdict.excess_outages
        + verdict.late_sends
        + verdict.divergences
        + verdict.lost
        + verdict.repeated_outages
    )
    assert not violation_count, verdict.violations
    return verdict


async def wait_until_true(probe: Callable[[], Awaitable[Any]], within_s: float = 25.0) -> Any:
    """Poll a probe until its result is true; return the result."""
    deadline_s = time.monotonic() + within_s
    while time.monotonic() < deadline_s:
        result = await probe()
        if result:
            return result
        await asyncio.sleep(0.03)
    raise AssertionError("the awaited condition was not met in time")


async def get_status(rig: Rig, place: int = 0) -> dict[str, Any]:
    _, answer = await rig.ask(place, "GET", "/maintenance", within_s=3.0)
    return answer


async def wait_for_leader(rig: Rig, excluded: tuple[int, ...] = ()) -> int:
    """Wait for a leader with a lease and a committed inventory; return its index in the rig."""

    async def probe() -> int:
        for place in range(rig.number):
            if place in excluded or place in rig.stopped:
                continue
            answer = await get_status(rig, place)
            if answer.get("leader") == rig.names[place] and answer["applied"] >= 3 and answer["leased"]:
                return place + 1
        return 0

    return int(await wait_until_true(probe)) - 1


async def wait_for_phase(rig: Rig, machine: str, *wanted: str, place: int = 0) -> str:
    """Wait until a machine's step is in one of the wanted phases; return the phase."""

    async def probe() -> str:
        for order in (await get_status(rig, place)).get("orders", []):
            for step in order["steps"]:
                if step["machine"] == machine and step["phase"] in wanted:
                    return str(step["phase"])
        return ""

    return str(await wait_until_true(probe))


async def submit_order(rig: Rig, machines: list[str], name: str = "fw", place: int = 0, **keys: Any) -> None:
    body = {"order": name, "machines": machines, "work": "restart", "takes_s": 0.2, **keys}

    async def probe() -> bool:
        code, _ = await rig.ask(place, "POST", "/maintenance/request", body)
        return code == 200

    await wait_until_true(probe)
    rig.write("clients", event="agreed", order=name, machines=machines)


async def finish_orders(rig: Rig, excluded: tuple[int, ...] = ()) -> None:
    """Confirm finished work as an operator does, until all orders are over."""
    places = [place for place in range(rig.number) if place not in excluded]

    async def probe() -> bool:
        for place in places:
            answer = await get_status(rig, place)
            if not answer.get("knows"):
                continue
            for order in answer["orders"]:
                for step in order["steps"]:
                    if step["phase"] == "out" and step["machine"].startswith("x"):
                        await rig.ask(place, "POST", "/maintenance/done", {"machine": step["machine"]})
            if answer["orders"] and all(order["over"] for order in answer["orders"]):
                return True
        return False

    await wait_until_true(probe, 40.0)


async def write_continuously(rig: Rig, places: list[int]) -> None:
    """Send client writes until cancelled."""
    number = 0
    while True:
        number += 1
        place = places[number % len(places)]
        status = await rig.put(place, f"k{number}", b"x" * 50, within_s=3.0)
        rig.write("clients", event="write", key=f"k{number}", status=status)
        await asyncio.sleep(0.01)


def test_leader_killed_after_a_permit_and_after_a_machine_is_out(
    tmp_path: Path,
) -> None:
    """The leader is killed right after a permit, and the next leader right after a machine is out. The order
    must continue under each new leader, and nothing may be sent to a machine that is out.
    """

    async def scenario(rig: Rig) -> None:
        client_load = asyncio.ensure_future(write_continuously(rig, [0, 1, 2]))
        first_leader = await wait_for_leader(rig)
        await submit_order(rig, ["x1", "x2"], place=first_leader)
        await wait_for_phase(rig, "x1", "permitted", "draining", place=first_leader)
        await rig.kill(first_leader)
        second_leader = await wait_for_leader(rig, excluded=(first_leader,))
        await rig.start_again(first_leader)
        await wait_for_phase(rig, "x1", "out", place=second_leader)
        await rig.kill(second_leader)  # before the operator can confirm the work
        await rig.start_again(second_leader)
        await finish_orders(rig)
        client_load.cancel()

    assert run_on_rig(tmp_path, scenario).finished == 1


def test_broker_paused_for_8_s_does_not_send_to_a_machine_that_is_out(tmp_path: Path) -> None:
    """A broker that knows of a permit is paused while its attempts are open or its report is in flight."""

    async def scenario(rig: Rig) -> None:
        leader = await wait_for_leader(rig)
        follower = next(place for place in range(3) if place != leader)
        client_load = asyncio.ensure_future(write_continuously(rig, [follower]))
        await submit_order(rig, ["x1"], place=leader)
        # The machine drains only after the follower has confirmed that it knows of the permit.
        await wait_for_phase(rig, "x1", "draining", "out", place=leader)
        rig.send_signal(follower, signal.SIGSTOP)
        start_s = time.monotonic()
        await wait_for_phase(rig, "x1", "out", place=leader)
        await asyncio.sleep(max(0.0, start_s + 8.0 - time.monotonic()))
        rig.send_signal(follower, signal.SIGCONT)
        await asyncio.sleep(1.0)  # it reads the pending client requests, and must not send them to x1
        await finish_orders(rig)
        client_load.cancel()

    verdict = run_on_rig(tmp_path, scenario)
    assert verdict.finished == 1 and verdict.acknowledged_writes > 20


def test_permit_waits_for_a_broker_that_cannot_hear_the_leader(tmp_path: Path) -> None:
    """The link from the leader to one broker is cut; the reverse link works. That broker may not know of the
    permit, so the machine stays permitted and `status` names the broker until the link is restored.
    """

    async def scenario(rig: Rig) -> None:
        leader = await wait_for_leader(rig)
        follower = next(place for place in range(3) if place != leader)
        client_load = asyncio.ensure_future(write_continuously(rig, [0, 1, 2]))
        rig.links[leader, follower].is_cut = True  # only the direction from the leader is cut
        await submit_order(rig, ["x1", "x2"], place=leader)
        await wait_for_phase(rig, "x1", "permitted", place=leader)
        first_status = await get_status(rig, leader)
        await asyncio.sleep(1.5)
        step_row = (await get_status(rig, leader))["orders"][0]["steps"][0]
        assert step_row["phase"] == "permitted" and rig.names[follower] in str(step_row["waits"]), (
            first_status,
            step_row,
        )
        rig.links[leader, follower].is_cut = False
        await finish_orders(rig)
        client_load.cancel()

    assert run_on_rig(tmp_path, scenario).finished == 1


def test_orders_for_the_same_machines_on_both_sides_of_a_partition(tmp_path: Path) -> None:
    """The old leader is partitioned from the others, and an operator submits an order for the same machines
    on each side. The minority permits nothing and keeps serving, while the majority proceeds. After the
    partition heals, both orders finish."""

    async def scenario(rig: Rig) -> None:
        leader = await wait_for_leader(rig)
        links = rig.links_of(leader)
        for link in links:
            link.is_cut = True
        minority_order = asyncio.ensure_future(submit_order(rig, ["x1", "x2"], "all", place=leader))
        new_leader = await wait_for_leader(rig, excluded=(leader,))
        await submit_order(rig, ["x2", "x1"], place=new_leader)
        answer = await get_status(rig, leader)
        assert not answer["knows"] and not answer["orders"]
        # The minority permits nothing, but keeps serving.
        assert await rig.put(leader, "served", b"on") == 200
        for link in links:
            link.is_cut = False
        await minority_order
        await finish_orders(rig)

    assert run_on_rig(tmp_path, scenario).finished == 2


def test_order_continues_after_all_brokers_are_killed_and_restarted(tmp_path: Path) -> None:
    """All brokers are killed at once, twice, while machines are draining or out. The committed entries are on
    their disks, so the order must continue where it was.
    """

    async def scenario(rig: Rig) -> None:
        client_load = asyncio.ensure_future(write_continuously(rig, [0, 1, 2]))
        await submit_order(rig, ["x1", "x2", "x3"])
        for machine in ("x1", "x2"):
            await wait_for_phase(rig, machine, "draining", "out")
            await asyncio.gather(*(rig.kill(place) for place in range(3)))
            await asyncio.gather(*(rig.start_again(place) for place in range(3)))
            await wait_for_leader(rig)
            if machine == "x1":
                # A broker that has just started first replays its log.
                await wait_for_phase(rig, "x1", "out", place=1)
                answer = await rig.ask(1, "POST", "/maintenance/done", {"machine": "x1"})
                assert answer[0] == 200, answer
        await finish_orders(rig)
        client_load.cancel()

    assert run_on_rig(tmp_path, scenario).finished == 1


def test_permitted_machine_that_fails_is_overdue_and_can_be_confirmed_later(
    tmp_path: Path,
) -> None:
    """A node fails during its maintenance. Its step becomes overdue and blocks no other machine of the order;
    `done` ends the step later.
    """

    async def scenario(rig: Rig) -> None:
        await submit_order(rig, ["x1", "x2"], at_once=2)
        await wait_for_phase(rig, "x1", "permitted", "draining", "out")
        await rig.nodes[0].close()
        await wait_for_phase(rig, "x2", "out")
        await rig.ask(0, "POST", "/maintenance/done", {"machine": "x2"})
        await wait_for_phase(rig, "x2", "back")

        async def is_overdue() -> bool:
            steps = (await get_status(rig))["orders"][0]["steps"]
            return any(step["machine"] == "x1" and step["overdue"] for step in steps)

        await wait_until_true(is_overdue)
        await finish_orders(rig)

    assert run_on_rig(tmp_path, scenario, at_once=2).finished == 1


def test_failed_node_counts_as_out_of_service(tmp_path: Path) -> None:
    """A node fails that no order names, and counts as out of service. An order with `at_once` 1 waits, and
    names the failed node as the reason, until the node is back."""

    async def scenario(rig: Rig) -> None:
        client_load = asyncio.ensure_future(write_continuously(rig, [0, 1, 2]))
        await rig.nodes[3].close()

        async def is_reported_failed() -> bool:
            return "x4" in (await get_status(rig)).get("failed", [])

        await wait_until_true(is_reported_failed)
        await submit_order(rig, ["x1"])

        async def is_named_as_wait_reason() -> bool:
            return "x4 is away" in str((await get_status(rig))["orders"][0]["steps"][0]["waits"])

        await wait_until_true(is_named_as_wait_reason)
        await rig.nodes[3].open(again=True)
        await finish_orders(rig)
        client_load.cancel()

    assert run_on_rig(tmp_path, scenario).finished == 1


def test_warming_node_counts_with_its_reduced_capacity(tmp_path: Path) -> None:
    """Four nodes serve 0.42 units per second each, and 1.1 are required: the second waits while the first is
    cold."""
    labels = {f"x{n}": "units = 0.42" for n in range(1, 5)}

    async def scenario(rig: Rig) -> None:
        await submit_order(rig, ["x1", "x2"], at_once=2)
        await wait_for_phase(rig, "x1", "out")

        async def probe_reason() -> bool:
            step_row = (await get_status(rig))["orders"][0]["steps"][1]
            assert step_row["phase"] == "waiting"
            return "units a second would be left" in str(step_row["waits"])

        # the phase comes with the log, the reason with the leader's next update
        await wait_until_true(probe_reason)
        await rig.ask(0, "POST", "/maintenance/done", {"machine": "x1"})
        await wait_for_phase(rig, "x1", "returning")
        start_s = time.monotonic()
        await wait_for_phase(rig, "x2", "permitted", "draining", "out")
        assert time.monotonic() - start_s > 0.5
        await finish_orders(rig)

    assert run_on_rig(tmp_path, scenario, at_once=2, labels=labels, cold_s=3).finished == 1


def test_rolling_restart_of_all_brokers_under_load(tmp_path: Path) -> None:
    """An order restarts all brokers in turn, the leader included, while clients write. Each broker shuts down
    cleanly and is started again as a new process, and most writes must succeed.
    """

    async def scenario(rig: Rig) -> None:
        client_load = asyncio.ensure_future(write_continuously(rig, list(range(5))))
        pids_before = {place: process.pid for place, process in rig.processes.items()}
        await submit_order(rig, rig.names)
        await finish_orders(rig)
        assert all(rig.processes[place].pid != pid for place, pid in pids_before.items())
        client_load.cancel()

    verdict = run_on_rig(tmp_path, scenario, brokers=5)
    assert verdict.finished == 1 and verdict.acknowledged_writes > 0.6 * verdict.writes
    rows = [json.loads(line) for line in (tmp_path / "rig.log").read_text().splitlines()]
    assert [row["code"] for row in rows if row["event"] == "ended"][:5] == [0] * 5  # each exited cleanly


def test_voter_with_a_lost_disk_rejoins_as_a_new_member(tmp_path: Path) -> None:
    """A voter restarts with an empty disk and has lost the record of its votes. Under its old identity it
    could vote twice in one term. It must be added as a learner with a new identity and promoted after the old
    identity is removed."""

    async def scenario(rig: Rig) -> None:
        leader = await wait_for_leader(rig)
        follower = next(place for place in range(3) if place != leader)
        await submit_order(rig, ["x1", "x2"], place=leader)
        await wait_for_phase(rig, "x1", "out", place=leader)
        await rig.faults.play_one(Fault(0.0, "lose-disk", follower, for_s=0.1))

        async def has_rejoined() -> bool:
            rows = [
                json.loads(row) for row in (tmp_path / f"{rig.names[leader]}.events").read_text().splitlines()
            ]
            changes = [row["detail"].split(" ")[0] for row in rows if row.get("what") == "members"]
            return changes[-3:] == ["learn", "remove", "promote"]

        await wait_until_true(has_rejoined)
        await finish_orders(rig)
        assert (await get_status(rig, follower))["knows"]

    assert run_on_rig(tmp_path, scenario).finished == 1


@pytest.mark.parametrize("verb", ["disk-full", "sync-fails"])
def test_failed_log_write_stops_only_that_member(tmp_path: Path, verb: str) -> None:
    """The leader's disk is full, or a sync fails. The content of the disk after a failed sync is unknown, so
    this member halts and reports it in its status; the others continue."""

    async def scenario(rig: Rig) -> None:
        leader = await wait_for_leader(rig)
        fault = asyncio.ensure_future(rig.faults.play_one(Fault(0.0, verb, leader, for_s=2.5)))
        await asyncio.sleep(0.05)
        other = (leader + 1) % 3
        await submit_order(rig, ["x1"], place=other)
        answer = await get_status(rig, leader)
        assert answer.get("halted") and not answer["knows"], answer
        await fault
        await finish_orders(rig)
        assert "the disk refused" in (tmp_path / f"{rig.names[leader]}.err").read_text()

    assert run_on_rig(tmp_path, scenario).finished == 1


def test_voter_with_a_flipped_bit_in_its_log_rejoins_and_catches_up(tmp_path: Path) -> None:
    """A bit flips in the log of a voter that is down. At its restart the damaged store is set aside, and the
    voter joins as a new member and catches up."""

    async def scenario(rig: Rig) -> None:
        leader = await wait_for_leader(rig)
        follower = next(place for place in range(3) if place != leader)
        await rig.kill(follower)
        path = tmp_path / rig.names[follower] / "log-1"
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 0x20
        path.write_bytes(bytes(data))
        await rig.start_again(follower)
        await submit_order(rig, ["x1"], place=leader)
        await finish_orders(rig)

        async def has_caught_up() -> bool:
            answer = await get_status(rig, follower)
            return bool(answer.get("knows")) and answer["orders"][0]["over"]

        await wait_until_true(has_caught_up)
        assert "store damaged" in (tmp_path / f"{rig.names[follower]}.err").read_text()
        assert (tmp_path / f"{rig.names[follower]}-damaged-1" / "log-1").exists()

    assert run_on_rig(tmp_path, scenario).finished == 1


def test_invalid_frames_close_only_their_connection(tmp_path: Path) -> None:
    """A client connects to a broker's peer address and sends invalid frames: too long, with a wrong checksum,
    or HTTP. The connection is closed and counted, and the Raft cluster is not affected."""

    async def scenario(rig: Rig) -> None:
        leader = await wait_for_leader(rig)
        for payload in (
            b"\xff" * 64,
            b"\x08\x00\x00\x00\x00\x00\x00\x00hello!!!",
            b"GET / HTTP/1.1\r\n\r\n",
            b"\x01",
        ):
            reader, writer = await asyncio.open_connection(HOST, rig.ports[leader])
            writer.write(payload)
            await writer.drain()
            if len(payload) > 8:
                assert await asyncio.wait_for(reader.read(), 5.0) == b""  # the broker closed the connection
            writer.close()
        await submit_order(rig, ["x1"], place=leader)
        await finish_orders(rig)
        os.kill(rig.processes[leader].pid, signal.SIGUSR1)

        async def counters_are_logged() -> bool:
            text = (tmp_path / f"{rig.names[leader]}.err").read_text()
            return "agreement_wire.too_long=2" in text and "agreement_wire.wrong_checksum=1" in text

        await wait_until_true(counters_are_logged)

    assert run_on_rig(tmp_path, scenario).finished == 1


def test_short_run_with_random_faults_breaks_no_rule(tmp_path: Path) -> None:
    faults = draw(5, 5, 4.0)
    groups, is_finished = asyncio.run(maintenance.run_orders(tmp_path, 5, 5, 6, 4.0, faults))
    verdict = maintenance_checker.check_logs(tmp_path, groups, maintenance.AT_ONCE)
    assert is_finished and not verdict.broken, verdict.violations
    rows = [json.loads(line) for line in (tmp_path / "rig.log").read_text().splitlines()]
    assert [row["verb"] for row in rows if row["event"] == "fault"] == [fault.verb for fault in faults]


# --- the command line ---------------------------------------------------------------------------------


def test_command_line_from_plan_to_finished_order(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    order_file, plan_file = tmp_path / "order.toml", tmp_path / "plan.json"
    order_file.write_text('order = "fw"\nmachines = ["x1"]\nwork = "restart"\ntakes_s = 0.2\n')

    async def scenario(rig: Rig) -> None:
        loop = asyncio.get_running_loop()
        admin_address = f"{HOST}:{rig.admins[1]}"

        async def run(*args: str) -> tuple[int, str]:
            code = await loop.run_in_executor(
                None, lambda: command(["maintenance", *args, "--at", admin_address])
            )
            captured = capsys.readouterr()
            assert not captured.err or captured.err.count("\n") == 1
            return code, captured.out + captured.err

        assert (await run("status"))[0] == 0
        code, output = await run("plan", str(order_file), "-o", str(plan_file))
        assert code == 0 and "x1" in output and "takes" in output and "grade g" in output
        assert (await run("hold"))[0] == 0
        code, output = await run("request", str(plan_file))
        assert code == 1 and "moved since" in output  # `hold` changed the state after the plan was made
        assert (await run("resume"))[0] == 0
        assert (await run("plan", str(order_file), "-o", str(plan_file)))[0] == 0
        code, output = await run("request", str(plan_file))
        assert code == 0 and "agreed on" in output
        rig.write("clients", event="agreed", order="fw", machines=["x1"])
        assert (await run("request", str(order_file)))[0] == 0  # a repeated order counts once
        await wait_for_phase(rig, "x1", "out", place=1)
        code, output = await run("status")
        assert code == 0 and "x1" in output and "out" in output
        assert (await run("done", "x1"))[0] == 0
        await wait_for_phase(rig, "x1", "back", place=1)
        code, output = await run("done", "x1")
        assert code == 1 and "x1 is not out" in output
        assert (await run("cancel", "nothing"))[0] == 1
        code, output = await run("status", "--json")
        assert json.loads(output)["orders"][0]["over"] is True

    assert run_on_rig(tmp_path / "rig", scenario).finished == 1


def test_invalid_arguments_and_order_files_give_one_line_errors(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as unused_socket:
        unused_socket.bind((HOST, 0))
        port = unused_socket.getsockname()[1]
    order_file = tmp_path / "order.toml"
    for args, expected in (
        (["request", "/nowhere"], "/nowhere"), (["status", "--at", f"{HOST}:{port}"], "does not answer"),
        (["odd"], "can't use odd"),
    ):  # fmt: skip
        assert command(["maintenance", *args]) == 2
        error_text = capsys.readouterr().err
        assert expected in error_text and error_text.count("\n") == 1
    order_file.write_text("{")
    assert command(["maintenance", "request", str(order_file)]) == 2


# --- the checker --------------------------------------------------------------------------------------


def step_event(machine: str, phase: str, fence: int, at: float, order: str = "o") -> dict[str, Any]:
    return {"event": "step", "order": order, "machine": machine, "phase": phase, "fence": fence, "at": at}


def check_events(folder: Path, events: list[Any], node_events: list[Any] = []) -> maintenance_checker.Verdict:  # noqa: B006
    client_events = [{"event": "agreed", "order": "o", "machines": ["x1", "x2"], "at": 0.0}]
    for name, rows in (("b1.events", events), ("boxes.log", node_events), ("clients.log", client_events)):
        (folder / name).write_text("".join(json.dumps(row) + "\n" for row in rows))
    return maintenance_checker.check_logs(folder, {"x1": "g", "x2": "g"}, {"o": 1})


PHASES = ("permitted", "draining", "out", "returning", "back")
VALID_EVENTS = [step_event("x1", phase, 1, 1.0 + n) for n, phase in enumerate(PHASES)] + [
    step_event("x2", phase, 2, 11.0 + n) for n, phase in enumerate(PHASES)
]


def test_checker_finds_each_broken_rule(tmp_path: Path) -> None:
    node_events = [{"event": "came", "box": "x1", "at": at} for at in (1.0, 2.9, 4.1)]
    verdict = check_events(tmp_path, VALID_EVENTS, node_events)
    assert not verdict.broken and verdict.finished == 1 and verdict.standstill_s == pytest.approx(6.0)
    late_request = {"event": "came", "box": "x1", "at": 3.5}
    assert check_events(tmp_path, VALID_EVENTS, [late_request]).late_sends == 1
    overlapping = [
        *VALID_EVENTS[:5],
        *(step_event("x2", phase, 2, 2.5 + n) for n, phase in enumerate(PHASES)),
    ]
    assert check_events(tmp_path, overlapping).excess_outages
    assert check_events(tmp_path, [*VALID_EVENTS, step_event("x3", "permitted", 1, 9.0)]).divergences == 1
    diverging_states = [{"event": "applied", "index": 1, "digest": d, "at": 1.0} for d in (5, 6)]
    assert check_events(tmp_path, [*VALID_EVENTS, *diverging_states]).divergences == 1
    repeated = [*VALID_EVENTS, *(step_event("x1", phase, 3, 30.0 + n) for n, phase in enumerate(PHASES))]
    assert check_events(tmp_path, repeated).repeated_outages == 1
    assert check_events(tmp_path, VALID_EVENTS[:5]).lost == 1
    # The order never finishes.
    assert (
        check_events(tmp_path, VALID_EVENTS[:-2]).broken
        and not check_events(tmp_path, VALID_EVENTS[:-2]).lost
    )


def test_fault_script_is_determined_by_the_seed_and_survives_a_file(tmp_path: Path) -> None:
    faults = draw(3, 5, 120.0)
    assert faults == draw(3, 5, 120.0) != draw(4, 5, 120.0)
    assert {fault.verb for fault in faults} == set(VERBS)
    path = tmp_path / "script.json"
    path.write_text(json.dumps([asdict(fault) for fault in faults]))
    assert load_script(str(path), 5, VERBS) == faults
    for text, message in (("{", "--script"), ('[{"at_s":1,"verb":"odd"}]', "odd")):
        path.write_text(text)
        with pytest.raises(SettingsError, match=message):
            load_script(str(path), 5, VERBS)
