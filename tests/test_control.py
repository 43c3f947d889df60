"""Maintenance with several processes: real sockets, disks and signals, and the checker of their logs."""

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

Body = Callable[[Rig], Awaitable[None]]


def run_on_rig(
    folder: Path, body: Body, brokers: int = 3, nodes: int = 4, at_once: int = 1, **keys: Any
) -> maintenance_checker.Verdict:
    """Run a body on a rig that has a leader; return the verdict of the checker."""

    async def main() -> None:
        rig = Rig(folder, brokers, nodes, 1, **keys)
        try:
            await rig.start()
            await wait_for_leader(rig)
            await body(rig)
        finally:
            await rig.close()

    asyncio.run(main())
    found = maintenance_checker.check_logs(folder, {}, {"fw": at_once, "all": at_once})
    hard = found.excess_outages + found.late_sends + found.divergences + found.lost + found.repeated_outages
    assert not hard, found.violations
    return found


async def wait_until_true(look: Callable[[], Awaitable[Any]], within_s: float = 25.0) -> Any:
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        found = await look()
        if found:
            return found
        await asyncio.sleep(0.03)
    raise AssertionError("it has not happened in time")


async def status(rig: Rig, place: int = 0) -> dict[str, Any]:
    _, answer = await rig.ask(place, "GET", "/maintenance", within_s=3.0)
    return answer


async def wait_for_leader(rig: Rig, excluded: tuple[int, ...] = ()) -> int:
    """Wait for a leader with an agreed inventory; return its place."""

    async def look() -> int:
        for place in range(rig.number):
            if place in excluded or place in rig.stopped:
                continue
            answer = await status(rig, place)
            if answer.get("leader") == rig.names[place] and answer["applied"] >= 3 and answer["leased"]:
                return place + 1
        return 0

    return int(await wait_until_true(look)) - 1


async def phase(rig: Rig, machine: str, *wanted: str, at: int = 0) -> str:
    """Wait until a machine's step is one of these."""

    async def look() -> str:
        for order in (await status(rig, at)).get("orders", []):
            for step in order["steps"]:
                if step["machine"] == machine and step["phase"] in wanted:
                    return str(step["phase"])
        return ""

    return str(await wait_until_true(look))


async def request(rig: Rig, machines: list[str], name: str = "fw", place: int = 0, **keys: Any) -> None:
    body = {"order": name, "machines": machines, "work": "restart", "takes_s": 0.2, **keys}

    async def look() -> bool:
        code, _ = await rig.ask(place, "POST", "/maintenance/request", body)
        return code == 200

    await wait_until_true(look)
    rig.write("clients", event="agreed", order=name, machines=machines)


async def finish(rig: Rig, excluded: tuple[int, ...] = ()) -> None:
    """Report finished work as an operator does, until all orders are over."""
    places = [place for place in range(rig.number) if place not in excluded]

    async def look() -> bool:
        for place in places:
            answer = await status(rig, place)
            if not answer.get("knows"):
                continue
            for order in answer["orders"]:
                for step in order["steps"]:
                    if step["phase"] == "out" and step["machine"].startswith("x"):
                        await rig.ask(place, "POST", "/maintenance/done", {"machine": step["machine"]})
            if answer["orders"] and all(order["over"] for order in answer["orders"]):
                return True
        return False

    await wait_until_true(look, 40.0)


async def writes(rig: Rig, places: list[int]) -> None:
    """Write as clients do, until cancelled."""
    number = 0
    while True:
        number += 1
        place = places[number % len(places)]
        status_ = await rig.put(place, f"k{number}", b"x" * 50, within_s=3.0)
        rig.write("clients", event="write", key=f"k{number}", status=status_)
        await asyncio.sleep(0.01)


def test_the_leader_dies_between_agreeing_and_draining_and_between_the_permit_and_the_word(
    tmp_path: Path,
) -> None:
    """The leader is killed right after a permit, and the next one right after a machine is out, so that
    the operator's word is lost with it. The order goes on under whoever leads, and nothing is sent to a
    machine that is out.
    """

    async def body(rig: Rig) -> None:
        load = asyncio.ensure_future(writes(rig, [0, 1, 2]))
        first = await wait_for_leader(rig)
        await request(rig, ["x1", "x2"], place=first)
        await phase(rig, "x1", "permitted", "draining", at=first)
        await rig.kill(first)
        second = await wait_for_leader(rig, excluded=(first,))
        await rig.start_again(first)
        await phase(rig, "x1", "out", at=second)
        await rig.kill(second)  # the operator's word of it is lost with it
        await rig.start_again(second)
        await finish(rig)
        load.cancel()

    assert run_on_rig(tmp_path, body).finished == 1


