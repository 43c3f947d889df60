"""The invariants of harriertide/consensus/node.py, as figure 3 of the Raft paper names them.

Each check raises InvariantViolationError with the project's short name of what does not hold.
"""

from __future__ import annotations

from itertools import combinations

from harriertide.consensus.messages import Entry
from harriertide.consensus.roles import InvariantViolationError
from harriertide.consensus.state import RaftState
from harriertide.lab.model_checker.model_state import CommittedEntry, ModelState


def check_transition(before: ModelState, after: ModelState) -> None:
    """Check what must hold in a state, and between it and the one before."""
    for name, node in after.nodes.items():
        if node.is_leader:
            check_election_safety(after, node)
            check_leader_completeness(after, node)
            check_leader_append_only(before.nodes[name], node)
    for one, other in combinations(after.nodes.values(), 2):
        check_log_matching(one.log.entries, other.log.entries)


def check_election_safety(state: ModelState, leader: RaftState) -> None:
    """ELECTION: at most one leader can be elected in a given term."""
    first = state.leaders[leader.term]
    if first != leader.me:
        raise InvariantViolationError(f"ELECTION: {first.name} and {leader.me.name} lead term {leader.term}")


def check_leader_append_only(before: RaftState, leader: RaftState) -> None:
    """APPEND: a leader never overwrites or deletes entries in its log; it only appends new ones."""
    led_before = before.is_leader and before.term == leader.term
    if led_before and leader.log.entries[: len(before.log.entries)] != before.log.entries:
        raise InvariantViolationError(f"APPEND: {leader.me.name} changed its log as leader")


def check_log_matching(one: list[Entry], other: list[Entry]) -> None:
    """MATCH: two logs with an entry of the same index and term are identical up to that entry."""
    for position in range(min(len(one), len(other)) - 1, -1, -1):
        if one[position].term == other[position].term:
            if one[: position + 1] != other[: position + 1]:
                raise InvariantViolationError(f"MATCH: two logs differ up to entry {position + 1}")
            return


def check_leader_completeness(state: ModelState, leader: RaftState) -> None:
    """COMPLETE: an entry committed in a term is in the logs of the leaders of all later terms."""
    for index, committed in state.committed.items():
        if leader.term > committed.committed_in_term and leader.log.term_at(index) != committed.term:
            raise InvariantViolationError(
                f"COMPLETE: {leader.me.name} leads term {leader.term} without entry {index}"
            )


def check_state_machine_safety(node: RaftState, entry: Entry, committed: CommittedEntry) -> None:
    """COMPLETE: no member applies another entry at an index than the one that was committed there first."""
    if (entry.term, entry.data) != (committed.term, committed.data):
        raise InvariantViolationError(
            f"COMPLETE: {node.me.name} applies another entry {entry.index} than was committed"
        )


def check_commit_rule(node: RaftState, last_committed: Entry) -> None:
    """COMMIT: a leader commits by counting copies only up to an entry of its own term (section 5.4.2)."""
    if node.is_leader and last_committed.term != node.term:
        raise InvariantViolationError(
            f"COMMIT: {node.me.name} commits entry {last_committed.index} of an earlier term by count"
        )
