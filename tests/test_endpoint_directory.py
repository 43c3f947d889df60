"""Endpoint pages: how they are parsed, and which of two contradicting pages takes precedence."""

from __future__ import annotations

import orjson

from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.json_stream import JsonObjectStream

HOST = {"host": "n1", "dial": "127.0.0.1:1", "block": 0, "health": "up", "born_ms": 0}


def test_the_address_of_a_removed_node_is_forgotten() -> None:
    """Nodes are replaced continuously, so addresses of removed nodes must not accumulate."""
    directory = EndpointDirectory({})
    for number in range(50):
        host = {"host": f"h{number}", "dial": f"127.0.0.1:{number + 1}", "block": 0, "health": "up"}
        directory.apply(directory.parse_page({"seq": number, "hosts": [host]}))
        directory.apply(directory.parse_page({"seq": number, "hosts": [{**host, "health": "removed"}]}))
    assert directory.address_count() == 0


def test_a_start_time_in_milliseconds_becomes_microseconds() -> None:
    host = {"host": "h", "dial": "127.0.0.1:1", "site": "a", "block": 3, "health": "up", "born_ms": 1_700_000}
    gone = {**host, "host": "g", "born_ms": 0, "health": "removed"}
    page = {"seq": 5, "whole": False, "hosts": [host, gone]}
    directory = EndpointDirectory({"a": 0})
    first, second = directory.apply(directory.parse_page(page)).entries
    assert (first.started_us, first.shard, first.state) == (1_700_000_000, 3, "live")
    assert (second.started_us, second.state) == (0, "gone")
    assert directory.version == 5 and directory.find("h") == "127.0.0.1:1" and directory.find("g") is None


def test_watch_objects_may_be_indented_split_and_contain_brackets_in_strings() -> None:
    expected = {"a": '}]"{\\', "b": [{"c": 1}, {}]}
    text = orjson.dumps(expected, option=orjson.OPT_INDENT_2) + b"\n\n" + b'{"d":2}\n'
    for size in (1, 7, len(text)):
        stream, found_objects = JsonObjectStream(), []
        for offset in range(0, len(text), size):
            found_objects += stream.feed(text[offset : offset + size])[0]
        assert [orjson.loads(object_json) for object_json in found_objects] == [expected, {"d": 2}]
    assert JsonObjectStream().feed(b"\n") == ([], True)
    stream = JsonObjectStream()
    assert stream.feed(b'{"a":\n\n') == ([], False) and stream.feed(b"\n1}\n") == ([b'{"a":\n\n\n1}'], True)


def test_an_older_list_does_not_revive_a_node_that_was_drained_removed_or_restarted() -> None:
    """A list is late, duplicated, or from a discovery that has restarted its version count.

    A node keeps its drain, removal or restart, whatever an older list reports.
    """
    directory = EndpointDirectory({})

    def apply_page(
        seq: int, health: str, whole: bool, kind: str | None = None, born_ms: int = 0
    ) -> list[tuple[str, int]]:
        host = {**HOST, "health": health, "born_ms": born_ms}
        update = directory.apply(directory.parse_page({"seq": seq, "whole": whole, "hosts": [host]}), kind)
        return [(entry.state, entry.started_us) for entry in update.entries]

    assert apply_page(7, "up", True, "cached") == [("live", 0)]
    # a duplicate
    assert apply_page(9, "draining", False) == apply_page(9, "draining", False) == [("draining", 0)]
    assert apply_page(8, "up", False) == [("draining", 0)] and directory.version == 9
    # discovery has restarted its version count
    assert apply_page(5, "up", True) == [("draining", 0)] and directory.version == 5
    assert apply_page(6, "up", False) == [("live", 0)]  # the drain is cancelled
    assert apply_page(7, "up", False, born_ms=4) == [("live", 4000)]  # the node has restarted
    assert apply_page(3, "up", True) == [("live", 4000)]  # an older list does not end its slow start
    assert apply_page(4, "removed", False) == [("gone", 0)]
    assert apply_page(1, "up", True, "full") == [("gone", 0)] and directory.find("n1") is None
    emptied = EndpointDirectory({})
    emptied.apply(emptied.parse_page({"seq": 7, "whole": True, "hosts": [HOST]}))
    emptied.apply(emptied.parse_page({"seq": 8, "whole": True, "hosts": []}))
    assert (
        emptied.apply(emptied.parse_page({"seq": 6, "whole": True, "hosts": [HOST]})).entries[0].state
        == "gone"
    )


def test_a_node_that_a_list_omitted_is_live_again_once_a_newer_list_has_it() -> None:
    """A list omits a node by mistake, and the next list has it again.

    The node must return to service and no longer count as removed.
    """
    directory = EndpointDirectory({})
    for seq, hosts in ((7, [HOST]), (8, []), (9, [HOST])):
        directory.apply(directory.parse_page({"seq": seq, "whole": True, "hosts": hosts}))
    # discovery has moved to another address
    update = directory.apply(directory.parse_page({"seq": 2, "whole": True, "hosts": [HOST]}), "full")
    assert [entry.state for entry in update.entries] == ["live"] and directory.find("n1") == HOST["dial"]
