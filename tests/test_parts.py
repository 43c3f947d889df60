"""Small parts of the wire side by themselves."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide.settings import SettingsSection, from_wire, names_from_wire
from harriertide.engine import counters, log
from harriertide.engine.clock import Clock
from harriertide.http.limits import OWN_DESCRIPTOR_COUNT, OWN_MEMORY_MB, Limits, read_limits
from harriertide.http.node_client import IDLE_KEEP_RATIO, NodeClient
from harriertide.http.node_pool import NodeConnectionPool
from harriertide.objects.errors import S3Error
from harriertide.objects.ranges import parse_range
from harriertide.objects.xml_format import parse_complete
from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.fields import MalformedRequestError, read_arrival, read_fields
from harriertide.platform.peers import Peers
from tests.helpers import SETTINGS
from tests.test_net import WIRE

LIMITS = Limits.from_resources(256, 64)
GOOD = {
    "X-Call-Id": "i",
    "X-Call-Class": "page-read",
    "X-Storage-Class": "gold",
    "X-Budget-Ms": "480",
    "X-Extent": "volume=00000003b4d60021,units=2,shard=5,hosts=3",
}


def arrival(method: str, target: str, headers: dict[str, str]) -> Any:
    raw = [(name.encode(), value.encode("utf-8", "surrogateescape")) for name, value in headers.items()]
    names = names_from_wire(WIRE)
    return read_arrival(method, target, read_fields(raw), 1_000_000, names, from_wire(WIRE))


def test_the_fields_that_decisions_need_are_read() -> None:
    got = arrival("GET", "/api?a=1&key=7f3a9c21e0b4d655", GOOD)
    assert (got.volume, got.units, got.shard, got.sharing_broker_count) == ("00000003b4d60021", 2.0, 5, 3)
    assert got.key == "7f3a9c21e0b4d655" and not got.is_retry
    # the budget counts from when the client sent, which was before now
    assert 1_470_000 < got.deadline_at_us < 1_480_000


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.sampled_from(sorted(GOOD)), st.text(max_size=30), st.text(max_size=30))
def test_any_header_is_read_or_said_to_be_malformed(name: str, value: str, target: str) -> None:
    """A client sends any text in a field on which something is decided.

    It is read, or the request is malformed with a reason; nothing else is raised.
    """
    try:
        arrival("GET", f"/api?{target}", {**GOOD, name: value})
    except MalformedRequestError as reason:
        assert str(reason)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("X-Extent", "volume=00000003b4d60021,units=1e300,shard=5,hosts=3"),
        ("X-Extent", "volume=00000003b4d60021,units=9,shard=5,hosts=3"),  # most_units is 8
        ("X-Extent", "volume=00000003b4d60021,units=2,units=3,shard=5,hosts=3"),
        ("X-Extent", "volume=00000003b4d60021,units=-1,shard=5,hosts=3"),
        ("X-Extent", "volume=00000003b4d60021,units=1_0,shard=5,hosts=3"),
        ("X-Budget-Ms", "1e3"),
        ("X-Budget-Ms", "-5"),
        ("X-Budget-Ms", "0"),
        ("X-Budget-Ms", "soon"),
    ],
)
def test_figures_that_cannot_be_are_malformed(name: str, value: str) -> None:
    """A client states figures that no request can have. The message names the field."""
    with pytest.raises(MalformedRequestError, match=name):
        arrival("GET", "/api", {**GOOD, name: value})


def test_a_client_waits_no_longer_than_its_class_lets_it() -> None:
    """Guards against deadlines of years, which would keep what the core holds for them."""
    got = arrival("GET", "/api", {**GOOD, "X-Budget-Ms": "99999999999"})
    assert got.deadline_at_us <= 1_000_000 + 2_000_000


def test_only_listed_peers_are_heard_and_junk_has_no_effect() -> None:
    """Datagrams come from unknown senders, from the broker's own address, and too long.

    They are counted and dropped; a peer's message that makes no sense does nothing to the core.
    """
    heard: list[Any] = []
    peers = Peers(["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"], 0, heard.append)
    peers.datagram_received(b"ok", ("127.0.0.1", 3))
    peers.datagram_received(b"own", ("127.0.0.1", 1))
    peers.datagram_received(b"who", ("127.0.0.1", 9))
    peers.datagram_received(b"x" * 257, ("127.0.0.1", 2))
    assert heard == [ev.PeerMessageReceived(2, b"ok")] and peers.counts["junk"] == 3
    core = Reducer(SETTINGS, 1)
    core.step(
        1,
        [
            ev.PeerMessageReceived(1, b""),
            ev.PeerMessageReceived(1, b"FT\x02odd"),
            ev.PeerMessageReceived(7, b"\xff" * 256),
        ],
    )
    assert core.counts["module_faults"] == 0


def test_no_datagram_is_over_256_bytes() -> None:
    """A message is too long for the wire, or for a peer that is not listed. It is counted and not sent."""

    async def main() -> None:
        loop, got = asyncio.get_running_loop(), asyncio.Queue[bytes]()

        class Other(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: Any) -> None:
                got.put_nowait(data)

        transport, _ = await loop.create_datagram_endpoint(Other, local_addr=("127.0.0.1", 0))
        at = f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"
        peers = Peers(["127.0.0.1:1", at], 0, lambda event: None)
        await loop.create_datagram_endpoint(lambda: peers, local_addr=("127.0.0.1", 0))
        peers.send(1, b"x" * 257)
        peers.send(5, b"nobody")
        peers.send(1, b"x" * 256)
        async with asyncio.timeout_at(loop.time() + 5):
            assert len(await got.get()) == 256
        assert peers.counts["unsent"] == 2
        peers.close()
        transport.close()

    asyncio.run(main())


def test_the_clock_is_unix_time_and_the_loops_at_once() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        clock = Clock(loop)
        assert abs(clock.now_us() - time.time_ns() // 1000) < 1_000_000
        assert abs(clock.loop_time(clock.now_us() + 500_000) - loop.time() - 0.5) < 0.1

    asyncio.run(main())


def test_idle_connections_are_dropped_before_the_node_would() -> None:
    """A node closes connections that were idle for long.

    A request that crosses its close would end as a reset, so the pool closes them first.
    """

    async def main() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        pool = NodeConnectionPool(LIMITS, 0.05)
        assert (
            NodeClient(lambda node: None, 250_000, 10_000_000, LIMITS).pool.idle_timeout_s
            == IDLE_KEEP_RATIO * 10
            < 10
        )
        line = await pool.connect(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        assert line is not None and len(pool) == 1
        pool.keep_idle(line)
        await asyncio.sleep(0.1)
        assert len(pool) == 0 and not line.is_connected()
        await pool.close()
        server.close()

    asyncio.run(main())


def test_the_stated_descriptors_are_shared_out_with_some_left_over() -> None:
    for sockets in (64, 256, 384, 1024):
        limits = Limits.from_resources(sockets, 64)
        assert (
            limits.max_client_connections + limits.max_node_connections + OWN_DESCRIPTOR_COUNT < sockets
            or sockets == 64
        )
        # clients hold up to a third of them for requests
        assert (
            sockets == 64
            or limits.max_client_connections >= sockets / 3
            and limits.max_node_connections >= sockets / 4
        )
        assert (
            limits.max_buffered_response_bytes + limits.max_response_bytes < (64 - OWN_MEMORY_MB) << 20
            and limits.max_response_bytes >= 1 << 20
        )
    assert read_limits(SettingsSection({"sockets": 300, "memory_mb": 80}, "limits")) == Limits.from_resources(
        300, 80
    )
    with pytest.raises(ValueError, match="limits.sockets"):
        read_limits(SettingsSection({"sockets": 10}, "limits"))


def test_the_address_of_a_node_that_is_gone_goes_too() -> None:
    """Guards against growth where nodes are replaced all day."""
    directory = EndpointDirectory({})
    for number in range(50):
        host = {"host": f"h{number}", "dial": f"127.0.0.1:{number + 1}", "block": 0, "health": "up"}
        directory.apply(directory.parse_page({"seq": number, "hosts": [host]}))
        directory.apply(directory.parse_page({"seq": number, "hosts": [{**host, "health": "removed"}]}))
    assert directory.address_count() == 0


def test_a_start_in_unix_milliseconds_becomes_the_clocks_microseconds() -> None:
    host = {"host": "h", "dial": "127.0.0.1:1", "site": "a", "block": 3, "health": "up", "born_ms": 1_700_000}
    gone = {**host, "host": "g", "born_ms": 0, "health": "removed"}
    page = {"seq": 5, "whole": False, "hosts": [host, gone]}
    directory = EndpointDirectory({"a": 0})
    first, second = directory.apply(directory.parse_page(page)).entries
    assert (first.started_us, first.shard, first.state) == (1_700_000_000, 3, "live")
    assert (second.started_us, second.state) == (0, "gone")
    assert directory.version == 5 and directory.find("h") == "127.0.0.1:1" and directory.find("g") is None


def test_the_log_is_bounded_and_says_what_it_left_out(capsys: pytest.CaptureFixture[str]) -> None:
    bounded = log.Log()
    for number in range(1_000):
        bounded(f"line {number}")
    assert len(capsys.readouterr().err.splitlines()) < 100
    bounded._available_events = 5.0
    bounded("later", what='a "b"')
    said = capsys.readouterr().err
    assert "event=later" in said and "left_out=9" in said and r'what="a \"b\""' in said
    bounded.set_format("json")
    bounded("later", count=1)
    shown = json.loads(capsys.readouterr().err)
    assert shown["event"] == "later" and shown["count"] == 1 and shown["at"]


def test_counters_are_the_fields_of_one_event() -> None:
    assert counters.counter_fields({"a": Counter(x=1, b=2)}) == {"a.b": 2, "a.x": 1}


@pytest.mark.parametrize(
    ("header", "span"),
    [
        (None, (0, 9, True)),
        ("bytes=0-0", (0, 0, False)),
        ("bytes=5-", (5, 9, False)),
        ("bytes=5-100", (5, 9, False)),
        ("bytes=-20", (0, 9, False)),
        ("bytes=4-2", (0, 9, True)),
        ("bytes=0-1,3-4", (0, 9, True)),
        ("items=0-1", (0, 9, True)),
        ("bytes=-", (0, 9, True)),
        ("bytes=x-1", (0, 9, True)),
    ],
)
def test_ranges(header: str | None, span: tuple[int, int, bool]) -> None:
    got = parse_range(header, 10)
    assert (got.first, got.last, got.is_whole) == span


@pytest.mark.parametrize(("header", "size"), [("bytes=10-", 10), ("bytes=-0", 10), ("bytes=0-", 0)])
def test_ranges_that_cannot_be_met(header: str, size: int) -> None:
    """A client asks for bytes that the object has not. It gets the error for that, with the object's size."""
    with pytest.raises(S3Error, match="range") as fault:
        parse_range(header, size)
    assert fault.value.headers["Content-Range"] == f"bytes */{size}"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"<x/>",
        b"<CompleteMultipartUpload/>",
        b"<CompleteMultipartUpload><Part><PartNumber>0</PartNumber><ETag>a</ETag></Part></CompleteMultipartUpload>",
        b'<!DOCTYPE x [<!ENTITY a "a">]><CompleteMultipartUpload/>',
    ],
)
def test_documents_that_complete_nothing(body: bytes) -> None:
    """A client completes an upload with a document that is empty, of another kind, or an attack on the
    parser.

    It gets the error for malformed XML.
    """
    with pytest.raises(S3Error) as fault:
        parse_complete(body)
    assert fault.value.code == "MalformedXML"
