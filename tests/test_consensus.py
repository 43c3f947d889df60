"""Tests of Raft by model checking, simulated runs and faults known to break Raft implementations."""

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
def test_all_invariants_hold_in_every_searched_state(name: str) -> None:
    """Messages are reordered, duplicated or lost and members crash; no state violates an invariant."""
    model_search, counterexample = search(name, 6_000)
    assert not counterexample and model_search.states > 3_000


@pytest.mark.parametrize(("seeded_bug", "name"), SEEDED_BUG_SEARCHES.items())
def test_seeded_bug_is_found_with_short_counterexample(seeded_bug: str, name: str) -> None:
    """A search that misses a known bug would prove nothing about the real implementation."""
    model_search, counterexample = search(name, 6_000, seeded_bug)
    assert counterexample and counterexample[0].partition(":")[0] in ("ELECTION", "COMMIT", "COMPLETE")
    assert len(counterexample) <= 12  # short enough to read


@pytest.mark.parametrize("first_seed", range(0, 40, 10))
def test_simulated_runs_with_five_members_are_linearizable(first_seed: int) -> None:
    """Under random faults and client calls, the client history is linearizable and all members converge."""
    for seed in range(first_seed, first_seed + 10):
        verdict = run_simulation(seed)
        assert not verdict.broken, f"seed {seed}: {verdict.broken}"
        assert verdict.answered > 50


@pytest.mark.parametrize("size", [1, 3, 7])
def test_simulated_runs_with_other_member_counts_are_linearizable(size: int) -> None:
    kinds = FAULT_KINDS if size > 1 else (FaultKind.CRASH, FaultKind.PAUSE, FaultKind.SLOW_DISK)
    for seed in range(6):
        verdict = run_simulation(seed, size=size, seconds=6.0, fault_kinds=kinds)
        assert not verdict.broken, f"seed {seed}: {verdict.broken}"


def test_vote_of_empty_disk_under_old_identity_loses_committed_entries() -> None:
    """A broker returns with an empty disk under its old name and its vote still counts, so a committed
    entry is lost. With disk identities the same runs lose nothing.
    """
    kinds = (FaultKind.DISK_LOSS, FaultKind.PARTITION, FaultKind.CRASH)
    bug = "empty-disk-votes"
    failing_seeds = [
        seed for seed in range(60) if run_simulation(seed, 3, 8.0, seeded_bug=bug, fault_kinds=kinds).broken
    ]
    assert failing_seeds
    assert not [seed for seed in failing_seeds if run_simulation(seed, 3, 8.0, fault_kinds=kinds).broken]


# --- fault scenarios ----------------------------------------------------------------------------------


def started_cluster(seed: int = 1, size: int = 3) -> tuple[Simulation, Host]:
    """Start a cluster and return its simulation and its elected leader."""
    simulation = Simulation(seed, size)
    for host in simulation.hosts.values():
        host.start()
    simulation.run_for(3 * SECOND_US)
    leader = simulation.leader()
    assert leader is not None
    return simulation, leader


def put(simulation: Simulation, host: Host, value: str, key: str = "k") -> list[int]:
    """Write a register through a host; the returned list receives the time of the answer."""
    returned_us: list[int] = []
    simulation.clients.invoke(
        host, "put", key, value, lambda: returned_us.append(simulation.now_us), timeout_us=5 * SECOND_US
    )
    return returned_us


def others(simulation: Simulation, host: Host) -> list[Host]:
    return [other for other in simulation.hosts.values() if other is not host]


def isolate_until_snapshot(simulation: Simulation, leader: Host, host: Host) -> set[Link]:
    """Partition a host until the others have compacted entries that it needs; return the cut links."""
    links = simulation.network.partition({host.name})
    for number in range(300):
        put(simulation, leader, "x" * 4_000, key=f"k{number}")
    simulation.run_for(2 * SECOND_US)
    return links


@pytest.mark.parametrize("size", [3, 5])
def test_one_way_failure_of_any_link_leaves_a_committing_leader_within_2_s(size: int) -> None:
    """One link fails in one direction; whichever link it is, a leader can commit after 2 s."""
    for a in range(size):
        for b in range(size):
            if a == b:
                continue
            simulation, _ = started_cluster(seed=size, size=size)
            names = list(simulation.hosts)
            simulation.network.cut_links.add((names[a], names[b]))
            simulation.run_for(2 * SECOND_US)
            leader = None
            for host in simulation.hosts.values():  # the leader's heartbeats may not reach one of the others
                if host.replica is not None and host.replica.node.is_leader:
                    leader = host
            assert leader is not None, f"{names[a]} to {names[b]}"
            returned_us = put(simulation, leader, "v")
            simulation.run_for(SECOND_US)
            assert returned_us, f"{names[a]} to {names[b]}"


