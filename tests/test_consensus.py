"""The agreed log: searched through its states, in simulated runs, and in situations known to hurt."""

from __future__ import annotations

from random import Random

import pytest

from harriertide.consensus import events as ev
from harriertide.consensus.messages import (
    AppendRequest,
    Entry,
    Member,
    Membership,
    SnapshotChunk,
    decode,
    encode,
    encode_membership,
)
from harriertide.consensus.sessions import ANSWER_COUNT, CLIENT_COUNT, FORGOTTEN_ANSWER, Sessions
from harriertide.lab.check import SEARCHES, SEEDED_BUG_SEARCHES, search
from harriertide.lab.checkers.linearizability_checker import Operation, is_linearizable
from harriertide.lab.cluster import FAULTS, SECOND, Cluster, Host, run_simulation


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
    faults = FAULTS if size > 1 else ("kill", "pause", "slow-disk")
    for seed in range(6):
        verdict = run_simulation(seed, size=size, seconds=6.0, faults=faults)
        assert not verdict.broken, f"seed {seed}: {verdict.broken}"


def test_an_empty_disk_that_counts_as_before_loses_what_was_agreed_on() -> None:
    """A broker comes back with an empty disk under its old name, and its vote counts as before: a committed
    entry is lost. With the identity of disks the same runs lose nothing.
    """
    faults = ("lose-disk", "apart", "kill")
    bug = "empty-disk-votes"
    lost = [seed for seed in range(60) if run_simulation(seed, 3, 8.0, seeded_bug=bug, faults=faults).broken]
    assert lost
    assert not [seed for seed in lost if run_simulation(seed, 3, 8.0, faults=faults).broken]


# --- situations ---------------------------------------------------------------------------------------


def settled(seed: int = 1, size: int = 3, keep: int = 40) -> tuple[Cluster, Host]:
    """A cluster that has founded itself, and its leader."""
    sim = Cluster(seed, size, keep=keep)
    for host in sim.hosts.values():
        host.start()
    sim.run(3 * SECOND)
    leader = sim.leader()
    assert leader is not None
    return sim, leader


def put(sim: Cluster, host: Host, value: str, key: str = "k") -> list[int]:
    """Calls from a host; filled with the moment of the answer."""
    done: list[int] = []
    sim.values += 1
    assert host.replica is not None
    sim._open[sim.values] = ("put", key, value, sim.now, host, host.life, lambda: done.append(sim.now))
    data = f"put\n{key}\n{value}".encode()
    name = f"c{sim.values}"
    host.do(host.replica.call(host.now(), sim.values, name, 1, data, host.now() + 5 * SECOND))
    return done


def value(host: Host, key: str = "k") -> str:
    assert host.replica is not None
    return host.replica.machine.values.get(key, "")  # type: ignore[attr-defined, no-any-return]


def others(sim: Cluster, host: Host) -> list[Host]:
    return [each for each in sim.hosts.values() if each is not host]


def links(sim: Cluster, host: Host) -> set[tuple[str, str]]:
    """All of a host, both ways."""
    return {(host.name, name) for name in sim.names} | {(name, host.name) for name in sim.names}


def behind(sim: Cluster, leader: Host, away: Host) -> set[tuple[str, str]]:
    """Cut one off until the others have let go of what it lacks; its links."""
    ways = links(sim, away)
    sim.cut |= ways
    for number in range(300):
        put(sim, leader, "x" * 4_000, key=f"k{number}")
    sim.run(sim.now + 2 * SECOND)
    return ways


@pytest.mark.parametrize("size", [3, 5])
def test_a_one_way_cut_of_any_single_link_leaves_a_leader_within_2_s(size: int) -> None:
    """One link fails in one direction only. Within 2 s some leader commits, wherever the cut is."""
    for a in range(size):
        for b in range(size):
            if a == b:
                continue
            sim, _ = settled(seed=size, size=size)
            names = sim.names
            sim.cut.add((names[a], names[b]))
            sim.run(sim.now + 2 * SECOND)
            leader = None
            for host in sim.hosts.values():  # one whose beats reach all but at most one of the others
                if host.replica is not None and host.replica.node.is_leader:
                    leader = host
            assert leader is not None, f"{names[a]} to {names[b]}"
            done = put(sim, leader, "v")
            sim.run(sim.now + SECOND)
            assert done, f"{names[a]} to {names[b]}"


def test_a_member_that_was_cut_off_never_unseats_a_good_leader() -> None:
    """A member is cut off five times and campaigns meanwhile. As it comes back the others still hear their
    leader: it keeps its term.
    """
    sim, leader = settled(size=5)
    away = others(sim, leader)[0]
    term = leader.replica.node.term  # type: ignore[union-attr]
    for _ in range(5):
        sim.cut |= links(sim, away)
        sim.run(sim.now + 3 * SECOND)
        sim.cut.clear()
        sim.run(sim.now + SECOND)
    assert sim.leader() is leader and leader.replica is not None
    assert leader.replica.node.term == term
    assert away.replica is not None and away.replica.node.leader == leader.replica.node.me


