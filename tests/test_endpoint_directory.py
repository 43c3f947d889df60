"""Pages of the endpoint list: how they are read, and which of two that disagree counts."""

from __future__ import annotations

import orjson

from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.json_stream import JsonObjectStream

HOST = {"host": "n1", "dial": "127.0.0.1:1", "block": 0, "health": "up", "born_ms": 0}


def test_the_address_of_a_removed_node_is_forgotten() -> None:
    """Nodes are replaced all day. Their addresses must not pile up."""
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
        objects, found = JsonObjectStream(), []
        for offset in range(0, len(text), size):
            found += objects.feed(text[offset : offset + size])[0]
        assert [orjson.loads(text_found) for text_found in found] == [expected, {"d": 2}]
    assert JsonObjectStream().feed(b"\n") == ([], True)
    objects = JsonObjectStream()
    assert objects.feed(b'{"a":\n\n') == ([], False) and objects.feed(b"\n1}\n") == ([b'{"a":\n\n\n1}'], True)


def test_an_older_list_does_not_revive_a_node_that_was_drained_removed_or_restarted() -> None:
    """Lists come late, twice, or from a discovery that counts anew.

    A node that drains, is removed or has restarted stays so, whatever an older list says of it.
    """
    directory = EndpointDirectory({})

    def apply_page(
        seq: int, health: str, whole: bool, kind: str | None = None, born_ms: int = 0
    ) -> list[tuple[str, int]]:
        host = {**HOST, "health": health, "born_ms": born_ms}
        update = directory.apply(directory.parse_page({"seq": seq, "whole": whole, "hosts": [host]}), kind)
        return [(entry.state, entry.started_us) for entry in update.entries]

    assert apply_page(7, "up", True, "cached") == [("live", 0)]
    # published twice
    assert apply_page(9, "draining", False) == apply_page(9, "draining", False) == [("draining", 0)]
    assert apply_page(8, "up", False) == [("draining", 0)] and directory.version == 9
    assert apply_page(5, "up", True) == [("draining", 0)] and directory.version == 5  # discovery counts anew
    assert apply_page(6, "up", False) == [("live", 0)]  # a drain undone
    assert apply_page(7, "up", False, born_ms=4) == [("live", 4000)]  # it has started anew
    assert apply_page(3, "up", True) == [("live", 4000)]  # and warms up, whatever an older list says
    assert apply_page(4, "removed", False) == [("gone", 0)]
    assert apply_page(1, "up", True, "full") == [("gone", 0)] and directory.find("n1") is None
    absent = EndpointDirectory({})
    absent.apply(absent.parse_page({"seq": 7, "whole": True, "hosts": [HOST]}))
    absent.apply(absent.parse_page({"seq": 8, "whole": True, "hosts": []}))
    assert (
        absent.apply(absent.parse_page({"seq": 6, "whole": True, "hosts": [HOST]})).entries[0].state == "gone"
    )


def test_a_node_that_one_list_left_out_is_live_again_once_a_newer_one_names_it() -> None:
    """One list leaves a node out by mistake.

    The next one names it: it serves again, and is not held for removed.
    """
    directory = EndpointDirectory({})
    for seq, hosts in ((7, [HOST]), (8, []), (9, [HOST])):
        directory.apply(directory.parse_page({"seq": seq, "whole": True, "hosts": hosts}))
    # discovery has moved
    update = directory.apply(directory.parse_page({"seq": 2, "whole": True, "hosts": [HOST]}), "full")
    assert [entry.state for entry in update.entries] == ["live"] and directory.find("n1") == HOST["dial"]
