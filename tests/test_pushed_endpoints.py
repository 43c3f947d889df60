"""Endpoint lists pushed by an agent on the broker's machine."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from pathlib import Path

import pytest

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.clock import sleep_until
from harriertide.lab.simulation import virtual_time
from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.endpoint_watch import EndpointWatch
from tests.platform_scripts import DRAINED_ON_WATCH, PUSHED_SETTINGS, WATCH_OPENED
from tests.test_net import OK, play

OUTDATED_ENTRY = '{"host":"b1","dial":"127.0.0.1:1","block":0,"health":"up"}'


PUSHED_LIST_SCENARIOS = {
    "a pushed list is watched from the start, and a drain in it ends sends": f"""
        {WATCH_OPENED}
        s send list b1=draining
        wait 0.05
        c send GET /api @0
        c expect 503 Retry-After=0.*
        b1 expect nothing
        d expect watches=0""",
    "a watch that is cut off is reopened at once, from the last known version": f"""
        {WATCH_OPENED}
        s send list b1=up
        wait 0.05
        s close
        s expect GET /registry/instances?watch=1&after=9
        {DRAINED_ON_WATCH}""",
    "an agent that ends each watch after a byte is polled again after a backoff": f"""
        {WATCH_OPENED}
        s close
        s expect GET /registry/instances?watch=1&after=7
        s send 200 Transfer-Encoding=chunked
        s send raw ''
        s close
        s expect nothing
        s expect GET /registry/instances?watch=1&after=7
        {DRAINED_ON_WATCH}""",
    "a reload to polling ends the watch, and one to pushed lists begins it": f"""
        {WATCH_OPENED}
        s send list b1=up
        wait 0.05
        d send config 'settings.membershipMode="ask"'
        s close
        s expect GET /registry/instances?watch=1&after=9
        s send 503
        wait 0.2
        s expect nothing
        d send config 'settings.membershipMode="push"'
        s expect GET /registry/instances?watch=1&after=9
        {DRAINED_ON_WATCH}""",
    "an agent that rejects the watch or sends nonsense is polled again and again": f"""
        s expect GET /registry/instances?watch=1&after=7
        s send 503
        s expect GET /registry/instances?watch=1&after=7
        s send 200 Transfer-Encoding=chunked
        s send raw nonsense
        s expect GET /registry/instances?watch=1&after=7
        {DRAINED_ON_WATCH}""",
    "a new process is ready with the agent's list, which may contain a drain": """
        s expect GET /registry/instances?watch=1&after=7
        c send GET /health/ready
        c expect 503
        s send 200 Transfer-Encoding=chunked
        s send list b1=draining
        wait 0.05
        c send GET /health/ready
        c expect 200
        c send GET /api @0
        c expect 503
        b1 expect nothing""",
    "changes that come twice or out of order do not revive removed nodes": f"""
        {WATCH_OPENED}
        s send list b1=draining
        s send list b1=draining
        s send raw '{{"seq":8,"whole":false,"hosts":[{OUTDATED_ENTRY}]}}'
        s expect GET /registry/instances
        s send 200 body='{{"seq":8,"whole":true,"hosts":[{OUTDATED_ENTRY}]}}'
        s expect GET /registry/instances?watch=1&after=8
        s send 200 Transfer-Encoding=chunked
        s send raw ''
        wait 0.05
        c send GET /api @0
        c expect 503
        s send raw '{{"seq":3,"whole":true,"hosts":[]}}'
        wait 0.05
        c send GET /api @1
        c expect 503
        s send list b2=up
        wait 0.05
        c send GET /api @1
        b2 expect GET /api
        b2 send 200
        c expect 200""",
}


@pytest.mark.parametrize("script", PUSHED_LIST_SCENARIOS.values(), ids=PUSHED_LIST_SCENARIOS.keys())
def test_pushed_endpoint_lists(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script.lstrip(), objects=False, folder=tmp_path, wire=PUSHED_SETTINGS))


def test_a_new_process_with_a_silent_agent_becomes_ready(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The agent is silent when a broker starts.

    The broker waits for a list until a timeout, then serves with the list in its configuration.
    """
    from harriertide.cli import startup

    monkeypatch.setattr(startup, "FIRST_LIST_TIMEOUT_S", 0.2)
    script = """s expect GET /registry/instances?watch=1&after=7
        c send GET /health/ready
        c expect 503
        wait 0.3
        c send GET /health/ready
        c expect 200"""
    asyncio.run(play(script, objects=False, folder=tmp_path, wire=PUSHED_SETTINGS))


