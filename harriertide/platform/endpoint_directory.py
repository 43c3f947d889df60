"""The storage nodes and their addresses, merged from endpoint pages of any version.

Pages may be late or duplicated, or come from a discovery that has restarted its version count or from the
previous process of this broker. An older page never reverts a drain, a removal or a restart that a newer page
has reported.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Literal

from harriertide.decide import api
from harriertide.platform.endpoint_page import EndpointPage, parse_page

MAX_REMOVED_NODE_COUNT = 512  # about 50 KB of IDs of removed nodes, which older pages may still list

PageKind = Literal["cached", "full"]


@dataclass(slots=True)
class DirectoryState:
    """The directory as a process of a broker hands it over to the next one.

    The record is stored by field name, so the field names are part of the hand-over format.

    :param seq: the version of the list
    :param entries: the nodes in the list
    :param dial: host:port by node ID
    :param gone: IDs of removed nodes, oldest removal first
    """

    seq: int
    entries: list[api.NodeEntry]
    dial: dict[str, str]
    gone: list[str]


class EndpointDirectory:
    """The current endpoint list.

    :param zones: zone numbers by the zone names in discovery's pages
    """

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones
        self.version = 0
        self._entries: dict[str, api.NodeEntry] = {}
        self._addresses: dict[str, str] = {}
        self._removed: dict[str, None] = {}  # IDs of removed nodes, oldest first; IDs are never reused

    def find(self, node_id: str) -> str | None:
        """Return the host:port of a node, or None if the node is unknown or has no address."""
        return self._addresses.get(node_id)

    def address_count(self) -> int:
        """Return the number of nodes that have an address."""
        return len(self._addresses)

    def parse_page(self, raw: Any, version: int | None = None) -> EndpointPage:
        """Parse a page with the current zones; see `endpoint_page.parse_page`."""
        return parse_page(raw, self.zones, version)

    def is_outdated(self, page: EndpointPage) -> bool:
        """Whether a page holds changes older than the current version of the list."""
        return not page.is_complete and page.version < self.version

    def apply(self, page: EndpointPage, kind: PageKind | None = None) -> api.EndpointUpdate:
        """Merge a page into the list.

        A page may be stale if it is older than the current list, or if it comes from a discovery that may
        count versions differently. Such a page never returns a draining or removed node to service.

        :param kind: the kind of update that the page is treated as, whatever its version; None: a page that
            the current discovery sent
        :returns: the update for the decision module
        """
        entries = page.entries
        version = page.version
        if kind is not None or page.version < self.version:
            entries = tuple(map(self._keep_safer_state, entries))
            if kind is None and not page.is_complete:
                entries = tuple(entry for entry in entries if self._drains_or_removes_listed_node(entry))
                version = self.version
        if page.is_complete:
            self._remember_removed(self._entries.keys() - {entry.node_id for entry in entries})
            self._entries = {}
            self._addresses = {}
        for entry in entries:
            self._store(entry, page)
        self.version = version
        return api.EndpointUpdate(kind or ("full" if page.is_complete else "delta"), entries)

    def _drains_or_removes_listed_node(self, entry: api.NodeEntry) -> bool:
        """Whether an entry of an outdated page drains or removes a listed node, which is valid at any age."""
        return entry.node_id in self._entries and entry.state != "live"

    def _store(self, entry: api.NodeEntry, page: EndpointPage) -> None:
        node_id = entry.node_id
        if entry.state == "gone":
            self._remember_removed([node_id])
            self._addresses.pop(node_id, None)
            self._entries.pop(node_id, None)
            return
        self._removed.pop(node_id, None)  # an earlier page omitted the node by mistake
        self._entries[node_id] = entry
        if node_id in page.addresses:
            self._addresses[node_id] = page.addresses[node_id]

    def export_state(self) -> DirectoryState:
        """Return the directory for the next process of this broker."""
        return DirectoryState(
            seq=self.version,
            entries=list(self._entries.values()),
            dial=dict(self._addresses),
            gone=list(self._removed),
        )

    def import_state(self, state: DirectoryState) -> api.EndpointUpdate:
        """Merge the directory of the previous process of this broker.

        The newer of the two lists determines the set of nodes. A drain or a removal that either process knows
        of stays in effect.

        :returns: the update for the decision module
        """
        self._remember_removed(state.gone)
        entries = list(map(self._keep_safer_state, state.entries))
        if state.seq >= self.version:
            self._entries = {}
            self._addresses = dict(state.dial)
            self.version = state.seq
        else:
            entries = list(filter(self._drains_or_removes_listed_node, entries))
        self._entries.update({entry.node_id: entry for entry in entries if entry.state != "gone"})
        return api.EndpointUpdate("cached", tuple(self._entries.values()))

    def _keep_safer_state(self, entry: api.NodeEntry) -> api.NodeEntry:
        """Return the entry, with the known state and start time where those are the safer ones.

        Otherwise a stale page could return a draining node to service, or make a restarted node look as if
        its slow start were over.
        """
        known = self._entries.get(entry.node_id)
        if entry.node_id in self._removed:
            return replace(entry, state="gone")
        if known is None or entry.started_us > known.started_us:
            return entry
        state = entry.state if known.state == "live" else known.state
        return replace(entry, state=state, started_us=known.started_us)

    def _remember_removed(self, node_ids: Iterable[str]) -> None:
        self._removed.update(dict.fromkeys(node_ids))
        while len(self._removed) > MAX_REMOVED_NODE_COUNT:
            del self._removed[next(iter(self._removed))]