def test_a_broker_that_is_paused_for_8_s_does_not_send_when_it_is_back(tmp_path: Path) -> None:
    """It knows of the permit, and is stopped while its attempts are open or its word is on its way."""

    async def body(rig: Rig) -> None:
        led = await wait_for_leader(rig)
        away = next(place for place in range(3) if place != led)
        load = asyncio.ensure_future(writes(rig, [away]))
        await request(rig, ["x1"], place=led)
        await phase(rig, "x1", "draining", "out", at=led)  # it knows of the permit by then
        rig.send_signal(away, signal.SIGSTOP)
        begun = time.monotonic()
        await phase(rig, "x1", "out", at=led)
        await asyncio.sleep(max(0.0, begun + 8.0 - time.monotonic()))
        rig.send_signal(away, signal.SIGCONT)
        await asyncio.sleep(1.0)  # it reads what clients sent meanwhile, and knows by itself that it may not
        await finish(rig)
        load.cancel()

    found = run_on_rig(tmp_path, body)
    assert found.finished == 1 and found.acknowledged_writes > 20


def test_cut_off_in_one_direction_for_the_length_of_a_permit(tmp_path: Path) -> None:
    """One broker hears nothing of the leader, which still hears it. It may not know of the permit: the
    machine stays permitted and `status` names that broker, until the link is back.
    """

    async def body(rig: Rig) -> None:
        led = await wait_for_leader(rig)
        away = next(place for place in range(3) if place != led)
        load = asyncio.ensure_future(writes(rig, [0, 1, 2]))
        rig.links[led, away].is_cut = True  # the leader hears it, and it hears nothing
        await request(rig, ["x1", "x2"], place=led)
        await phase(rig, "x1", "permitted", at=led)
        answer = await status(rig, led)
        await asyncio.sleep(1.5)
        waits = (await status(rig, led))["orders"][0]["steps"][0]
        assert waits["phase"] == "permitted" and rig.names[away] in str(waits["waits"]), (answer, waits)
        rig.links[led, away].is_cut = False
        await finish(rig)
        load.cancel()

    assert run_on_rig(tmp_path, body).finished == 1


def test_two_orders_for_the_same_machines_at_two_sides_of_a_split(tmp_path: Path) -> None:
    """The old leader is cut off from the others. At both sides an operator asks for work on the same
    machines: the lone side permits nothing and serves on, the others go ahead; healed, both orders come
    to their end.
    """

    async def body(rig: Rig) -> None:
        led = await wait_for_leader(rig)
        links = rig.links_of(led)
        for link in links:
            link.is_cut = True
        late = asyncio.ensure_future(request(rig, ["x1", "x2"], "all", place=led))
        other = await wait_for_leader(rig, excluded=(led,))
        await request(rig, ["x2", "x1"], place=other)
        answer = await status(rig, led)
        assert not answer["knows"] and not answer["orders"]
        assert await rig.put(led, "served", b"on") == 200  # it permits nothing, and serves
        for link in links:
            link.is_cut = False
        await late
        await finish(rig)

    assert run_on_rig(tmp_path, body).finished == 2


def test_all_brokers_are_killed_at_once_amid_work_and_started_again(tmp_path: Path) -> None:
    """Power is lost at all brokers at once, twice, with machines out. What was agreed on is on their
    disks: the order goes on where it was.
    """

    async def body(rig: Rig) -> None:
        load = asyncio.ensure_future(writes(rig, [0, 1, 2]))
        await request(rig, ["x1", "x2", "x3"])
        for machine in ("x1", "x2"):
            await phase(rig, machine, "draining", "out")
            await asyncio.gather(*(rig.kill(place) for place in range(3)))
            await asyncio.gather(*(rig.start_again(place) for place in range(3)))
            await wait_for_leader(rig)
            if machine == "x1":
                await phase(rig, "x1", "out", at=1)  # a broker that has just started reads its log first
                answer = await rig.ask(1, "POST", "/maintenance/done", {"machine": "x1"})
                assert answer[0] == 200, answer
        await finish(rig)
        load.cancel()

    assert run_on_rig(tmp_path, body).finished == 1


