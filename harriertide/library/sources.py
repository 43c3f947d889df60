"""Where a broker's list of boxes comes from: fixed, an operator's file that is read again, or discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from harriertide.config import model
from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import until
from harriertide.engine.log import log
from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.endpoint_watch import EndpointWatch

Post = Callable[[ev.Event], None]


class Source(Protocol):
    """Tells the core of boxes, and where each is dialled."""

    def start(self, post: Post) -> None:
        """Say what is known now, and from now on what changes; within a running loop."""

    def find(self, box: str) -> str | None:
        """Host and port of a box."""

    def subscribe(self) -> None:
        """The core asks for the changes from here on, also after it was told of a failure."""

    async def close(self) -> None:
        """Say no more."""


@dataclass(frozen=True, slots=True)
class Box:
    """A box of a fixed list. address: host and port; None where the application finds it by name."""

    name: str
    shard: int
    address: str | None = None
    started_us: int = 0
    state: str = "live"


class Fixed:
    """A list that the application keeps: tell() changes it."""

    def __init__(self, boxes: Iterable[Box]) -> None:
        self._boxes = {box.name: box for box in boxes}
        self._post: Post | None = None

    def start(self, post: Post) -> None:
        self._post = post
        post(ev.EndpointsUpdated(api.EndpointUpdate("cached", tuple(map(_entry, self._boxes.values())))))

    def tell(self, *changed: Box) -> None:
        """Boxes as they are from now on: live, draining or gone. The core hears of it in this turn."""
        for box in changed:
            if box.state not in ("live", "draining", "gone"):
                raise ValueError(f"box {box.name}: state must be live, draining or gone")
            if box.state == "gone":
                self._boxes.pop(box.name, None)
            else:
                self._boxes[box.name] = box
        if self._post is not None:
            self._post(ev.EndpointsUpdated(api.EndpointUpdate("delta", tuple(map(_entry, changed)))))

    def find(self, box: str) -> str | None:
        held = self._boxes.get(box)
        return held.address if held is not None else None

    def subscribe(self) -> None:
        """All is told as it comes."""

    async def close(self) -> None:
        self._post = None


def _entry(box: Box) -> api.NodeEntry:
    return api.NodeEntry(box.name, box.shard, box.state, 0, box.started_us)  # type: ignore[arg-type]


class OperatorFile:
    """The boxes of an operator's file, looked at again every look_s seconds.

    changed: called with each new state, before the core hears of its boxes. A file that can't be used leaves
    the old state in force, and is said once.
    """

    def __init__(self, path: str, look_s: float, changed: Callable[[model.State], None]) -> None:
        self.state = model.load(path).state
        self._path, self._look_s, self._changed = path, look_s, changed
        self._post: Post | None = None
        self._task: asyncio.Task[None] | None = None
        self._stamp = self._look()
        self._said = ""

    def _look(self) -> tuple[int, int]:
        with suppress(OSError):
            about = Path(self._path).stat()
            return about.st_mtime_ns, about.st_size
        return 0, 0

    def start(self, post: Post) -> None:
        self._post = post
        none: model.State = {section: {} for section in model.SECTIONS}
        post(ev.EndpointsUpdated(api.EndpointUpdate("cached", model.news(none, self.state).entries)))
        self._task = asyncio.get_running_loop().create_task(self._follow())

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await until(loop.time() + self._look_s)
            stamp = self._look()
            if stamp != self._stamp:
                self._stamp = stamp
                self.reread()

    def reread(self) -> None:
        """Go by the file as it is now."""
        try:
            state = model.load(self._path).state
            self._changed(state)
        except SettingsError as fault:
            if str(fault) != self._said:
                self._said = str(fault)
                log("the operator's file is refused, the old state stays in force", reason=str(fault))
            return
        self._said = ""
        news = model.news(self.state, state)
        self.state = state
        if news.entries and self._post is not None:
            self._post(ev.EndpointsUpdated(news))

    def find(self, box: str) -> str | None:
        row = self.state["boxes"].get(box)
        return str(row["address"]) if row is not None else None

    def subscribe(self) -> None:
        """All is told as it is seen."""

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


class Discovery:
    """The platform's discovery, watched. known: the list as last held, in its form.

    pushed: the address is an agent on this machine, which is watched without being asked to by the core.
    """

    def __init__(self, address: str, known: dict[str, object] | None = None, pushed: bool = False) -> None:
        self._address, self._pushed = address, pushed
        self._directory = EndpointDirectory({})
        self._known = known or {"seq": 0, "whole": True, "hosts": []}
        self._watch: EndpointWatch | None = None

    def start(self, post: Post) -> None:
        self._watch = EndpointWatch(self._address, self._directory, post)
        post(ev.EndpointsUpdated(self._directory.apply(self._directory.parse_page(self._known), "cached")))
        self._watch.set_pushed(self._pushed)

    def find(self, box: str) -> str | None:
        return self._directory.find(box)

    def subscribe(self) -> None:
        assert self._watch is not None
        self._watch.open()

    async def close(self) -> None:
        if self._watch is not None:
            await self._watch.close()
