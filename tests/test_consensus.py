"""Raft: a search through its states, simulated runs, and faults that are known to break implementations."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from harriertide.consensus import events as ev
from harriertide.consensus.membership_reconciler import Hello
from harriertide.consensus.messages import (
    AppendRequest,
    Entry,
    Member,
    Membership,
    SnapshotChunk,
    encode_membership,
)
from harriertide.consensus.sessions import (
    FORGOTTEN_ANSWER,
    MAX_ANSWERS_PER_CLIENT,
    MAX_CLIENT_COUNT,
    Sessions,
)
from harriertide.control.wire import decode_message, encode_message
from harriertide.lab.checkers.linearizability_checker import Operation, is_linearizable
from harriertide.lab.model_checker.scenarios import SEARCHES, SEEDED_BUG_SEARCHES, search
from harriertide.lab.raft_simulation.event_queue import SECOND_US
from harriertide.lab.raft_simulation.faults import FAULT_KINDS, SLOW_SYNC_US, FaultKind
from harriertide.lab.raft_simulation.host import Host
from harriertide.lab.raft_simulation.run import run_simulation
from harriertide.lab.raft_simulation.simulated_network import Link, Payload
from harriertide.lab.raft_simulation.simulation import Simulation


@pytest.mark.parametrize("name", SEARCHES)
def test_every_invariant_holds_in_each_state_of_a_search(name: str) -> None:
    """Messages arrive in any order, twice or never, and members crash: no state breaks an invariant."""
    looked, found = search(name, 6_000)
    assert not found and looked.states > 3_000


@pytest.mark.parametrize(("seeded_bug", "name"), SEEDED_BUG_SEARCHES.items())
def test_a_seeded_bug_is_found_with_the_way_there(seeded_bug: str, name: str) -> None:
    """A member with a known bug: a search that did not find it would prove nothing of the real one."""
    looked, found = search(name, 6_000, seeded_bug)
    assert found and found[0].partition(":")[0] in ("ELECTION", "COMMIT", "COMPLETE")
    assert len(found) <= 12  # short enough to read


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_simulated_runs_of_five_keep_their_promises(first: int) -> None:
    """Five members under drawn faults and clients: what clients saw is linearizable, and all end alike."""
    for seed in range(first, first + 10):
        verdict = run_simulation(seed)
        assert not verdict.broken, f"seed {seed}: {verdict.broken}"
        assert verdict.answered > 50


@pytest.mark.parametrize("size", [1, 3, 7])
def test_simulated_runs_of_other_sizes(size: int) -> None:
    kinds = FAULT_KINDS if size > 1 else (FaultKind.CRASH, FaultKind.PAUSE, FaultKind.SLOW_DISK)
    for seed in range(6):
        verdict = run_simulation(seed, size=size, seconds=6.0, fault_kinds=kinds)
        assert not verdict.broken, f"seed {seed}: {verdict.broken}"


def test_an_empty_disk_that_counts_as_before_loses_what_was_agreed_on() -> None:
    """A broker comes back with an empty disk under its old name, and its vote counts as before: a committed
    entry is lost. With the identity of disks the same runs lose nothing.
    """
    kinds = (FaultKind.DISK_LOSS, FaultKind.PARTITION, FaultKind.CRASH)
    bug = "empty-disk-votes"
    failing_seeds = [
        seed for seed in range(60) if run_simulation(seed, 3, 8.0, seeded_bug=bug, fault_kinds=kinds).broken
    ]
    assert failing_seeds
    assert not [seed for seed in failing_seeds if run_simulation(seed, 3, 8.0, fault_kinds=kinds).broken]


# --- situations ---------------------------------------------------------------------------------------


def started_cluster(seed: int = 1, size: int = 3) -> tuple[Simulation, Host]:
    """A cluster that has founded itself, and its leader."""
    simulation = Simulation(seed, size)
    for host in simulation.hosts.values():
        host.start()
    simulation.run_for(3 * SECOND_US)
    leader = simulation.leader()
    assert leader is not None
    return simulation, leader


def put(simulation: Simulation, host: Host, value: str, key: str = "k") -> list[int]:
    """Write a register through a host; the list is filled with the moment of the answer."""
    returned_us: list[int] = []
    simulation.clients.invoke(
        host, "put", key, value, lambda: returned_us.append(simulation.now_us), timeout_us=5 * SECOND_US
    )
    return returned_us


def others(simulation: Simulation, host: Host) -> list[Host]:
    return [each for each in simulation.hosts.values() if each is not host]


def isolate_until_snapshot(simulation: Simulation, leader: Host, host: Host) -> set[Link]:
    """Cut a host off until the others have compacted away what it lacks; the links that are cut."""
    links = simulation.network.partition({host.name})
    for number in range(300):
        put(simulation, leader, "x" * 4_000, key=f"k{number}")
    simulation.run_for(2 * SECOND_US)
    return links


@pytest.mark.parametrize("size", [3, 5])
def test_a_one_way_partition_of_any_single_link_leaves_a_leader_within_2_s(size: int) -> None:
    """One link fails in one direction only. Within 2 s some leader commits, whichever link it is."""
    for a in range(size):
        for b in range(size):
            if a == b:
                continue
            simulation, _ = started_cluster(seed=size, size=size)
            names = list(simulation.hosts)
            simulation.network.cut_links.add((names[a], names[b]))
            simulation.run_for(2 * SECOND_US)
            leader = None
            for host in simulation.hosts.values():  # its heartbeats may reach all but one of the others
                if host.replica is not None and host.replica.node.is_leader:
                    leader = host
            assert leader is not None, f"{names[a]} to {names[b]}"
            returned_us = put(simulation, leader, "v")
            simulation.run_for(SECOND_US)
            assert returned_us, f"{names[a]} to {names[b]}"


def test_a_member_that_was_partitioned_never_unseats_a_good_leader() -> None:
    """A member is cut off five times and campaigns meanwhile. When its links are restored, the others still
    hear their leader, which keeps its term.
    """
    simulation, leader = started_cluster(size=5)
    isolated = others(simulation, leader)[0]
    term = leader.running_replica.node.term
    for _ in range(5):
        simulation.network.partition({isolated.name})
        simulation.run_for(3 * SECOND_US)
        simulation.network.heal_all()
        simulation.run_for(SECOND_US)
    assert simulation.leader() is leader
    assert leader.running_replica.node.term == term
    assert isolated.running_replica.node.leader == leader.running_replica.node.me


def test_a_leader_whose_disk_takes_500_ms_transfers_leadership_by_itself() -> None:
    """The leader's disk becomes slow, so each commit waits for it. It transfers leadership by itself, without
    a series of elections.
    """
    simulation, leader = started_cluster(size=5)
    leader.disk.sync_us = SLOW_SYNC_US
    for number in range(30):
        put(simulation, leader, f"v{number}")
        simulation.run_for(SECOND_US // 5)
    new_leader = simulation.leader()
    assert new_leader is not None and new_leader is not leader
    assert leader.disk.sync_us == SLOW_SYNC_US and not simulation.verdict().broken
    assert len(simulation.checker.leaders) <= 3


def test_a_leader_that_was_paused_for_8_s_answers_no_read_with_the_old_state() -> None:
    """The process of a leader is paused; another member is elected and commits. The old leader resumes and
    still takes itself for the leader: a read that it was asked for must not show the old state.
    """
    simulation, leader = started_cluster(size=5)
    leader.paused_until_us = simulation.now_us + 8 * SECOND_US
    simulation.run_for(3 * SECOND_US)
    new_leader = simulation.leader()
    assert new_leader is not None and new_leader is not leader
    written_us = put(simulation, new_leader, "new")
    simulation.run_for(SECOND_US)
    assert written_us
    # The paused leader is asked for a read while it takes itself for the leader.
    read_us: list[int] = []
    simulation.clients.invoke(
        leader, "get", "k", "", lambda: read_us.append(simulation.now_us), timeout_us=10 * SECOND_US
    )
    simulation.run_for(10 * SECOND_US)
    assert read_us and simulation.clients.history[-1].value == "new" and not simulation.verdict().broken


def test_a_failed_sync_is_final_for_the_process_and_the_others_continue() -> None:
    """A sync fails once on the leader. What the operating system holds in memory may be lost, so that process
    never takes part again, even with a disk that works.
    """
    simulation, leader = started_cluster()
    leader.disk.fails_syncs = True
    lost_us = put(simulation, leader, "lost?")
    simulation.run_for(3 * SECOND_US)
    assert leader.running_replica.node.role == "halted" and not lost_us
    leader.disk.fails_syncs = False
    simulation.run_for(3 * SECOND_US)
    assert leader.running_replica.node.role == "halted"  # though the disk works again
    new_leader = simulation.leader()
    assert new_leader is not None
    returned_us = put(simulation, new_leader, "v")
    simulation.run_for(SECOND_US)
    assert returned_us


def test_a_broker_with_an_empty_disk_joins_as_a_new_member_and_may_vote_only_then() -> None:
    """A broker loses its disk. It has forgotten its votes, so it counts for nothing until it was caught up
    and took the place of the old disk.
    """
    simulation, leader = started_cluster()
    for number in range(200):
        put(simulation, leader, f"v{number}")
    simulation.run_for(SECOND_US)
    restarted = others(simulation, leader)[0]
    old_member = restarted.member
    restarted.crash()
    restarted.replace_disk()
    restarted.start()
    assert restarted.running_replica.node.next_tick_us > 1 << 60  # it never campaigns
    simulation.run_for(4 * SECOND_US)
    voters = leader.running_replica.node.members.voters
    assert old_member not in voters and restarted.member in voters and len(voters) == 3
    assert restarted.read_register("k") == "v199" and not simulation.verdict().broken


def test_two_processes_under_one_name_remove_nobody() -> None:
    """A second process is started under a member's name by mistake. Its disk is not admitted while the first
    one answers.
    """
    simulation, leader = started_cluster()
    other = others(simulation, leader)[0]
    for _ in range(10):
        leader.receive(Hello(Member(other.name, "foreign"), ""))
        simulation.run_for(SECOND_US // 5)
    assert other.member in leader.running_replica.node.members.voters
    assert other.name in leader.roster.duplicate_names


def test_a_member_that_lags_behind_the_log_resumes_its_snapshot_at_the_chunk_where_the_link_failed() -> None:
    """A member was cut off until the log no longer holds what it lacks. It is sent the snapshot, the link
    fails in between, and the chunks resume where they stopped.
    """
    simulation, leader = started_cluster()
    lagging = others(simulation, leader)[0]
    links = isolate_until_snapshot(simulation, leader, lagging)
    assert leader.running_replica.node.snapshot is not None
    assert leader.running_replica.node.log.base_index > 100
    offsets: list[int] = []
    send = simulation.network.send

    def send_until_the_link_fails(sender: str, receiver: str, message: Payload) -> None:
        if isinstance(message, SnapshotChunk) and message.data:
            offsets.append(message.offset)
            if len(offsets) == 4:
                simulation.network.cut_links.update(links)
                simulation.queue.call_later(SECOND_US, simulation.network.heal, links)
        send(sender, receiver, message)

    simulation.network.send = send_until_the_link_fails  # type: ignore[method-assign]
    simulation.network.heal_all()
    simulation.run_for(5 * SECOND_US)
    assert lagging.running_replica.last_applied == leader.running_replica.last_applied
    size = len(leader.running_replica.node.snapshot.data)
    assert len(offsets) > 5 and max(offsets) > size // 2
    # not from the beginning again after the failure
    assert len(offsets) < 3 + 2 * (size // ev.Tuning().snapshot_chunk_bytes + 1)
    assert not simulation.verdict().broken


def test_a_snapshot_with_a_damaged_chunk_is_sent_again() -> None:
    """A chunk is damaged in a way that its frame does not show. The checksum of the snapshot finds it, and
    all of it is sent again.
    """
    simulation, leader = started_cluster()
    lagging = others(simulation, leader)[0]
    isolate_until_snapshot(simulation, leader, lagging)
    send = simulation.network.send
    damaged_offsets: list[int] = []

    def send_with_one_damaged_chunk(sender: str, receiver: str, message: Payload) -> None:
        if isinstance(message, SnapshotChunk) and message.data and not damaged_offsets:
            damaged_offsets.append(message.offset)
            damaged = bytes([message.data[0] ^ 1]) + message.data[1:]
            message = replace(message, data=damaged)
        send(sender, receiver, message)

    simulation.network.send = send_with_one_damaged_chunk  # type: ignore[method-assign]
    simulation.network.heal_all()
    simulation.run_for(5 * SECOND_US)
    assert damaged_offsets and lagging.running_replica.last_applied == leader.running_replica.last_applied
    assert not simulation.verdict().broken


def test_a_command_repeated_after_a_change_of_leader_takes_effect_once() -> None:
    """A client repeats a command because the leader crashed before it answered. The command may be in the log
    twice, and takes effect once.
    """
    simulation, leader = started_cluster(size=5)
    host = others(simulation, leader)[0]
    returned_us: list[int] = []
    for _ in range(2):  # the same client and serial, from two members
        simulation.clients.invoke(
            host, "swap", "n", ">first", lambda: returned_us.append(simulation.now_us),
            timeout_us=6 * SECOND_US, session=("one", 7),
        )  # fmt: skip
        host = others(simulation, host)[1]
        assert host.replica is not None
        leader.crash()
        simulation.run_for(2 * SECOND_US)
        leader.start()
        simulation.run_for(SECOND_US)
        leader = simulation.leader() or leader
    assert len(returned_us) == 2
    assert {each.read_register("n") for each in simulation.hosts.values()} == {"first"}


def test_leadership_is_transferred_on_request() -> None:
    """An operator transfers leadership to a certain member: it leads within 200 ms."""
    simulation, leader = started_cluster(size=5)
    target = others(simulation, leader)[2]
    requested_us = simulation.now_us
    leader.step(ev.TransferLeadership(target.member))
    simulation.run_for(SECOND_US // 5)
    assert simulation.leader() is target and simulation.now_us - requested_us <= SECOND_US // 5


def test_a_second_cluster_is_not_bootstrapped_beside_one_that_exists() -> None:
    """All but one voter restart with empty disks at once: nobody may decide, least of all they."""
    simulation, _ = started_cluster()
    a, b, c = simulation.hosts.values()
    for host in (a, b):
        host.crash()
        host.replace_disk()
        host.start()
    simulation.run_for(10 * SECOND_US)
    assert simulation.leader() is None
    assert all(not host.running_replica.node.is_leader for host in (a, b, c))


# --- small parts --------------------------------------------------------------------------------------


def test_messages_come_as_they_were_sent() -> None:
    a, b = Member("a", "a1"), Member("b", "b1")
    entry = Entry(7, 3, "members", encode_membership(Membership((a, b), ())), "client", 9)
    message = AppendRequest("c", a, b, 3, 6, 2, (entry,), 5, 11, 400_000)
    assert decode_message(encode_message(message)) == message
    for junk in (b"", b"\xff" * 40, encode_message(message)[:-3], b"\x81\xa4type\xa3odd"):
        with pytest.raises(ValueError):
            decode_message(junk)


def test_sessions_forget_in_order_and_alike() -> None:
    one = Sessions()
    for serial in range(1, MAX_ANSWERS_PER_CLIENT + 3):
        assert one.apply_once("c", serial, lambda serial=serial: b"%d" % serial)[1]  # type: ignore[misc]
    assert one.apply_once("c", 1, lambda: b"again") == (FORGOTTEN_ANSWER, False)
    assert one.apply_once("c", MAX_ANSWERS_PER_CLIENT, lambda: b"again") == (
        b"%d" % MAX_ANSWERS_PER_CLIENT,
        False,
    )
    two = Sessions()
    two.load(one.dump())
    assert two.dump() == one.dump()
    for number in range(MAX_CLIENT_COUNT):
        one.apply_once(f"x{number}", 1, lambda: b"")
    assert one.find("c", MAX_ANSWERS_PER_CLIENT) is None and one.find("x0", 1) is not None


def test_the_check_of_histories_tells_possible_from_impossible() -> None:
    put, get = "put", "get"
    assert is_linearizable(
        [Operation(put, "k", "a", 0, 2), Operation(get, "k", "", 1, 3), Operation(get, "k", "a", 4, 5)]
    )
    assert not is_linearizable([Operation(put, "k", "a", 0, 2), Operation(get, "k", "", 3, 4)])  # stale
    assert not is_linearizable(
        [Operation(put, "k", "a", 0, 9), Operation(get, "k", "a", 1, 2), Operation(get, "k", "", 3, 4)]
    )  # seen, then not
    lost = Operation(put, "k", "b", 1)  # no answer: it may have its effect late, or never
    assert is_linearizable([lost, Operation(get, "k", "", 2, 3), Operation(get, "k", "b", 4, 5)])
    assert is_linearizable([lost, Operation(get, "k", "", 2, 3)])
    assert not is_linearizable([lost, Operation(get, "k", "b", 2, 3), Operation(get, "k", "", 4, 5)])
    swap = Operation("swap", "k", ">a", 0, 1, True)
    assert is_linearizable([swap, Operation("swap", "k", ">b", 2, 3, False)])
    assert not is_linearizable([swap, Operation("swap", "k", ">b", 2, 3, True)])  # both won