def test_a_permitted_machine_that_dies_and_never_comes_back_is_overdue_and_can_be_done_later(
    tmp_path: Path,
) -> None:
    """A node dies in its turn. It is overdue and holds up no other machine of its order; when it is back
    at last, `done` ends its turn.
    """

    async def body(rig: Rig) -> None:
        await request(rig, ["x1", "x2"], at_once=2)
        await phase(rig, "x1", "permitted", "draining", "out")
        await rig.nodes[0].close()
        await phase(rig, "x2", "out")
        await rig.ask(0, "POST", "/maintenance/done", {"machine": "x2"})
        await phase(rig, "x2", "back")

        async def overdue() -> bool:
            steps = (await status(rig))["orders"][0]["steps"]
            return any(step["machine"] == "x1" and step["overdue"] for step in steps)

        await wait_until_true(overdue)
        await finish(rig)

    assert run_on_rig(tmp_path, body, at_once=2).finished == 1


def test_a_node_that_fails_counts_as_out_of_service(tmp_path: Path) -> None:
    """A node fails that no order names. It counts as out of service: an order of one at once waits and
    says for what, until the node is back.
    """

    async def body(rig: Rig) -> None:
        load = asyncio.ensure_future(writes(rig, [0, 1, 2]))
        await rig.nodes[3].close()

        async def seen() -> bool:
            return "x4" in (await status(rig)).get("failed", [])

        await wait_until_true(seen)
        await request(rig, ["x1"])

        async def told() -> bool:
            return "x4 is away" in str((await status(rig))["orders"][0]["steps"][0]["waits"])

        await wait_until_true(told)
        await rig.nodes[3].open(again=True)
        await finish(rig)
        load.cancel()

    assert run_on_rig(tmp_path, body).finished == 1


def test_a_node_that_warms_up_counts_as_what_it_can_serve(tmp_path: Path) -> None:
    """Four nodes of 0.42 units a second, 1.1 due: while the first is cold the second waits."""
    labels = {f"x{n}": "units = 0.42" for n in range(1, 5)}

    async def body(rig: Rig) -> None:
        await request(rig, ["x1", "x2"], at_once=2)
        await phase(rig, "x1", "out")
        waits = (await status(rig))["orders"][0]["steps"][1]
        assert waits["phase"] == "waiting" and "units a second would be left" in str(waits["waits"])
        await rig.ask(0, "POST", "/maintenance/done", {"machine": "x1"})
        await phase(rig, "x1", "returning")
        begun = time.monotonic()
        await phase(rig, "x2", "permitted", "draining", "out")
        assert time.monotonic() - begun > 0.5
        await finish(rig)

    assert run_on_rig(tmp_path, body, at_once=2, labels=labels, cold_s=3).finished == 1


def test_a_rolling_restart_of_all_brokers_by_their_own_order_under_load(tmp_path: Path) -> None:
    """Each broker ends itself in order in its turn and is started again, the leader among them, while
    clients write. Every process is another one in the end, and most writes were served.
    """

    async def body(rig: Rig) -> None:
        load = asyncio.ensure_future(writes(rig, list(range(5))))
        before = {place: process.pid for place, process in rig.processes.items()}
        await request(rig, rig.names)
        await finish(rig)
        assert all(rig.processes[place].pid != pid for place, pid in before.items())
        load.cancel()

    found = run_on_rig(tmp_path, body, brokers=5)
    assert found.finished == 1 and found.acknowledged_writes > 0.6 * found.writes
    rows = [json.loads(line) for line in (tmp_path / "rig.log").read_text().splitlines()]
    assert [row["code"] for row in rows if row["event"] == "ended"][:5] == [0] * 5  # each ended in order


def test_a_disk_that_is_lost_under_a_voter_makes_it_a_new_member(tmp_path: Path) -> None:
    """A voter comes back with an empty disk: it has forgotten how it voted. Under its old identity it
    could vote twice in one term; it is learned as a new member, the old one is removed, and it is
    promoted.
    """

    async def body(rig: Rig) -> None:
        led = await wait_for_leader(rig)
        away = next(place for place in range(3) if place != led)
        await request(rig, ["x1", "x2"], place=led)
        await phase(rig, "x1", "out", at=led)
        await rig.faults.play_one(Fault(0.0, "lose-disk", away, for_s=0.1))

        async def member() -> bool:
            rows = [
                json.loads(row) for row in (tmp_path / f"{rig.names[led]}.events").read_text().splitlines()
            ]
            said = [row["detail"].split(" ")[0] for row in rows if row.get("what") == "members"]
            return said[-3:] == ["learn", "remove", "promote"]

        await wait_until_true(member)
        await finish(rig)
        assert (await status(rig, away))["knows"]

    assert run_on_rig(tmp_path, body).finished == 1


