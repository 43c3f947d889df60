"""The endpoint list as discovery writes it: JSON in, typed pages out. The wire's words stay here."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from harriertide.decide import api

_NODE_STATES = {"up": "live", "draining": "draining", "removed": "gone"}


class EndpointPageError(ValueError):
    """An object is no endpoint list; the message names the fault that reading it ran into."""


@dataclass(frozen=True, slots=True)
class EndpointPage:
    """One object of discovery: the whole endpoint list, or the changes since an earlier version.

    :param version: of the list with this page applied; it grows with each change
    :param is_complete: whether nodes that it does not name are removed
    :param entries: the nodes that it names
    :param addresses: host:port by node ID, for the nodes that have one
    """

    version: int
    is_complete: bool
    entries: tuple[api.NodeEntry, ...]
    addresses: Mapping[str, str]


EMPTY_PAGE = EndpointPage(version=0, is_complete=True, entries=(), addresses={})


def parse_page(raw: Any, zones: Mapping[str, int], version: int | None = None) -> EndpointPage:
    """Read one object of discovery.

    :param raw: the decoded JSON
    :param zones: the number of each zone, by its name; an unknown one counts as zone 0
    :param version: goes before the version that the object states
    :raises EndpointPageError: it has not the form of an endpoint list
    """
    try:
        hosts = raw["hosts"]
        return EndpointPage(
            entries=tuple(_parse_entry(host, zones) for host in hosts),
            addresses={host["host"]: str(host["dial"]) for host in hosts if host.get("dial")},
            version=int(raw["seq"]) if version is None else version,
            is_complete=bool(raw.get("whole")),
        )
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as fault:
        raise EndpointPageError(f"{type(fault).__name__} {fault}") from None


def _parse_entry(host: Mapping[str, Any], zones: Mapping[str, int]) -> api.NodeEntry:
    return api.NodeEntry(
        node_id=str(host["host"]),
        shard=int(host["block"]),
        state=_NODE_STATES[host["health"]],  # type: ignore[arg-type]
        zone=zones.get(host.get("site", ""), 0),
        started_us=int(host.get("born_ms") or 0) * 1000,
    )
