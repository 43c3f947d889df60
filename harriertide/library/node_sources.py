"""Where a broker's endpoint list comes from: the application, an operator's file, or discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Literal, Protocol

from harriertide.config import decision_settings, operator_file
from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import sleep_until
from harriertide.engine.log import log
from harriertide.library.peer_transport import PostEvent
from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.endpoint_watch import EndpointWatch

NodeState = Literal["live", "draining", "gone"]
_NODE_STATES = ("live", "draining", "gone")


class NodeSource(Protocol):
    """Reports nodes to the core, and knows the address of each."""

    def start(self, post: PostEvent) -> None:
        """Report the list as known, and changes from now on; called within a running event loop."""

    def find_address(self, node_id: str) -> str | None:
        """Host and port of a node."""

    def watch(self) -> None:
        """The core asks for changes from what it knows on, also after it was notified of a failure."""

    async def close(self) -> None:
        """Report nothing more."""


@dataclass(frozen=True, slots=True)
class Node:
    """A node of an application's list.

    address: host and port; None where the application finds the node by its id. started_us: when it started,
    in Unix microseconds; 0: long ago.
    """

    node_id: str
    shard: int
    address: str | None = None
    started_us: int = 0
    state: NodeState = "live"

    def to_entry(self) -> api.NodeEntry:
        """The node as the core knows it."""
        return api.NodeEntry(self.node_id, self.shard, self.state, 0, self.started_us)


class NodeList:
    """A list that the application keeps; `update` changes it."""

    def __init__(self, nodes: Iterable[Node]) -> None:
        self._nodes = {node.node_id: node for node in nodes}
        self._post: PostEvent | None = None

    def start(self, post: PostEvent) -> None:
        """Report the list, and changes from now on."""
        self._post = post
        post(ev.EndpointsUpdated(_update_of("cached", self._nodes.values())))

    def update(self, *nodes: Node) -> None:
        """Change nodes of the list; the core is notified in this turn of the event loop.

        :param nodes: as they are from now on, live, draining or gone
        :raises ValueError: a state is none of these; no node was changed
        """
        for node in nodes:
            if node.state not in _NODE_STATES:
                raise ValueError(f"node {node.node_id}: state must be live, draining or gone")
        for node in nodes:
            if node.state == "gone":
                self._nodes.pop(node.node_id, None)
            else:
                self._nodes[node.node_id] = node
        if self._post is not None:
            self._post(ev.EndpointsUpdated(_update_of("delta", nodes)))

    def find_address(self, node_id: str) -> str | None:
        """Host and port of a node."""
        node = self._nodes.get(node_id)
        return node.address if node is not None else None

    def watch(self) -> None:
        """Changes are reported as they are made."""

    async def close(self) -> None:
        """Report nothing more."""
        self._post = None


def _update_of(kind: Literal["cached", "delta"], nodes: Iterable[Node]) -> api.EndpointUpdate:
    return api.EndpointUpdate(kind, tuple(node.to_entry() for node in nodes))


class OperatorFile:
    """The nodes of an operator's file, which is polled for changes.

    A file that cannot be used leaves the state before it in force, and is logged once.

    :param poll_interval_s: between two looks at the file
    :raises OperatorFileError: the file cannot be used; the message names the key
    """

    def __init__(self, path: str, poll_interval_s: float) -> None:
        self.state = operator_file.load_operator_file(path).state
        # Called with each new state, before the core is notified of its nodes.
        self.on_state_changed: Callable[[operator_file.State], None] = lambda state: None
        self._path = path
        self._poll_interval_s = poll_interval_s
        self._post: PostEvent | None = None
        self._poll_task: asyncio.Task[None] | None = None
        self._version = self._read_version()
        self._last_error = ""

    def start(self, post: PostEvent) -> None:
        """Report the nodes as known, and changes from now on."""
        self._post = post
        empty: operator_file.State = {section: {} for section in operator_file.SECTIONS}
        entries = decision_settings.endpoint_update(empty, self.state).entries
        post(ev.EndpointsUpdated(api.EndpointUpdate("cached", entries)))
        self._poll_task = asyncio.get_running_loop().create_task(self._poll())

    def _read_version(self) -> tuple[int, int]:
        """What changes with the file: time of modification and size; zeros while it cannot be seen."""
        with suppress(OSError):
            status = Path(self._path).stat()
            return status.st_mtime_ns, status.st_size
        return 0, 0

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await sleep_until(loop.time() + self._poll_interval_s)
            version = self._read_version()
            if version != self._version:
                self._version = version
                self.reload()

    def reload(self) -> None:
        """Go by the file as it is now."""
        try:
            state = operator_file.load_operator_file(self._path).state
            self.on_state_changed(state)
        except SettingsError as fault:
            self._log_once(str(fault))
            return
        self._last_error = ""
        update = decision_settings.endpoint_update(self.state, state)
        self.state = state
        if update.entries and self._post is not None:
            self._post(ev.EndpointsUpdated(update))

    def _log_once(self, reason: str) -> None:
        if reason != self._last_error:
            self._last_error = reason
            log("the operator's file is refused, the old state stays in force", reason=reason)

    def find_address(self, node_id: str) -> str | None:
        """Host and port of a node."""
        row = self.state["boxes"].get(node_id)
        return str(row["address"]) if row is not None else None

    def watch(self) -> None:
        """Changes are reported as they are seen."""

    async def close(self) -> None:
        """Stop polling."""
        if self._poll_task is not None:
            self._poll_task.cancel()
            await asyncio.gather(self._poll_task, return_exceptions=True)


class Discovery:
    """The platform's discovery, watched.

    :param known: the list as last known, in the form of discovery; None: nothing is known
    :param pushed: the address is that of an agent on this machine, which is watched from the start on
        and not only once the core asks for changes
    """

    def __init__(self, address: str, known: dict[str, object] | None = None, pushed: bool = False) -> None:
        self._address = address
        self._pushed = pushed
        self._directory = EndpointDirectory({})
        self._known = known or {"seq": 0, "whole": True, "hosts": []}
        self._watch: EndpointWatch | None = None

    def start(self, post: PostEvent) -> None:
        """Report the list as known, and changes from now on."""
        self._watch = EndpointWatch(self._address, self._directory, post)
        post(ev.EndpointsUpdated(self._directory.apply(self._directory.parse_page(self._known), "cached")))
        self._watch.set_pushed(self._pushed)

    def find_address(self, node_id: str) -> str | None:
        """Host and port of a node."""
        return self._directory.find(node_id)

    def watch(self) -> None:
        """Watch for changes from what the core knows on."""
        assert self._watch is not None
        self._watch.open()

    async def close(self) -> None:
        """Stop watching."""
        if self._watch is not None:
            await self._watch.close()