@pytest.mark.parametrize("verb", ["disk-full", "sync-fails"])
def test_a_log_that_can_not_be_written_stops_that_member_alone(tmp_path: Path, verb: str) -> None:
    """The leader's disk is full, or a sync fails. What a failed sync left on the disk nobody knows: that
    member takes no part any more and says so, and the others go on.
    """

    async def body(rig: Rig) -> None:
        led = await wait_for_leader(rig)
        fault = asyncio.ensure_future(rig.faults.play_one(Fault(0.0, verb, led, for_s=2.5)))
        await asyncio.sleep(0.05)
        other = (led + 1) % 3
        await request(rig, ["x1"], place=other)
        answer = await status(rig, led)
        assert answer.get("halted") and not answer["knows"], answer
        await fault
        await finish(rig)
        assert "the disk refused" in (tmp_path / f"{rig.names[led]}.err").read_text()

    assert run_on_rig(tmp_path, body).finished == 1


def test_a_bit_that_flips_in_the_log_stops_the_member_and_the_others_catch_it_up(tmp_path: Path) -> None:
    """A bit of a voter's log flips while it is down. Its store is damaged and kept aside; it joins as a
    new member and is caught up.
    """

    async def body(rig: Rig) -> None:
        led = await wait_for_leader(rig)
        away = next(place for place in range(3) if place != led)
        await rig.kill(away)
        path = tmp_path / rig.names[away] / "log-1"
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 0x20
        path.write_bytes(bytes(data))
        await rig.start_again(away)
        await request(rig, ["x1"], place=led)
        await finish(rig)

        async def caught_up() -> bool:
            answer = await status(rig, away)
            return bool(answer.get("knows")) and answer["orders"][0]["over"]

        await wait_until_true(caught_up)
        assert "store damaged" in (tmp_path / f"{rig.names[away]}.err").read_text()
        assert (tmp_path / f"{rig.names[away]}-damaged-1" / "log-1").exists()

    assert run_on_rig(tmp_path, body).finished == 1


def test_junk_on_the_wire_ends_its_connection_and_nothing_else(tmp_path: Path) -> None:
    """Somebody dials the brokers' address and sends what is no frame: too long, with a wrong checksum, or
    HTTP. The connection ends and is counted; the agreement goes on.
    """

    async def body(rig: Rig) -> None:
        led = await wait_for_leader(rig)
        for junk in (
            b"\xff" * 64,
            b"\x08\x00\x00\x00\x00\x00\x00\x00hello!!!",
            b"GET / HTTP/1.1\r\n\r\n",
            b"\x01",
        ):
            reader, writer = await asyncio.open_connection(HOST, rig.ports[led])
            writer.write(junk)
            await writer.drain()
            if len(junk) > 8:
                assert await asyncio.wait_for(reader.read(), 5.0) == b""  # it was ended
            writer.close()
        await request(rig, ["x1"], place=led)
        await finish(rig)
        os.kill(rig.processes[led].pid, signal.SIGUSR1)

        async def counted() -> bool:
            said = (tmp_path / f"{rig.names[led]}.err").read_text()
            return "agreement_wire.too_long=2" in said and "agreement_wire.wrong_checksum=1" in said

        await wait_until_true(counted)

    assert run_on_rig(tmp_path, body).finished == 1


def test_a_short_drawn_run_keeps_every_bound(tmp_path: Path) -> None:
    faults = draw(5, 5, 4.0)
    groups, done = asyncio.run(maintenance.run_orders(tmp_path, 5, 5, 6, 4.0, faults))
    found = maintenance_checker.check_logs(tmp_path, groups, maintenance.AT_ONCE)
    assert done and not found.broken, found.violations
    rows = [json.loads(line) for line in (tmp_path / "rig.log").read_text().splitlines()]
    assert [row["verb"] for row in rows if row["event"] == "fault"] == [fault.verb for fault in faults]


# --- the command line ---------------------------------------------------------------------------------