def test_partitioned_member_does_not_depose_reachable_leader() -> None:
    """A member is partitioned five times and campaigns meanwhile. When its links are restored, the others
    still follow their leader, which keeps its term.
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


def test_leader_with_500_ms_disk_syncs_transfers_leadership() -> None:
    """The leader's disk becomes slow and delays each commit. The leader transfers leadership by itself,
    without a series of elections.
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


def test_leader_paused_for_8_s_answers_no_stale_read() -> None:
    """The leader's process is paused while another member is elected and commits. The old leader resumes
    in the leader role; a read requested from the old leader must not return stale state.
    """
    simulation, leader = started_cluster(size=5)
    leader.paused_until_us = simulation.now_us + 8 * SECOND_US
    simulation.run_for(3 * SECOND_US)
    new_leader = simulation.leader()
    assert new_leader is not None and new_leader is not leader
    written_us = put(simulation, new_leader, "new")
    simulation.run_for(SECOND_US)
    assert written_us
    # The read is requested from the paused leader, which is still in the leader role.
    read_us: list[int] = []
    simulation.clients.invoke(
        leader, "get", "k", "", lambda: read_us.append(simulation.now_us), timeout_us=10 * SECOND_US
    )
    simulation.run_for(10 * SECOND_US)
    assert read_us and simulation.clients.history[-1].value == "new" and not simulation.verdict().broken


def test_failed_sync_halts_the_process_for_good_and_the_others_continue() -> None:
    """Syncs fail on the leader. After a failed sync the operating system may drop unwritten pages, so the
    process stays halted even when the disk works again.
    """
    simulation, leader = started_cluster()
    leader.disk.fails_syncs = True
    failed_write_us = put(simulation, leader, "lost?")
    simulation.run_for(3 * SECOND_US)
    assert leader.running_replica.node.role == "halted" and not failed_write_us
    leader.disk.fails_syncs = False
    simulation.run_for(3 * SECOND_US)
    assert leader.running_replica.node.role == "halted"  # though the disk works again
    new_leader = simulation.leader()
    assert new_leader is not None
    returned_us = put(simulation, new_leader, "v")
    simulation.run_for(SECOND_US)
    assert returned_us


