"""A run drawn from one seed: faults under clients; then all is healed, and the cluster must recover."""

from __future__ import annotations

from harriertide.consensus.node import RaftNode
from harriertide.lab.raft_simulation.event_queue import SECOND_US
from harriertide.lab.raft_simulation.faults import FAULT_KINDS, Fault, FaultKind
from harriertide.lab.raft_simulation.host import Host
from harriertide.lab.raft_simulation.simulation import Simulation
from harriertide.lab.raft_simulation.verdict import Verdict

LATEST_START_US = 300_000  # of a host's first process
CLIENT_COUNT = 3  # each on a register of its own
CLIENTS_START_US = SECOND_US
CLIENTS_END_US = 2 * SECOND_US  # after the last fault began
FIRST_FAULT_US = 2 * SECOND_US
MIN_FAULT_INTERVAL_US, MAX_FAULT_INTERVAL_US = 200_000, 1_500_000
MIN_FAULT_US, MAX_FAULT_US = 100_000, 2 * SECOND_US
# Between two lost disks: a second one at once may be more than the minority that Raft tolerates.
DISK_LOSS_INTERVAL_US = 10 * SECOND_US
RECOVERY_S = 6
FINAL_PUT_TIMEOUT_US = 3 * SECOND_US


def run_simulation(
    seed: int,
    size: int = 5,
    seconds: float = 12.0,
    node_class: type[RaftNode] = RaftNode,
    seeded_bug: str = "",
    fault_kinds: tuple[FaultKind, ...] = FAULT_KINDS,
) -> Verdict:
    """Run a cluster under faults and clients, heal it, and check it.

    :param seconds: how long faults begin
    :param node_class: a member with a seeded bug
    :param seeded_bug: its name, for those that are bugs of a disk
    :param fault_kinds: drawn evenly
    """
    simulation = Simulation(seed, size, node_class, seeded_bug)
    for host in simulation.hosts.values():
        simulation.queue.call_at(simulation.random.randint(0, LATEST_START_US), host.start_if_down)
    end_us = int(seconds * SECOND_US)
    for index in range(CLIENT_COUNT):
        simulation.queue.call_at(
            CLIENTS_START_US, simulation.clients.run_client, f"k{index}", end_us + CLIENTS_END_US
        )
    _schedule_faults(simulation, end_us, fault_kinds)
    simulation.queue.run_until(end_us)
    simulation.network.heal_all()
    simulation.run_for(RECOVERY_S * SECOND_US)
    leader = simulation.leader()
    if leader is None:
        simulation.checker.violations.append(f"no leader {RECOVERY_S} s after all was healed")
    else:
        _check_recovery(simulation, leader)
    return simulation.verdict()


def _schedule_faults(simulation: Simulation, end_us: int, fault_kinds: tuple[FaultKind, ...]) -> None:
    random = simulation.random
    # Each host twice: the two hosts of a fault may be the same one.
    hosts = [*simulation.hosts.values()] * 2
    at_us = FIRST_FAULT_US
    next_disk_loss_us = 0
    while at_us < end_us:
        kind = random.choice(fault_kinds)
        host, peer = random.sample(hosts, 2)
        duration_us = random.randint(MIN_FAULT_US, MAX_FAULT_US)
        if kind == FaultKind.DISK_LOSS:
            if at_us < next_disk_loss_us:
                kind = FaultKind.CRASH
            next_disk_loss_us = at_us + DISK_LOSS_INTERVAL_US
        simulation.queue.call_at(at_us, simulation.faults.inject, Fault(kind, host, peer, duration_us))
        at_us += random.randint(MIN_FAULT_INTERVAL_US, MAX_FAULT_INTERVAL_US)


def _check_recovery(simulation: Simulation, leader: Host) -> None:
    """After all was healed the leader serves, and all hosts are voters that have what is committed."""
    violations = simulation.checker.violations
    returned: list[int] = []
    simulation.clients.invoke(
        leader, "put", "last", "x", lambda: returned.append(simulation.now_us),
        FINAL_PUT_TIMEOUT_US, session=("last", 1),
    )  # fmt: skip
    simulation.run_for(FINAL_PUT_TIMEOUT_US)
    if not returned:
        violations.append("a call is not answered after all was healed")
    node = leader.running_replica.node
    lagging = [
        host.name
        for host in simulation.hosts.values()
        if host.replica is None or host.replica.last_applied < node.commit_index
    ]
    if lagging:
        violations.append(f"{', '.join(lagging)} did not catch up")
    voters = sorted(member.name for member in node.members.voters)
    if voters != list(simulation.hosts):
        violations.append(f"voters are {', '.join(voters)} in the end")