def test_the_command_line_from_an_order_to_its_end(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file, plan = tmp_path / "order.toml", tmp_path / "plan.json"
    file.write_text('order = "fw"\nmachines = ["x1"]\nwork = "restart"\ntakes_s = 0.2\n')

    async def body(rig: Rig) -> None:
        loop = asyncio.get_running_loop()
        at = f"{HOST}:{rig.admins[1]}"

        async def run(*words: str) -> tuple[int, str]:
            code = await loop.run_in_executor(None, lambda: command(["maintenance", *words, "--at", at]))
            said = capsys.readouterr()
            assert not said.err or said.err.count("\n") == 1
            return code, said.out + said.err

        assert (await run("status"))[0] == 0
        code, said = await run("plan", str(file), "-o", str(plan))
        assert code == 0 and "x1" in said and "takes" in said and "grade g" in said
        assert (await run("hold"))[0] == 0
        code, said = await run("request", str(plan))
        assert code == 1 and "moved since" in said  # the state is held now: it was not as the plan was made
        assert (await run("resume"))[0] == 0
        assert (await run("plan", str(file), "-o", str(plan)))[0] == 0
        code, said = await run("request", str(plan))
        assert code == 0 and "agreed on" in said
        rig.write("clients", event="agreed", order="fw", machines=["x1"])
        assert (await run("request", str(file)))[0] == 0  # once more, and it counts once
        await phase(rig, "x1", "out", at=1)
        code, said = await run("status")
        assert code == 0 and "x1" in said and "out" in said
        assert (await run("done", "x1"))[0] == 0
        await phase(rig, "x1", "back", at=1)
        code, said = await run("done", "x1")
        assert code == 1 and "x1 is not out" in said
        assert (await run("cancel", "nothing"))[0] == 1
        code, said = await run("status", "--json")
        assert json.loads(said)["orders"][0]["over"] is True

    assert run_on_rig(tmp_path / "rig", body).finished == 1


def test_what_cannot_be_used_of_an_order_file_is_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    file = tmp_path / "order.toml"
    for words, named in (
        (["request", "/nowhere"], "/nowhere"), (["status", "--at", f"{HOST}:{port}"], "does not answer"),
        (["odd"], "can't use odd"),
    ):  # fmt: skip
        assert command(["maintenance", *words]) == 2
        said = capsys.readouterr().err
        assert named in said and said.count("\n") == 1
    file.write_text("{")
    assert command(["maintenance", "request", str(file)]) == 2


# --- the checker --------------------------------------------------------------------------------------


def step(machine: str, phase_: str, fence: int, at: float, order: str = "o") -> dict[str, Any]:
    return {"event": "step", "order": order, "machine": machine, "phase": phase_, "fence": fence, "at": at}


def logs(folder: Path, events: list[Any], nodes: list[Any] = []) -> maintenance_checker.Verdict:  # noqa: B006
    agreed = [{"event": "agreed", "order": "o", "machines": ["x1", "x2"], "at": 0.0}]
    for name, rows in (("b1.events", events), ("boxes.log", nodes), ("clients.log", agreed)):
        (folder / name).write_text("".join(json.dumps(row) + "\n" for row in rows))
    return maintenance_checker.check_logs(folder, {"x1": "g", "x2": "g"}, {"o": 1})


PHASES = ("permitted", "draining", "out", "returning", "back")
GOOD = [step("x1", p, 1, 1.0 + n) for n, p in enumerate(PHASES)] + [
    step("x2", p, 2, 11.0 + n) for n, p in enumerate(PHASES)
]


def test_the_checker_finds_each_broken_rule(tmp_path: Path) -> None:
    came = [{"event": "came", "box": "x1", "at": at} for at in (1.0, 2.9, 4.1)]
    good = logs(tmp_path, GOOD, came)
    assert not good.broken and good.finished == 1 and good.standstill_s == pytest.approx(6.0)
    late = {"event": "came", "box": "x1", "at": 3.5}
    assert logs(tmp_path, GOOD, [late]).late_sends == 1
    excluded = [*GOOD[:5], *(step("x2", p, 2, 2.5 + n) for n, p in enumerate(PHASES))]
    assert logs(tmp_path, excluded).excess_outages
    assert logs(tmp_path, [*GOOD, step("x3", "permitted", 1, 9.0)]).divergences == 1
    states = [{"event": "applied", "index": 1, "digest": d, "at": 1.0} for d in (5, 6)]
    assert logs(tmp_path, [*GOOD, *states]).divergences == 1
    twice = [*GOOD, *(step("x1", p, 3, 30.0 + n) for n, p in enumerate(PHASES))]
    assert logs(tmp_path, twice).repeated_outages == 1
    assert logs(tmp_path, GOOD[:5]).lost == 1
    assert logs(tmp_path, GOOD[:-2]).broken and not logs(tmp_path, GOOD[:-2]).lost  # it never came to its end


def test_one_seed_gives_one_script_which_plays_again_as_it_was_written(tmp_path: Path) -> None:
    one = draw(3, 5, 120.0)
    assert one == draw(3, 5, 120.0) != draw(4, 5, 120.0)
    assert {fault.verb for fault in one} == set(VERBS)
    path = tmp_path / "script.json"
    path.write_text(json.dumps([asdict(fault) for fault in one]))
    assert load_script(str(path), 5, VERBS) == one
    for text, word in (("{", "--script"), ('[{"at_s":1,"verb":"odd"}]', "odd")):
        path.write_text(text)
        with pytest.raises(SettingsError, match=word):
            load_script(str(path), 5, VERBS)