def test_a_silent_agent_is_polled_again_and_its_later_drain_takes_effect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An agent goes silent and leaves two further calls unanswered.

    Requests are served meanwhile, and a drain that the agent reports afterwards takes effect immediately.
    """
    from harriertide.platform import endpoint_watch

    monkeypatch.setattr(endpoint_watch, "PUSHED_HEAD_TIMEOUT_S", 0.15)
    monkeypatch.setattr(endpoint_watch, "WATCH_SILENCE_S", 0.3)
    script = f"""{WATCH_OPENED}
        s expect GET /registry/instances?watch=1&after=7
        s expect GET /registry/instances?watch=1&after=7
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        s expect GET /registry/instances?watch=1&after=7
        {DRAINED_ON_WATCH}"""
    asyncio.run(play(script, objects=False, folder=tmp_path, wire=PUSHED_SETTINGS))


class DiscoveryAgent:
    """Pushes lists to its watchers; while silent, it accepts connections but sends nothing."""

    def __init__(self) -> None:
        self.is_silent, self.watch_count, self.lines = False, 0, ['{"seq":8,"whole":false,"hosts":[]}']
        self.open_writers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.watch_count += 1
            if not self.is_silent:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.push(writer, *self.lines)
                self.open_writers.append(writer)
            await reader.read()  # until the watcher disconnects
        writer.close()

    def push(self, writer: asyncio.StreamWriter, *lines: str) -> None:
        for line in lines:
            writer.write(f"{len(line) + 1:x}\r\n{line}\n\r\n".encode())

    async def send_heartbeats(self) -> None:
        """Send an empty line every 2 s while the agent is not silent."""
        while True:
            await sleep_until(asyncio.get_running_loop().time() + 2.0)
            for writer in self.open_writers if not self.is_silent else ():
                self.push(writer, "")


async def run_thirty_silent_seconds() -> None:
    loop, agent = asyncio.get_running_loop(), DiscoveryAgent()
    server = await asyncio.start_server(agent.serve, "127.0.0.1", 0)
    heartbeats = asyncio.ensure_future(agent.send_heartbeats())
    updates: list[tuple[float, api.EndpointUpdate]] = []

    def post(event: ev.Event) -> None:
        assert isinstance(event, ev.EndpointsUpdated)
        if event.update.entries:
            updates.append((loop.time(), event.update))

    directory = EndpointDirectory({})
    hosts = [{"host": name, "dial": "127.0.0.1:1", "block": 0, "health": "up"} for name in ("b1", "b2")]
    directory.apply(directory.parse_page({"seq": 7, "whole": True, "hosts": hosts}), "cached")
    address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    watch = EndpointWatch(address, directory, post)
    watch.set_pushed(True)
    await sleep_until(loop.time() + 10.0)
    assert agent.watch_count == 1 and not updates
    agent.is_silent = True
    await sleep_until(loop.time() + 30.0)
    assert directory.address_count() == 2 and not updates  # silence changes no node
    assert 10 <= agent.watch_count <= 31
    agent.is_silent, agent.lines = False, [json.dumps({"seq": 9, "whole": False, "hosts": [
        {**hosts[0], "health": "draining"}]})]  # fmt: skip
    resumed_at = loop.time()
    await sleep_until(resumed_at + 5.0)
    assert [update.entries[0].state for _, update in updates] == ["draining"]
    assert updates[0][0] <= resumed_at + 1.2
    await watch.close()
    heartbeats.cancel()
    server.close()


def test_a_drain_takes_effect_in_time_after_an_agent_was_silent_for_thirty_seconds() -> None:
    """An agent is silent for 30 s.

    The nodes stay in service, the broker reopens the watch about once a second, and a drain that the agent
    reports afterwards takes effect within 1.2 s.
    """
    virtual_time.run(run_thirty_silent_seconds())