def test_a_leader_whose_disk_takes_500_ms_hands_over_by_itself() -> None:
    """The leader's disk becomes slow, so each commit waits for it. It transfers leadership by itself, without
    a series of elections.
    """
    sim, leader = settled(size=5)
    leader.disk.late_us = 500_000
    for number in range(30):
        put(sim, leader, f"v{number}")
        sim.run(sim.now + SECOND // 5)
    after = sim.leader()
    assert after is not None and after is not leader
    assert leader.disk.late_us == 500_000 and not sim.check_history().broken
    leads = [when for when, name in sim_leads(sim)]
    assert len(leads) <= 3  # it is handed over, not fought for


def sim_leads(sim: Cluster) -> list[tuple[int, str]]:
    return sorted(sim._leaders.items())


def test_a_leader_that_stands_still_for_8_s_answers_for_nobody_when_it_is_back() -> None:
    """The process of a leader is stopped, another one is elected and commits. The old one goes on and takes
    itself for the leader: a read that it is asked for must not show the old state.
    """
    sim, leader = settled(size=5)
    leader.paused_until = sim.now + 8 * SECOND
    sim.run(sim.now + 3 * SECOND)
    second = sim.leader()
    assert second is not None and second is not leader
    done = put(sim, second, "new")
    sim.run(sim.now + SECOND)
    assert done
    # a read asked of the old one while it stands still and thinks that it leads
    assert leader.replica is not None
    read: list[int] = []
    sim.values += 1
    sim._open[sim.values] = ("get", "k", "", sim.now, leader, leader.life, lambda: read.append(sim.now))
    leader.do(leader.replica.query(leader.now(), sim.values, leader.now() + 10 * SECOND))
    sim.run(sim.now + 10 * SECOND)
    assert read and sim.history[-1].value == "new" and not sim.check_history().broken


def test_a_failed_sync_is_final_for_the_process_and_the_others_go_on() -> None:
    """A sync fails once on the leader. What the system holds in memory may be lost, so that process never
    takes part again, even with a disk that works.
    """
    sim, leader = settled()
    leader.disk.fails = True
    lost = put(sim, leader, "lost?")
    sim.run(sim.now + 3 * SECOND)
    assert leader.replica is not None and leader.replica.node.role == "halted" and not lost
    leader.disk.fails = False
    sim.run(sim.now + 3 * SECOND)
    assert leader.replica.node.role == "halted"  # a disk that works again is no excuse
    second = sim.leader()
    assert second is not None
    done = put(sim, second, "v")
    sim.run(sim.now + SECOND)
    assert done


def test_a_broker_with_an_empty_disk_joins_as_a_new_member_and_may_vote_only_then() -> None:
    """A broker loses its disk. It has forgotten its votes, so it counts for nothing until it was caught up
    and took the place of the old disk.
    """
    sim, leader = settled()
    for number in range(200):
        put(sim, leader, f"v{number}")
    sim.run(sim.now + SECOND)
    back = others(sim, leader)[0]
    old = Member(back.name, back.disk.id)
    back.kill(Random(1))
    back.disk = back.new_disk()
    back.start()
    assert back.replica is not None
    assert back.replica.node.next_tick_us > 1 << 60  # it stands for nothing
    sim.run(sim.now + 4 * SECOND)
    assert leader.replica is not None
    voters = leader.replica.node.members.voters
    assert old not in voters and Member(back.name, back.disk.id) in voters and len(voters) == 3
    assert value(back) == "v199" and not sim.check_history().broken


def test_two_processes_under_one_name_throw_nobody_out() -> None:
    """A second process is started under a member's name by mistake. Its disk is not taken in while the first
    one answers.
    """
    sim, leader = settled()
    other = others(sim, leader)[0]
    from harriertide.consensus.roster import Hello

    for _ in range(10):
        leader.hear(Hello(Member(other.name, "foreign"), ""))
        sim.run(sim.now + SECOND // 5)
    assert leader.replica is not None
    assert Member(other.name, other.disk.id) in leader.replica.node.members.voters
    assert other.name in leader.roster.duplicate_names


def test_a_member_that_was_away_long_gets_the_snapshot_in_pieces_and_goes_on_where_it_broke() -> None:
    """A member was away until the log no longer holds what it lacks. It is sent the snapshot, the link breaks
    in between, and the chunks go on where they stopped.
    """
    sim, leader = settled(keep=40)
    away = others(sim, leader)[0]
    ways = behind(sim, leader, away)
    assert leader.replica is not None and leader.replica.node.snapshot is not None
    assert leader.replica.node.log.base_index > 100
    pieces: list[int] = []
    post = sim.post

    def watched(a: str, b: str, message: object) -> None:
        if isinstance(message, SnapshotChunk) and message.data:
            pieces.append(message.offset)
            if len(pieces) == 4:  # the way breaks in the midst
                sim.cut.update(ways)
                sim.at(sim.now + SECOND, sim.cut.difference_update, ways)
        post(a, b, message)  # type: ignore[arg-type]

    sim.post = watched  # type: ignore[method-assign]
    sim.cut.clear()
    sim.run(sim.now + 5 * SECOND)
    assert away.replica is not None and away.replica.applied == leader.replica.applied
    size = len(leader.replica.node.snapshot.data)
    assert len(pieces) > 5 and max(pieces) > size // 2
    assert len(pieces) < 3 + 2 * (
        size // sim.tuning.snapshot_chunk_bytes + 1
    )  # not from the beginning each time
    assert not sim.check_history().broken


def test_a_piece_that_was_damaged_on_its_way_is_sent_again() -> None:
    """A chunk is damaged in a way that its frame does not show. The checksum of the whole finds it, and all
    is sent again.
    """
    sim, leader = settled(keep=40)
    away = others(sim, leader)[0]
    behind(sim, leader, away)
    post, spoilt = sim.post, []

    def watched(a: str, b: str, message: object) -> None:
        if isinstance(message, SnapshotChunk) and message.data and not spoilt:
            spoilt.append(message.offset)
            flipped = bytes([message.data[0] ^ 1]) + message.data[1:]
            from msgspec.structs import replace

            message = replace(message, data=flipped)
        post(a, b, message)  # type: ignore[arg-type]

    sim.post = watched  # type: ignore[method-assign]
    sim.cut.clear()
    sim.run(sim.now + 5 * SECOND)
    assert spoilt and away.replica is not None and leader.replica is not None
    assert away.replica.applied == leader.replica.applied and not sim.check_history().broken


def test_a_proposal_repeated_after_a_change_of_leader_has_its_effect_once() -> None:
    """A client repeats a command because the leader died before it answered. The command may be in the log
    twice, and takes effect once.
    """
    sim, leader = settled(size=5)
    host = others(sim, leader)[0]
    assert host.replica is not None
    done: list[int] = []
    for key in ("n", "n"):  # the same client and serial, from two members
        sim.values += 1
        sim._open[sim.values] = ("put", key, "v", sim.now, host, host.life, lambda: done.append(1))
        host.do(
            host.replica.call(host.now(), sim.values, "one", 7, b"swap\nn\n>first", host.now() + 6 * SECOND)
        )
        host = others(sim, host)[1]
        assert host.replica is not None
        leader.kill(sim.random)
        sim.run(sim.now + 2 * SECOND)
        leader.start()
        sim.run(sim.now + SECOND)
        leader = sim.leader() or leader
    assert len(done) == 2
    assert {value(each, "n") for each in sim.hosts.values()} == {"first"}


def test_leadership_goes_over_when_it_is_asked_for() -> None:
    """An operator moves leadership to a certain member: it leads within 200 ms."""
    sim, leader = settled(size=5)
    target = others(sim, leader)[2]
    assert leader.replica is not None
    before = sim.now
    leader.do(leader.replica.step(leader.now(), ev.TransferLeadership(Member(target.name, target.disk.id))))
    sim.run(sim.now + SECOND // 5)
    assert sim.leader() is target and sim.now - before <= SECOND // 5


def test_a_second_cluster_is_not_founded_beside_one_that_exists() -> None:
    """All but one voter come back with empty disks at once: nobody may decide, least of all they."""
    sim, _ = settled()
    a, b, c = sim.hosts.values()
    for host in (a, b):
        host.kill(Random(1))
        host.disk = host.new_disk()
        host.start()
    sim.run(sim.now + 10 * SECOND)
    assert sim.leader() is None
    assert all(host.replica is not None and not host.replica.node.is_leader for host in (a, b, c))


# --- small parts --------------------------------------------------------------------------------------


def test_messages_come_as_they_were_sent() -> None:
    a, b = Member("a", "a1"), Member("b", "b1")
    entry = Entry(7, 3, "members", encode_membership(Membership((a, b), ())), "client", 9)
    message = AppendRequest("c", a, b, 3, 6, 2, (entry,), 5, 11, 400_000)
    assert decode(encode(message)) == message
    for junk in (b"", b"\xff" * 40, encode(message)[:-3], b"\x81\xa4type\xa3odd"):
        with pytest.raises(ValueError):
            decode(junk)


def test_sessions_forget_in_order_and_alike() -> None:
    one = Sessions()
    for serial in range(1, ANSWER_COUNT + 3):
        assert one.apply_once("c", serial, lambda serial=serial: b"%d" % serial)[1]  # type: ignore[misc]
    assert one.apply_once("c", 1, lambda: b"again") == (FORGOTTEN_ANSWER, False)
    assert one.apply_once("c", ANSWER_COUNT, lambda: b"again") == (b"%d" % ANSWER_COUNT, False)
    two = Sessions()
    two.load(one.dump())
    assert two.dump() == one.dump()
    for number in range(CLIENT_COUNT):
        one.apply_once(f"x{number}", 1, lambda: b"")
    assert one.find("c", ANSWER_COUNT) is None and one.find("x0", 1) is not None


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