def test_broker_with_empty_disk_votes_only_after_joining_as_new_member() -> None:
    """A broker loses its disk and with it its votes. The broker has no vote until its new disk has caught
    up and replaced the old one in the membership.
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
    assert restarted.running_replica.node.next_tick_us > 1 << 60  # the restarted member never campaigns
    simulation.run_for(4 * SECOND_US)
    voters = leader.running_replica.node.members.voters
    assert old_member not in voters and restarted.member in voters and len(voters) == 3
    assert restarted.read_register("k") == "v199" and not simulation.verdict().broken


def test_second_process_under_a_members_name_removes_no_member() -> None:
    """A second process is started under a member's name by mistake. Its disk is not admitted while the
    first process responds.
    """
    simulation, leader = started_cluster()
    other = others(simulation, leader)[0]
    for _ in range(10):
        leader.receive(Hello(Member(other.name, "foreign"), ""))
        simulation.run_for(SECOND_US // 5)
    assert other.member in leader.running_replica.node.members.voters
    assert other.name in leader.roster.duplicate_names


def test_snapshot_transfer_resumes_at_the_chunk_where_the_link_failed() -> None:
    """A member was partitioned until the entries that it needs were compacted. The link fails during the
    snapshot transfer, which resumes where it stopped.
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
    # the transfer did not restart from the beginning after the failure
    assert len(offsets) < 3 + 2 * (size // ev.Tuning().snapshot_chunk_bytes + 1)
    assert not simulation.verdict().broken


def test_snapshot_with_corrupted_chunk_is_resent() -> None:
    """A chunk is corrupted without a frame error. The snapshot checksum detects the corruption, and the
    whole snapshot is resent.
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


def test_command_repeated_after_leader_change_takes_effect_once() -> None:
    """A client repeats a command because the leader crashed before answering. The command may be in the
    log twice, and takes effect once.
    """
    simulation, leader = started_cluster(size=5)
    host = others(simulation, leader)[0]
    returned_us: list[int] = []
    for _ in range(2):  # the same client and serial through two members
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
    assert {member.read_register("n") for member in simulation.hosts.values()} == {"first"}


def test_requested_leadership_transfer_completes_within_200_ms() -> None:
    """A transfer to a given member makes that member the leader within 200 ms."""
    simulation, leader = started_cluster(size=5)
    target = others(simulation, leader)[2]
    requested_us = simulation.now_us
    leader.step(ev.TransferLeadership(target.member))
    simulation.run_for(SECOND_US // 5)
    assert simulation.leader() is target and simulation.now_us - requested_us <= SECOND_US // 5


def test_no_second_cluster_is_bootstrapped_beside_an_existing_one() -> None:
    """All voters but one restart with empty disks at the same time; no member may become the leader."""
    simulation, _ = started_cluster()
    a, b, c = simulation.hosts.values()
    for host in (a, b):
        host.crash()
        host.replace_disk()
        host.start()
    simulation.run_for(10 * SECOND_US)
    assert simulation.leader() is None
    assert all(not host.running_replica.node.is_leader for host in (a, b, c))


# --- messages, sessions and the linearizability checker -----------------------------------------------


def test_messages_round_trip_and_malformed_ones_raise_value_error() -> None:
    a, b = Member("a", "a1"), Member("b", "b1")
    entry = Entry(7, 3, "members", encode_membership(Membership((a, b), ())), "client", 9)
    message = AppendRequest("c", a, b, 3, 6, 2, (entry,), 5, 11, 400_000)
    assert decode_message(encode_message(message)) == message
    for malformed in (b"", b"\xff" * 40, encode_message(message)[:-3], b"\x81\xa4type\xa3odd"):
        with pytest.raises(ValueError):
            decode_message(malformed)


def test_sessions_drop_oldest_answers_and_clients_and_round_trip() -> None:
    sessions = Sessions()
    for serial in range(1, MAX_ANSWERS_PER_CLIENT + 3):
        assert sessions.apply_once("c", serial, lambda serial=serial: b"%d" % serial)[1]  # type: ignore[misc]
    assert sessions.apply_once("c", 1, lambda: b"again") == (FORGOTTEN_ANSWER, False)
    assert sessions.apply_once("c", MAX_ANSWERS_PER_CLIENT, lambda: b"again") == (
        b"%d" % MAX_ANSWERS_PER_CLIENT,
        False,
    )
    loaded = Sessions()
    loaded.load(sessions.dump())
    assert loaded.dump() == sessions.dump()
    for number in range(MAX_CLIENT_COUNT):
        sessions.apply_once(f"x{number}", 1, lambda: b"")
    assert sessions.find("c", MAX_ANSWERS_PER_CLIENT) is None and sessions.find("x0", 1) is not None


def test_linearizability_checker_accepts_possible_and_rejects_impossible_histories() -> None:
    put, get = "put", "get"
    assert is_linearizable(
        [Operation(put, "k", "a", 0, 2), Operation(get, "k", "", 1, 3), Operation(get, "k", "a", 4, 5)]
    )
    assert not is_linearizable([Operation(put, "k", "a", 0, 2), Operation(get, "k", "", 3, 4)])  # stale read
    assert not is_linearizable(
        [Operation(put, "k", "a", 0, 9), Operation(get, "k", "a", 1, 2), Operation(get, "k", "", 3, 4)]
    )  # the value is read and then lost
    unanswered = Operation(put, "k", "b", 1)  # may take effect late or never
    assert is_linearizable([unanswered, Operation(get, "k", "", 2, 3), Operation(get, "k", "b", 4, 5)])
    assert is_linearizable([unanswered, Operation(get, "k", "", 2, 3)])
    assert not is_linearizable([unanswered, Operation(get, "k", "b", 2, 3), Operation(get, "k", "", 4, 5)])
    swap = Operation("swap", "k", ">a", 0, 1, True)
    assert is_linearizable([swap, Operation("swap", "k", ">b", 2, 3, False)])
    assert not is_linearizable([swap, Operation("swap", "k", ">b", 2, 3, True)])  # both swaps succeed
