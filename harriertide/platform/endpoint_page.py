"""Parses discovery's JSON endpoint list into typed pages. Its JSON keys are used in this module only."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from harriertide.decide import api

_NODE_STATES = {"up": "live", "draining": "draining", "removed": "gone"}


class EndpointPageError(ValueError):
    """A JSON object is not a valid endpoint page; the message names the cause."""


@dataclass(frozen=True, slots=True)
class EndpointPage:
    """A JSON object from discovery: the complete endpoint list, or the changes since an earlier version.

    :param version: the version of the list after this page is applied; it increases with each change
    :param is_complete: whether nodes that the page does not list are removed
    :param entries: the nodes that the page lists
    :param addresses: host:port by node ID, for nodes that have an address
    """

    version: int
    is_complete: bool
    entries: tuple[api.NodeEntry, ...]
    addresses: Mapping[str, str]


EMPTY_PAGE = EndpointPage(version=0, is_complete=True, entries=(), addresses={})


def parse_page(raw: Any, zones: Mapping[str, int], version: int | None = None) -> EndpointPage:
    """Parse an object from discovery.

    :param raw: the decoded JSON
    :param zones: zone numbers by name; an unknown zone counts as zone 0
    :param version: overrides the version in the object
    :raises EndpointPageError: the object is not a valid endpoint page
    """
    try:
        hosts = raw["hosts"]
        return EndpointPage(
            entries=tuple(_parse_entry(host, zones) for host in hosts),
            addresses={host["host"]: str(host["dial"]) for host in hosts if host.get("dial")},
            version=int(raw["seq"]) if version is None else version,
            is_complete=bool(raw.get("whole")),
        )
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise EndpointPageError(f"{type(error).__name__}: {error}") from None


def _parse_entry(host: Mapping[str, Any], zones: Mapping[str, int]) -> api.NodeEntry:
    return api.NodeEntry(
        node_id=str(host["host"]),
        shard=int(host["block"]),
        state=_NODE_STATES[host["health"]],  # type: ignore[arg-type]
        zone=zones.get(host.get("site", ""), 0),
        started_us=int(host.get("born_ms") or 0) * 1000,
    )
