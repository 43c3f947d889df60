"""The object front as one thing to start and stop: store, listeners, and the operator's state."""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import web

from harriertide.config import decision_settings
from harriertide.config.admin import AdminApi
from harriertide.config.errors import OperatorFileError
from harriertide.config.operator_file import OperatorFile, State
from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.runtime import Runtime
from harriertide.http.client_server import TrackedServer, make_server
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.node_client import NodeClient
from harriertide.http.transfer_coding import TransferCodingError
from harriertide.objects.catalogue import Catalogue
from harriertide.objects.front import ObjectFront
from harriertide.objects.orphan_sweep import sweep_forever
from harriertide.objects.store import ObjectStore, RequestClasses

MAX_STATE_BYTES = 1024 * 1024  # of an operator's state that is applied

# Classes of the settings that the operator's file makes, where there is no platform.
_OWN_CLASSES = RequestClasses(read=0, write=1, bulk=2)
_EMPTY_STATE: State = {"boxes": {}, "grades": {}, "volumes": {}, "limits": {}}


class ObjectService:
    """The object front on a runtime.

    :param operator: the operator's file
    :param platform: the platform's plans, by name, where it has the nodes and grades; None: the operator has
    :param writes: for each class of the platform, whether its requests change data
    """

    def __init__(
        self,
        operator: OperatorFile,
        runtime: Runtime,
        client: NodeClient,
        platform: dict[str, int] | None,
        writes: tuple[bool, ...],
    ) -> None:
        self.state = operator.state
        self._closed_nodes: frozenset[str] | None = frozenset()  # that get nothing new; None: all
        self._operator = operator
        self._runtime = runtime
        self._platform = platform
        self._grades = list(operator.state["grades"])
        self._started_us: dict[str, int] = {}  # when nodes returned from maintenance
        self._check(operator.state)
        if platform is None:
            listed = decision_settings.endpoint_update(_EMPTY_STATE, operator.state).entries
            runtime.post(ev.EndpointsUpdated(api.EndpointUpdate("cached", listed)))
        classes = _OWN_CLASSES if platform is None else _platform_classes(writes)
        self._catalogue = Catalogue(operator.catalogue)
        self.store = ObjectStore(runtime, client, self._catalogue, lambda: self.state, self.plans, classes)
        self.front = ObjectFront(self.store)
        self.admin = AdminApi(lambda: self.state, self.apply_state)
        self._sweeper: asyncio.Task[None] | None = None

    def _check(self, state: State) -> None:
        """Check a state against the platform's.

        :raises OperatorFileError: it has what the platform has, or lacks
        """
        if self._platform is None:
            return
        if state["boxes"]:
            raise OperatorFileError("boxes: come from the platform's discovery where LB_CONFIG is set")
        for grade in state["grades"]:
            if grade not in self._platform:
                raise OperatorFileError(f"grades.{grade}: the platform has no such plan")

    def plans(self) -> dict[str, int]:
        """The decision module's number of each grade."""
        if self._platform is not None:
            return self._platform
        return {name: place for place, name in enumerate(self._grades)}

    def add_platform_plans(self, platform: dict[str, int]) -> None:
        """The platform's plans have changed; those there were keep their numbers."""
        self._platform = {**(self._platform or {}), **platform}

    def find(self, node: str) -> str | None:
        """The host:port of a node of the operator's; None if there is none of that name."""
        row = self.state["boxes"].get(node)
        return str(row["address"]) if row else None

    def counts(self) -> dict[str, Counter[str]]:
        """Counters by part."""
        return {"objects": self.front.counts, "store": self.store.counts}

    def servers(self, table: ConnectionTable) -> list[tuple[str, TrackedServer]]:
        """Listeners with their addresses: the front's and the admin's."""
        front = make_server(table, self.front.handle, self.front.refuse_coding)
        admin = make_server(table, self.admin.handle, _refuse_admin_call, MAX_STATE_BYTES)
        return [(self._operator.listen, front), (self._operator.admin, admin)]

    def start(self) -> None:
        """Begin the clean-up."""
        self._sweeper = asyncio.get_running_loop().create_task(sweep_forever(self.store))

    def apply_state(self, state: State) -> None:
        """Make this the running state. The core learns of nodes as a change of the endpoint list.

        :raises OperatorFileError: it can't be used; nothing has changed
        """
        self._check(state)
        before = self._effective_state()
        self.state = state
        if self._platform is not None:
            return
        self._grades += [name for name in state["grades"] if name not in self._grades]
        self._runtime.post(ev.SettingsChanged(decision_settings.build_settings(state, self._grades)))
        self._post_changes(before)

    def _effective_state(self) -> State:
        """The operator's state, with the nodes that may get nothing new as draining."""
        if self._closed_nodes is not None and not self._closed_nodes:
            return self.state
        boxes = {
            name: {**row, "state": "draining"}
            if self._closed_nodes is None or name in self._closed_nodes
            else row
            for name, row in self.state["boxes"].items()
        }
        return {**self.state, "boxes": boxes}

    def close_nodes(self, closed: frozenset[str] | None, returned_us: dict[str, int]) -> None:
        """Close nodes to new requests: those in maintenance, or about to be.

        :param closed: their IDs; None: all nodes
        :param returned_us: when others returned, in Unix microseconds
        """
        before = self._effective_state()
        self._closed_nodes = closed
        self._started_us = returned_us
        self._post_changes(before)

    def _post_changes(self, before: State) -> None:
        update = decision_settings.endpoint_update(before, self._effective_state(), self._started_us)
        if update.entries:
            self._runtime.post(ev.EndpointsUpdated(update))

    async def close(self) -> None:
        """End the clean-up and close the catalogue."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        self._catalogue.close()


def _platform_classes(writes: tuple[bool, ...]) -> RequestClasses:
    """The platform's first class that reads, and its first that changes data."""
    reading = [place for place, changes_data in enumerate(writes) if not changes_data] or [0]
    writing = [place for place, changes_data in enumerate(writes) if changes_data] or [0]
    return RequestClasses(read=reading[0], write=writing[0], bulk=writing[0])


def _refuse_admin_call(request: web.BaseRequest, error: TransferCodingError) -> web.StreamResponse:
    """The response to a call of the admin address whose body can't be decoded."""
    return web.json_response({"reason": str(error)}, status=error.status)
