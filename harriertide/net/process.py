"""The life of the daemon: configuration in, sockets up, signals, an orderly end."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from harriertide import api
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.counts import line
from harriertide.log import log
from harriertide.net.clock import Clock
from harriertide.net.discovery import Directory, Watch
from harriertide.net.front import Front, server
from harriertide.net.nodes import NodeClient
from harriertide.net.peers import Peers, address
from harriertide.net.runtime import Runtime
from harriertide.settings import Names, from_wire, names_from_wire

BACKLOG = 512
# After SIGTERM: new connections are taken this long, what is taken is finished within the other.
ACCEPT_S, FINISH_S = 0.5, 3.4


class BadConfigError(Exception):
    """The configuration cannot be used, in one plain line."""


@dataclass(frozen=True, slots=True)
class Config:
    """What a broker is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    settings: api.Settings
    names: Names
    peer_listen: tuple[str, int] | None
    peers: list[str]
    known: dict[str, Any]


def read_config(environment: Mapping[str, str]) -> Config:
    """LB_CONFIG, with LB_NAME, LB_LISTEN and LB_DISCOVERY over it where they are set."""
    path = environment.get("LB_CONFIG", "")
    if not path:
        raise BadConfigError("LB_CONFIG is not set: it names the configuration file")
    try:
        raw = orjson.loads(Path(path).read_bytes())
    except OSError as fault:
        raise BadConfigError(f"LB_CONFIG cannot be read: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise BadConfigError(f"LB_CONFIG is not JSON: {fault}") from None
    try:
        listens = str(raw.get("peer_listen") or "")
        return Config(
            name=environment.get("LB_NAME") or str(raw["name"]),
            listen=address(environment.get("LB_LISTEN") or raw["listen"]),
            discovery=environment.get("LB_DISCOVERY") or str(raw["discovery"]),
            seed=int(str(raw.get("seed") or "0"), 16),
            settings=from_wire(raw["settings"]),
            names=names_from_wire(raw["settings"]),
            peer_listen=address(listens) if listens else None,
            peers=[str(peer) for peer in raw.get("peers") or []],
            known=raw.get("known") or {"seq": 0, "whole": True, "hosts": []},
        )
    except KeyError as gap:
        raise BadConfigError(f"LB_CONFIG: {gap.args[0]} is missing or unknown") from None
    except (TypeError, ValueError, AttributeError) as fault:
        raise BadConfigError(f"LB_CONFIG: {fault}") from None


class Daemon:
    """One broker in service."""

    def __init__(self, config: Config) -> None:
        self.config = config
        loop = asyncio.get_running_loop()
        self.core = Reducer(config.settings, config.seed)
        self.runtime = Runtime(self.core, Clock(loop))
        self.directory = Directory(config.names.zones)
        self.client = NodeClient(self.directory.find, config.names.connect_us, config.names.idle_us)
        self.watch = Watch(config.discovery, self.directory, self.runtime.post)
        self.peers = Peers(config.peers, config.settings.head, self.runtime.post)
        self.front = Front(self.runtime, self.client, config.names)
        self.stopping = asyncio.Event()
        self.runtime.watch, self.runtime.tell = self.watch.open, self.peers.tell

    def counters(self) -> str:
        """All counts as one line."""
        parts = {"core": self.core.counts, "front": self.front.counts}
        return line({**parts, "watch": self.watch.counts, "peers": self.peers.counts})

    async def serve(self) -> None:
        """Serve until told to stop, then finish what is taken."""
        loop = asyncio.get_running_loop()
        config = self.config
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, lambda: log(self.counters()))
        if config.peer_listen is not None:
            await loop.create_datagram_endpoint(lambda: self.peers, local_addr=config.peer_listen)
        self.runtime.post(ev.Listed(self.directory.read(config.known, "held")))
        web_server = server(self.front)
        listener = await loop.create_server(web_server, *config.listen, backlog=BACKLOG)
        gc.collect()
        gc.freeze()  # what stands at the start need not be looked through again and again
        log(f"{config.name} serves on {config.listen[0]}:{config.listen[1]}")
        await self.stopping.wait()
        self.front.ready = False
        finish_by = loop.time() + FINISH_S
        await _until(loop, loop.time() + ACCEPT_S)
        listener.close()
        while self.core.owed() and loop.time() < finish_by:
            await _until(loop, loop.time() + 0.02)
        await _until(loop, loop.time() + 0.02)  # answers on their way out
        web_server.pre_shutdown()
        await self.watch.close()
        self.peers.close()
        await self.client.close()
        print(self.counters(), file=sys.stderr, flush=True)


async def _until(loop: asyncio.AbstractEventLoop, at: float) -> None:
    """Wait for a moment of the loop's clock."""
    come: asyncio.Future[None] = loop.create_future()
    loop.call_at(at, come.set_result, None)
    await come


def run(environment: Mapping[str, str]) -> int:
    """Serve as the environment says; 2 with one plain line where it cannot be used."""
    try:
        config = read_config(environment)
    except BadConfigError as fault:
        print(f"harriertide: {fault}", file=sys.stderr)
        return 2

    async def main() -> None:
        await Daemon(config).serve()

    try:
        asyncio.run(main())
    except OSError as fault:
        print(f"harriertide: {fault}", file=sys.stderr)
        return 2
    return 0
