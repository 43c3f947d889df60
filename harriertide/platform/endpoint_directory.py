"""Which storage nodes there are and where each is dialled, merged from endpoint pages of any version.

Pages may arrive late, twice, from a discovery that has restarted its version count, or from the process of
this broker that served before. The directory never lets an older page undo what a newer one said about a node
that is to leave, or that has restarted since.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Literal

from harriertide.decide import api
from harriertide.platform.endpoint_page import EndpointPage, parse_page

MAX_REMOVED_NODE_COUNT = 512  # removed nodes that are remembered against older pages, some 50 KB of IDs

PageKind = Literal["cached", "full"]


@dataclass(slots=True)
class DirectoryState:
    """The directory as one process of a broker hands it to the next.

    It is stored by field name, so the names are part of the hand-over record's form.

    :param seq: the version of the list
    :param entries: the nodes that are in the list
    :param dial: host:port by node ID
    :param gone: IDs of removed nodes, the longest ago first
    """

    seq: int
    entries: list[api.NodeEntry]
    dial: dict[str, str]
    gone: list[str]


class EndpointDirectory:
    """The endpoint list in force.

    :param zones: the number of each zone, by its name in discovery's pages
    """

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones
        self.version = 0
        self._entries: dict[str, api.NodeEntry] = {}
        self._addresses: dict[str, str] = {}
        self._removed: dict[str, None] = {}  # node IDs, which are never reused; longest ago first

    def find(self, node: str) -> str | None:
        """The host:port of a node; None if it has none or is unknown."""
        return self._addresses.get(node)

    def address_count(self) -> int:
        """How many nodes have an address."""
        return len(self._addresses)

    def parse_page(self, raw: Any, version: int | None = None) -> EndpointPage:
        """Read one object of discovery with the zones in force; see `endpoint_page.parse_page`."""
        return parse_page(raw, self.zones, version)

    def is_outdated(self, page: EndpointPage) -> bool:
        """Whether a page's changes are older than the version in force: late, or of a restarted count."""
        return not page.is_complete and page.version < self.version

    def apply(self, page: EndpointPage, kind: PageKind | None = None) -> api.EndpointUpdate:
        """Merge a page.

        A page that is older than the list in force, or that comes from a discovery that may count its
        versions otherwise, may be stale: it never puts a draining or removed node back into service.

        :param kind: what the page counts as, whatever its version; None: a current page of discovery
        :returns: the update for the decision module
        """
        entries = page.entries
        version = page.version
        if kind is not None or page.version < self.version:
            entries = tuple(map(self._keep_known_stops, entries))
            if kind is None and not page.is_complete:
                entries = tuple(entry for entry in entries if self._is_late_stop(entry))
                version = self.version
        if page.is_complete:
            self._remember_removed(self._entries.keys() - {entry.node_id for entry in entries})
            self._entries = {}
            self._addresses = {}
        for entry in entries:
            self._store(entry, page)
        self.version = version
        return api.EndpointUpdate(kind or ("full" if page.is_complete else "delta"), entries)

    def _is_late_stop(self, entry: api.NodeEntry) -> bool:
        """Whether an entry of an outdated page says that a listed node leaves: that holds at any age."""
        return entry.node_id in self._entries and entry.state != "live"

    def _store(self, entry: api.NodeEntry, page: EndpointPage) -> None:
        node = entry.node_id
        if entry.state == "gone":
            self._remember_removed([node])
            self._addresses.pop(node, None)
            self._entries.pop(node, None)
            return
        self._removed.pop(node, None)  # the page that left it out was wrong
        self._entries[node] = entry
        if node in page.addresses:
            self._addresses[node] = page.addresses[node]

    def export_state(self) -> DirectoryState:
        """The directory for the next process of this broker."""
        return DirectoryState(
            seq=self.version,
            entries=list(self._entries.values()),
            dial=dict(self._addresses),
            gone=list(self._removed),
        )

    def import_state(self, state: DirectoryState) -> api.EndpointUpdate:
        """Merge the directory of the process before this one.

        The newer of the two lists says which nodes there are. A drain or a removal that either process knows
        of holds.

        :returns: the update for the decision module
        """
        self._remember_removed(state.gone)
        entries = list(map(self._keep_known_stops, state.entries))
        if state.seq >= self.version:
            self._entries = {}
            self._addresses = dict(state.dial)
            self.version = state.seq
        else:
            entries = list(filter(self._is_late_stop, entries))
        self._entries.update({entry.node_id: entry for entry in entries if entry.state != "gone"})
        return api.EndpointUpdate("cached", tuple(self._entries.values()))

    def _keep_known_stops(self, entry: api.NodeEntry) -> api.NodeEntry:
        """The entry, with the state and the start that are known already where those are the safer ones.

        Guards against a stale page that has a draining node take requests again, or a restarted one pass for
        warm.
        """
        known = self._entries.get(entry.node_id)
        if entry.node_id in self._removed:
            return replace(entry, state="gone")
        if known is None or entry.started_us > known.started_us:
            return entry
        state = entry.state if known.state == "live" else known.state
        return replace(entry, state=state, started_us=known.started_us)

    def _remember_removed(self, nodes: Iterable[str]) -> None:
        self._removed.update(dict.fromkeys(nodes))
        while len(self._removed) > MAX_REMOVED_NODE_COUNT:
            del self._removed[next(iter(self._removed))]
