"""Files and messages of an earlier release are read, and written again byte for byte.

Brokers are upgraded one by one and may be downgraded: the new release reads files of the old one, and its
datagrams and frames reach brokers that still run the old one. The files under `tests/stored/` were written by
the code of commit 7381a03 and are never regenerated; their names and values are those of that code.
"""

from __future__ import annotations

import gzip
import json
import shutil
from dataclasses import replace
from pathlib import Path
from typing import Any

from harriertide.consensus import events as consensus_events
from harriertide.consensus.messages import Entry, Member, Membership
from harriertide.consensus.store import Store
from harriertide.control.wire import decode_message, encode_message
from harriertide.decide import api, handover, peer_messages
from harriertide.decide.scheduler import Scheduler
from harriertide.engine import workload as workloads
from harriertide.lifecycle import record
from harriertide.maintenance.commands import decode_command, encode_command
from harriertide.maintenance.state_machine import MaintenanceStateMachine
from harriertide.objects.catalogue import Catalogue
from harriertide.objects.records import Segment, StoredObject, UploadPart
from tests.helpers import SETTINGS, START_US, BrokerUnderTest

STORED = Path(__file__).parent / "stored"


def stored_json(name: str) -> Any:
    return json.loads((STORED / name).read_text())


# --- the workload record ------------------------------------------------------------------------------------


def test_a_recorded_workload_of_the_release_before_is_read(tmp_path: Path) -> None:
    path = STORED / "workload.jsonl"
    workload = workloads.load(str(path))
    assert workload.header == workloads.WorkloadHeader(SETTINGS, 5) and not workload.truncated
    first, arrived, placed, delta, full = workload.events
    entries = (api.NodeEntry("n0", 0), api.NodeEntry("n1", 1, "draining", 2, -60_000_000))
    assert first.endpoint_update == api.EndpointUpdate("cached", entries)
    assert arrived.arrival == api.Arrival("r1", 0, 1, "v1", 0, 900_000, 2.0, "k", 3, True)
    assert placed.arrival == api.Arrival("r2", 2, 0, "v2", -1, 800_000)
    assert delta.endpoint_update == api.EndpointUpdate("delta", (replace(entries[0], state="gone"),))
    assert full.endpoint_update == api.EndpointUpdate("full", entries[1:])
    assert [event.at_us for event in workload.events] == [10, 2_000, 2_500, 3_000, 4_000]
    workloads.save(str(tmp_path / "again"), workload)
    assert (tmp_path / "again").read_bytes() == path.read_bytes()


# --- the hand-over record -----------------------------------------------------------------------------------


def handed_over() -> record.Handover:
    return record.decode((STORED / "handover.record").read_bytes(), "broker-7", 3, 101.0)


def test_a_hand_over_record_of_the_release_before_is_read_and_written_alike() -> None:
    handover_record = handed_over()
    assert record.encode(handover_record) == (STORED / "handover.record").read_bytes()
    assert handover_record.drained and (handover_record.clients, handover_record.nodes) == (4, 5)
    directory = handover_record.directory
    assert directory.seq == 9 and [entry.node_id for entry in directory.entries] == ["n0", "n1", "n2"]
    assert directory.entries[2].state == "draining" and directory.gone == ["n9"]


def test_decisions_go_on_from_a_hand_over_record_of_the_release_before() -> None:
    """A new process takes over: votes, grants for warming nodes and learned rates stay valid."""
    handover_record = handed_over()
    settings = replace(SETTINGS, broker_count=3)
    scheduler = Scheduler(settings, 1)
    scheduler.decide(START_US, [api.EndpointUpdate("cached", tuple(handover_record.directory.entries))])
    handover.import_state(scheduler, handover_record.decisions, handover_record.unix_us)
    again = handover.export_state(scheduler)
    assert again.leases == handover_record.decisions.leases
    assert again.aggregates == handover_record.decisions.aggregates
    assert again.placements == handover_record.decisions.placements
    assert [node.granted for node in again.nodes] == [
        node.granted for node in handover_record.decisions.nodes
    ]


# --- datagrams between brokers ------------------------------------------------------------------------------


KINDS = {
    2: peer_messages.DemandBid, 3: peer_messages.DemandReport, 6: peer_messages.SlowStartRequest,
    7: peer_messages.SlowStartGrant, 8: peer_messages.LeaseVoteRequest, 9: peer_messages.LeaseVote,
    10: peer_messages.QuotaRequest, 11: peer_messages.QuotaGrant,
}  # fmt: skip
FLAGS = {0: (False, False), 1: (True, False), 2: (False, True), 3: (True, True)}


def peer_message(kind: int, key: int, figures: list[Any]) -> Any:
    """Build a message from the list of values that the earlier release had in place of fields."""
    if kind == 2:
        return peer_messages.DemandBid(key, tuple(figures[:6]), *figures[6:])
    if kind == 3:  # the earlier release had both flags in one value
        *rates, flags = figures
        is_known, is_overloaded = FLAGS[flags]
        return peer_messages.DemandReport(key, tuple(rates[:6]), *rates[6:], is_known, is_overloaded)
    return KINDS[kind](key, *figures)


