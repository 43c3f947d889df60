"""The object front as one thing to start and stop: store, listeners, and the operator's state."""

from __future__ import annotations

import asyncio
from collections import Counter

from harriertide.config import model
from harriertide.config.admin import Admin
from harriertide.config.model import Operator, OperatorFileError, State
from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.runtime import Runtime
from harriertide.http.client_server import FrontServer, make_server
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.node_client import NodeClient
from harriertide.objects.catalogue import Catalogue
from harriertide.objects.front import ObjectFront
from harriertide.objects.store import Kinds, Store

STATE_BYTES = 1024 * 1024


class ObjectService:
    """The object front on a runtime. platform: the platform's plans, where it has the boxes and grades."""

    def __init__(
        self,
        operator: Operator,
        runtime: Runtime,
        client: NodeClient,
        platform: dict[str, int] | None,
        writes: tuple[bool, ...],
    ) -> None:
        self.state = operator.state
        self._operator, self._runtime, self._platform = operator, runtime, platform
        self._grades = list(operator.state["grades"])
        self.shut: frozenset[str] | None = frozenset()  # boxes out for work, or on their way out
        self._started_us: dict[str, int] = {}
        self._check(operator.state)
        kinds = Kinds(0, 1, 2)
        if platform is not None:
            reads = [place for place, write in enumerate(writes) if not write] or [0]
            changes = [place for place, write in enumerate(writes) if write] or [0]
            kinds = Kinds(reads[0], changes[0], changes[0])
        else:
            runtime.post(
                ev.EndpointsUpdated(api.EndpointUpdate("cached", model.news(_NONE, operator.state).entries))
            )
        self._catalogue = Catalogue(operator.catalogue)
        self.store = Store(runtime, client, self._catalogue, lambda: self.state, self.plans, kinds)
        self.front = ObjectFront(self.store)
        self.admin = Admin(lambda: self.state, self.enact)
        self._sweeper: asyncio.Task[None] | None = None

    def _check(self, state: State) -> None:
        if self._platform is None:
            return
        if state["boxes"]:
            raise OperatorFileError("boxes: come from the platform's discovery where LB_CONFIG is set")
        for grade in state["grades"]:
            if grade not in self._platform:
                raise OperatorFileError(f"grades.{grade}: the platform has no such plan")

    def plans(self) -> dict[str, int]:
        """The module's number of each grade."""
        if self._platform is not None:
            return self._platform
        return {name: place for place, name in enumerate(self._grades)}

    def replan(self, platform: dict[str, int]) -> None:
        """The platform's plans have changed; those there were keep their numbers."""
        self._platform = {**(self._platform or {}), **platform}

    def find(self, box: str) -> str | None:
        """Where a box of the operator's is dialled."""
        row = self.state["boxes"].get(box)
        return str(row["address"]) if row else None

    def counts(self) -> dict[str, Counter[str]]:
        """Counters by part."""
        return {"objects": self.front.counts, "store": self.store.counts}

    def servers(self, table: ConnectionTable) -> list[tuple[str, FrontServer]]:
        """Listeners: the front's and the admin's."""
        front = make_server(table, self.front.handle)
        admin = make_server(table, self.admin.handle, STATE_BYTES)
        return [(self._operator.listen, front), (self._operator.admin, admin)]

    def start(self) -> None:
        """Begin the clean-up."""
        self._sweeper = asyncio.get_running_loop().create_task(self.store.sweep())

    def enact(self, state: State) -> None:
        """Make this the running state. The core hears of boxes as a change of the list, told now."""
        self._check(state)
        old, self.state = self.shown(), state
        if self._platform is not None:
            return
        self._grades += [name for name in state["grades"] if name not in self._grades]
        self._runtime.post(ev.SettingsChanged(model.settings(state, self._grades)))
        self._tell(old)

    def shown(self) -> State:
        """The operator's state, with the boxes that may get nothing new as draining."""
        if self.shut is not None and not self.shut:
            return self.state
        boxes = {
            name: {**row, "state": "draining"} if self.shut is None or name in self.shut else row
            for name, row in self.state["boxes"].items()
        }
        return {**self.state, "boxes": boxes}

    def bar(self, shut: frozenset[str] | None, started_us: dict[str, int]) -> None:
        """Boxes that get nothing new from now on (None: no box gets any), and when others came back."""
        old, self.shut, self._started_us = self.shown(), shut, started_us
        self._tell(old)

    def _tell(self, old: State) -> None:
        news = model.news(old, self.shown(), self._started_us)
        if news.entries:
            self._runtime.post(ev.EndpointsUpdated(news))

    async def close(self) -> None:
        """End the clean-up and let go of the catalogue."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        self._catalogue.close()


_NONE: State = {"boxes": {}, "grades": {}, "volumes": {}, "limits": {}}
