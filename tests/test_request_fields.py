"""Parsing of the request fields that decisions depend on, and the rejection of malformed ones."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harriertide.decide.settings import from_wire, names_from_wire
from harriertide.platform.fields import MalformedRequestError, read_arrival, read_fields
from tests.test_net import WIRE

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


def test_the_fields_that_decisions_need_are_parsed() -> None:
    parsed = arrival("GET", "/api?a=1&key=7f3a9c21e0b4d655", GOOD)
    assert (parsed.volume, parsed.units, parsed.shard, parsed.sharing_broker_count) == (
        "00000003b4d60021",
        2.0,
        5,
        3,
    )
    assert parsed.key == "7f3a9c21e0b4d655" and not parsed.is_retry
    # the time budget starts when the client sends the request, which is earlier
    assert 1_470_000 < parsed.deadline_at_us < 1_480_000


# Hypothesis seeds the derandomized examples from the source of this function: any edit of it, even of a name
# or the docstring, changes the examples.
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
        ("X-Extent", "volume=00000003b4d60021,units=9,shard=5,hosts=3"),  # the settings allow at most 8 units
        ("X-Extent", "volume=00000003b4d60021,units=2,units=3,shard=5,hosts=3"),
        ("X-Extent", "volume=00000003b4d60021,units=-1,shard=5,hosts=3"),
        ("X-Extent", "volume=00000003b4d60021,units=1_0,shard=5,hosts=3"),
        ("X-Budget-Ms", "1e3"),
        ("X-Budget-Ms", "-5"),
        ("X-Budget-Ms", "0"),
        ("X-Budget-Ms", "soon"),
    ],
)
def test_impossible_numbers_are_malformed(name: str, value: str) -> None:
    """A client sends numbers that are invalid for any request. The message names the field."""
    with pytest.raises(MalformedRequestError, match=name):
        arrival("GET", "/api", {**GOOD, name: value})


def test_a_deadline_is_capped_by_that_of_its_class() -> None:
    """A client sends a deadline of years, for which the core would keep the state of the request."""
    parsed = arrival("GET", "/api", {**GOOD, "X-Budget-Ms": "99999999999"})
    assert parsed.deadline_at_us <= 1_000_000 + 2_000_000