def flags_of(messages: list[Any]) -> list[tuple[bool, bool]]:
    """Return the flags of the reports among the messages."""
    return [
        (message.is_capacity_known, message.is_overloaded)
        for message in messages
        if isinstance(message, peer_messages.DemandReport)
    ]


def test_datagrams_between_brokers_are_the_same_bytes() -> None:
    for case in stored_json("datagrams.json"):
        messages = [peer_message(case["kind"], key, figures) for key, figures in case["rows"]]
        datagrams = [bytes.fromhex(text) for text in case["datagrams"]]
        assert peer_messages.encode(messages) == datagrams
        decoded = [message for body in datagrams for message in peer_messages.decode(body)]
        if isinstance(messages[0], (peer_messages.DemandBid, peer_messages.DemandReport)):
            assert [message.shard for message in decoded if hasattr(message, "shard")] == [
                message.shard for message in messages
            ]
            assert flags_of(decoded) == flags_of(messages)
        else:
            assert decoded == messages


def test_a_broker_sends_the_same_datagrams_as_the_release_before() -> None:
    broker = BrokerUnderTest(broker_index=0, broker_count=3)
    sent = []
    for step in range(60):
        arrival = broker.request(shard=step % 2, plan=step % 2, sharing_broker_count=2, volume=f"v{step % 4}")
        actions = arrival + broker.advance(50_000)
        messages = [action for action in actions if isinstance(action, api.SendPeerMessage)]
        sent += [[message.recipient_index, message.body.hex()] for message in messages]
    assert sent == stored_json("sent_datagrams.json")


# --- members of the replicated state ------------------------------------------------------------------------


def committed(first: int, last: int, term: int) -> tuple[Entry, ...]:
    return tuple(Entry(i, term, "command", b"command %d" % i, "client-1", i) for i in range(first, last + 1))


def test_a_members_disk_of_the_release_before_is_read(tmp_path: Path) -> None:
    shutil.copytree(STORED / "member", tmp_path / "member")
    store = Store.open(tmp_path / "member")
    store.close()
    found = store.restored
    assert (found.cluster, found.term, found.voted_for) == ("cluster-1", 4, Member("b", "b1"))
    assert found.entries == committed(5, 8, 3) + committed(9, 9, 4)
    assert found.snapshot is not None and found.snapshot.data == b"state of the machine as of 4"
    assert found.snapshot.members == Membership((Member("a", "a1"), Member("b", "b1")), (Member("c", "c1"),))
    assert isinstance(found, consensus_events.RestoredState)


def test_frames_between_members_are_the_same_bytes() -> None:
    frames = [bytes.fromhex(text) for text in stored_json("member_frames.json")]
    assert len(frames) == 14
    for frame in frames:
        assert encode_message(decode_message(frame)) == frame


def test_a_maintenance_state_of_the_release_before_is_read_and_written_alike() -> None:
    snapshot = (STORED / "maintenance.state").read_bytes()
    machine = MaintenanceStateMachine()
    machine.load(snapshot)
    assert machine.dump() == snapshot
    assert {step.machine: step.phase for step in machine.state.active_steps()} == {"x1": "out", "b0": "out"}
    assert machine.state.permits_paused and machine.state.gone_brokers == {"b3"}
    assert machine.state.last_fence == 2


def test_a_log_of_the_release_before_comes_to_the_same_state() -> None:
    machine = MaintenanceStateMachine()
    for index, (command, answer) in enumerate(stored_json("maintenance_log.json"), 1):
        data = bytes.fromhex(command)
        assert machine.apply(index, data).hex() == answer
        assert encode_command(decode_command(data)) == data
    assert machine.dump() == (STORED / "maintenance.state").read_bytes()


# --- the catalogue ------------------------------------------------------------------------------------------


def test_a_catalogue_of_the_release_before_is_read(tmp_path: Path) -> None:
    path = tmp_path / "catalogue"
    path.write_bytes(gzip.decompress((STORED / "catalogue.db.gz").read_bytes()))
    catalogue = Catalogue(str(path))
    pieces = (Segment("p1", "x1", 0, 3, "t1"), Segment("p2", "x2", 1, 4, "t2"))
    kept = StoredObject("e1", "image/png", 7, 1_000, pieces, {"x-amz-meta-a": "b"})
    assert catalogue.find("photos", "a/1") == kept
    upload = catalogue.find_upload("up1", "photos", "big")
    assert upload is not None and upload.state == "open" and upload.headers == {"x-amz-meta-c": "d"}
    digest = "0123456789abcdef" * 2
    assert catalogue.parts("up1") == [
        UploadPart(1, Segment("p6", "x1", 0, 6, "t6"), digest, 5_000),
        UploadPart(2, Segment("p7", "x2", 1, 7, "t7"), digest[::-1], 5_001),
    ]
    orphans = {orphan.blob for orphan in catalogue.due_orphans(10**9, 100)}
    assert orphans == {"p3", "p5"}  # one was replaced, the other was being written when the process ended
    catalogue.close()
