"""What deployments may differ in, on real sockets: fields that pass through, lists that are pushed."""

from __future__ import annotations

import asyncio
import copy
import json
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.decide.settings import from_wire
from harriertide.engine.clock import until
from harriertide.lab.simulation import virtual_time
from harriertide.platform.configuration import BadConfigError, read_config
from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.endpoint_watch import EndpointWatch
from tests.test_net import OK, WIRE, play

PUSHED: dict[str, Any] = {**WIRE, "membershipMode": "push"}

# Every field of the protocol's page, in odd cases and orders, unknown ones, one that comes twice, bytes that
# are no text, and those of one hop, which end here.
SENT = (
    r"PUT /api?key=7F3a9c21e0b4d655&x=%41%2f HTTP/1.1\r\n"
    r"Host: service.internal\r\nx-call-id: 9b1f03aa5c7e2d41\r\nX-Call-Class: page-read\r\n"
    r"X-Storage-Class: gold\r\nIDEMPOTENCY-key: 9b1f03aa5c7e2d41\r\nX-Budget-Ms: 1500\r\n"
    r"Content-Type: application/octet-stream\r\nX-Extent: volume=00000003b4d60021,units=2,shard=0,hosts=3\r\n"
    r"X-Again: 1\r\nX-Unknown: a,  b\r\nx-unknown: \xff\xfe\r\nCookie: c=d\r\n"
    r"Connection: keep-alive, X-Hop, x-call-id\r\nX-Hop: one\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"
)
PASSED = (
    r"PUT /api[?]key=7F3a9c21e0b4d655&x=%41%2f HTTP/1.1\r\n"
    r"Host: service.internal\r\nx-call-id: 9b1f03aa5c7e2d41\r\nX-Call-Class: page-read\r\n"
    r"X-Storage-Class: gold\r\nIDEMPOTENCY-key: 9b1f03aa5c7e2d41\r\n"
    r"Content-Type: application/octet-stream\r\nX-Extent: volume=00000003b4d60021,units=2,shard=0,hosts=3\r\n"
    r"X-Again: 1\r\nX-Unknown: a,  b\r\nx-unknown: \xff\xfe\r\nCookie: c=d\r\n"
    r"X-Budget-Ms: 1[0-9][0-9][0-9]\r\nContent-Length: 3\r\n\r\n"
)


@pytest.mark.parametrize(
    "framing", [r"Content-Length: 3\r\n\r\nabc", r"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"]
)
def test_every_field_goes_on_as_the_bytes_that_came_on_each_attempt(framing: str, tmp_path: Path) -> None:
    """Guards against fields that a box acts on (a key that makes repeats harmless) lost on the way."""
    script = f"""
        c send bytes '{SENT}{framing}'
        b1 expect PUT /api* body=abc
        b1 head '{PASSED}'
        b1 send 500
        b1 expect PUT /api* body=abc
        b1 head '{PASSED}'
        {OK}
        c expect 200 body=data"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_a_second_key_is_refused(tmp_path: Path) -> None:
    """Guards against a box that goes by one key and a broker that counts on the other."""
    head = SENT + r"Idempotency-Key: other\r\nContent-Length: 3\r\n\r\nabc"
    script = f"""
        c send bytes '{head}'
        c expect 400 body=*idempotency-key*twice*
        d expect taken=0"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


REFUSED = """c send GET /api @0
        c expect 503"""
DRAINED = f"""s send 200 Transfer-Encoding=chunked
        s send list b1=draining
        wait 0.05
        {REFUSED}"""
WATCHED = """s expect GET /registry/instances?watch=1&after=7
        s send 200 Transfer-Encoding=chunked
        s send raw ''
"""
OLD = '{"host":"b1","dial":"127.0.0.1:1","block":0,"health":"up"}'
LISTS = {
    "a list that nobody asks for is watched from the start, and a drain in it ends sends": f"""
        {WATCHED}
        s send list b1=draining
        wait 0.05
        c send GET /api @0
        c expect 503 Retry-After=0.*
        b1 expect nothing
        d expect watches=0""",
    "a watch that is cut is there again at once, from what is known": f"""
        {WATCHED}
        s send list b1=up
        wait 0.05
        s close
        s expect GET /registry/instances?watch=1&after=9
        {DRAINED}""",
    "an agent that ends each watch after a byte is asked again after a pause": f"""
        {WATCHED}
        s close
        s expect GET /registry/instances?watch=1&after=7
        s send 200 Transfer-Encoding=chunked
        s send raw ''
        s close
        s expect nothing
        s expect GET /registry/instances?watch=1&after=7
        {DRAINED}""",
    "a reload that says that the list is asked for ends it, and one that it is pushed begins it": f"""
        {WATCHED}
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
        {DRAINED}""",
    "an agent that turns the watch away or talks nonsense is asked again and again": f"""
        s expect GET /registry/instances?watch=1&after=7
        s send 503
        s expect GET /registry/instances?watch=1&after=7
        s send 200 Transfer-Encoding=chunked
        s send raw nonsense
        s expect GET /registry/instances?watch=1&after=7
        {DRAINED}""",
    "a new process is ready with the agent's list, which may tell a drain": """
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
    "changes that come twice or out of order don't bring back what is gone": f"""
        {WATCHED}
        s send list b1=draining
        s send list b1=draining
        s send raw '{{"seq":8,"whole":false,"hosts":[{OLD}]}}'
        s expect GET /registry/instances
        s send 200 body='{{"seq":8,"whole":true,"hosts":[{OLD}]}}'
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


@pytest.mark.parametrize("script", LISTS.values(), ids=LISTS.keys())
def test_pushed_lists(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script.lstrip(), objects=False, folder=tmp_path, wire=PUSHED))


def test_a_new_process_whose_agent_says_nothing_is_ready_all_the_same(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The agent on the machine is silent when a broker starts.

    The broker waits for its list for a while, and then serves from the list in its configuration.
    """
    from harriertide.cli import startup

    monkeypatch.setattr(startup, "FIRST_LIST_TIMEOUT_S", 0.2)
    script = """s expect GET /registry/instances?watch=1&after=7
        c send GET /health/ready
        c expect 503
        wait 0.3
        c send GET /health/ready
        c expect 200"""
    asyncio.run(play(script, objects=False, folder=tmp_path, wire=PUSHED))


def test_an_agent_that_falls_silent_is_asked_again_and_heard_when_it_is_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An agent goes silent and says nothing to two more calls.

    Requests are served meanwhile, and the drain that it brings when it is back holds at once.
    """
    from harriertide.platform import endpoint_watch

    monkeypatch.setattr(endpoint_watch, "PUSHED_HEAD_TIMEOUT_S", 0.15)
    monkeypatch.setattr(endpoint_watch, "WATCH_SILENCE_S", 0.3)
    script = f"""{WATCHED}
        s expect GET /registry/instances?watch=1&after=7
        s expect GET /registry/instances?watch=1&after=7
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        s expect GET /registry/instances?watch=1&after=7
        {DRAINED}"""
    asyncio.run(play(script, objects=False, folder=tmp_path, wire=PUSHED))


PROBING: dict[str, Any] = {**PUSHED, "limits": {**PUSHED["limits"], "probes": True}}
LOST = "b1 expect GET /api\n        b1 close\n"
SILENT = f"""{WATCHED}
        c send GET /api @0
        {LOST * 3}
        c expect 503
        {REFUSED}
        wait 0.3
        {REFUSED}"""
PROBES = {
    "a silent box is asked whether it lives, and no request is risked on it until it says so": f"""
        {SILENT}
        b1 expect GET /health/live X-Call-Id=- Content-Length=-
        b1 send 200 body=live
        wait 0.05
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        d expect probes=1 probe_ok=1""",
    "a box that answers its probe with nonsense stays silent": rf"""
        {SILENT}
        b1 expect GET /health/live
        b1 send bytes '\x00\xff nonsense\r\n\r\n'
        wait 0.05
        c send GET /api @0
        c expect 503
        d expect probes=1 probe_reset=1""",
    "a box that says it can't, and then nothing, is probed no more often": f"""
        {SILENT}
        b1 expect GET /health/live
        b1 send 503
        c send GET /api @0
        c expect 503
        b1 expect nothing
        wait 0.3
        c send GET /api @0
        c expect 503
        b1 expect GET /health/live
        wait 0.35
        d expect probes=2 probe_error=1 probe_timeout=1""",
}


@pytest.mark.parametrize("script", PROBES.values(), ids=PROBES.keys())
def test_probes(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script.lstrip(), objects=False, folder=tmp_path, wire=PROBING))


def test_where_probes_are_not_allowed_a_request_finds_out(tmp_path: Path) -> None:
    """A node is ejected, and the settings allow no probes.

    A client's request is the trial that reinstates it.
    """
    script = f"""{WATCHED}
        c send GET /api @0
        {LOST * 3}
        c expect 503
        wait 0.3
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        d expect probes=0"""
    asyncio.run(play(script, objects=False, folder=tmp_path, wire=PUSHED))


KEYED: dict[str, Any] = {
    **PUSHED,
    "classes": [{**WIRE["classes"][0], "effect": "deduplicated", "dedupScope": "cell", "windowUs": 400_000}],
}
WRITES = {
    "cut off within the window: again, to the same rack and with the same key": f"""
        {WATCHED}
        c send PUT /api @0 Idempotency-Key=k body=x
        b1 expect PUT /api Idempotency-Key=k
        b1 close
        b1 expect PUT /api Idempotency-Key=k X-Call-Id=id1
        {OK}
        c expect 200
        b2 expect nothing""",
    "cut off after the window: not again, and no word that trying again is harmless": f"""
        {WATCHED}
        c send PUT /api @0 Idempotency-Key=k body=x
        b1 expect PUT /api
        wait 0.5
        b1 close
        c expect 502
        b1 expect nothing
        b2 expect nothing""",
    "never begun: the box that turned it away may be asked again at any time": f"""
        {WATCHED}
        c send PUT /api @0 Idempotency-Key=k body=x
        b1 expect PUT /api
        wait 0.5
        b1 send 503 X-Rejected=1
        b1 expect PUT /api
        {OK}
        c expect 200""",
    "a new object whose first attempt may have run goes to no other rack": f"""
        {WATCHED}
        s send list b2=draining
        wait 0.05
        c send PUT /api @-1 Idempotency-Key=k body=x
        b1 expect PUT /api
        s send list b2=up
        wait 0.05
        b1 close
        b1 expect PUT /api Idempotency-Key=k
        s send list b1=draining
        wait 0.05
        b1 close
        c expect 502
        b2 expect nothing""",
}


@pytest.mark.parametrize("script", WRITES.values(), ids=WRITES.keys())
def test_keyed_writes_never_count_twice(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script.lstrip(), objects=False, folder=tmp_path, wire=KEYED))


MISSING = object()
BAD: list[tuple[str, Any]] = [
    ("membershipMode", "pull"), ("membershipMode", MISSING), ("limits", MISSING), ("limits", 7),
    ("limits.tryLimit", MISSING), ("limits.tryLimit", 0), ("limits.peers", 1), ("limits.probes", "yes"),
    ("limits.maxRetryAfterUs", "soon"), ("safety", []), ("safety.fallUs", 1.5), ("safety.coldUs", -1),
    ("safety.fallMultiple", 0.5), ("domain.youngLimit", True), ("domain.nShards", 0), ("classes", {}),
    ("classes.0", "x"), ("classes.0.effect", "odd"), ("classes.0.dedupScope", "row"), ("plans", MISSING),
    ("plans.0.ceilingRate", None), ("plans.0.weight", "1"), ("roundUs", 0), ("groupSize", MISSING),
    ("classes", []), ("plans", []), ("classes.0.name", MISSING), ("classes.0.name", 7), ("plans.0.name", ""),
    ("index", 9), ("domain.meanUnits", 0), ("safety.coldFrom", 0), ("safety.coldFrom", 2), ("zones", [1]),
    ("limits.connectTimeoutUs", "soon"), ("limits.connIdleUs", -1), ("domain.writes", "yes"),
]  # fmt: skip


# Beside the settings: a value that can't be used
OTHERS: list[tuple[str, Any]] = [
    ("name", 7), ("listen", "here"), ("listen", "127.0.0.1:port"), ("discovery", MISSING),
    ("discovery", ":1"), ("peer_listen", "127.0.0.1"), ("peers", ["127.0.0.1:1", "x"]),
    ("peers", "127.0.0.1:1"), ("seed", "xyz"), ("limits", {"sockets": "many"}),
    ("limits", {"memory_mb": -1}), ("limits", {"sockets": 10}), ("limits", 7), ("known", {"seq": 1}),
    ("known", {"seq": 1, "hosts": [{"host": "a"}]}), ("known", "none"), ("settings", []),
]  # fmt: skip
WHERE = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}


@pytest.mark.parametrize(("key", "value"), OTHERS)
def test_a_configuration_that_cannot_be_used_is_one_plain_line_that_names_the_key(
    key: str, value: Any, tmp_path: Path
) -> None:
    raw = {**WHERE, "settings": WIRE, key: value}
    if value is MISSING:
        del raw[key]
    (tmp_path / "config").write_text(json.dumps(raw))
    with pytest.raises(BadConfigError) as said:
        read_config({"LB_CONFIG": str(tmp_path / "config")})
    assert f"LB_CONFIG: {key}" in str(said.value) and "\n" not in str(said.value)


def test_a_configuration_is_an_object(tmp_path: Path) -> None:
    (tmp_path / "config").write_text("[]")
    with pytest.raises(BadConfigError, match="must be an object"):
        read_config({"LB_CONFIG": str(tmp_path / "config")})


def test_two_classes_of_one_name_are_refused(tmp_path: Path) -> None:
    settings = {**WIRE, "classes": [WIRE["classes"][0]] * 2}
    (tmp_path / "config").write_text(json.dumps({**WHERE, "settings": settings}))
    with pytest.raises(BadConfigError, match=r"settings\.classes\[1\]\.name: is there twice"):
        read_config({"LB_CONFIG": str(tmp_path / "config")})


def test_settings_with_only_what_must_be_there_and_one_class_and_grade_serve(tmp_path: Path) -> None:
    """Another customer's: no zones, no limits of plans, no repeats, a deadline of 80 ms, one attempt."""
    kind = {"name": "x", "deadlineUs": 80_000, "sloUs": 40_000, "worth": 1, "effect": "at_most_once"}
    settings = copy.deepcopy(WIRE)
    for part, keys in {"limits": ("maxRetryAfterUs", "cancel"), "domain": ("writes",)}.items():
        for key in keys:
            settings[part].pop(key, None)
    settings |= {"classes": [kind], "zones": None, "limits": {**settings["limits"], "tryLimit": 1}}
    settings["limits"]["retryAfter"] = False
    script = f"""{WATCHED}
        c send GET /api @0 X-Call-Class=x X-Budget-Ms=80
        b1 expect GET /api
        b1 send 200 body=data
        c expect 200 body=data
        c send GET /api @0 X-Call-Class=x X-Budget-Ms=80
        b1 expect GET /api
        b1 send 500
        c expect 502 Retry-After=-
        b1 expect nothing"""
    asyncio.run(play(script, objects=False, folder=tmp_path, wire=settings))


@pytest.mark.parametrize(("path", "value"), BAD)
def test_settings_that_cannot_be_used_are_one_plain_line_that_names_the_key(
    path: str, value: Any, tmp_path: Path
) -> None:
    settings = copy.deepcopy(WIRE)
    *way, last = [int(step) if step.isdigit() else step for step in path.split(".")]
    at: Any = settings
    for step in way:
        at = at[step]
    if value is MISSING:
        del at[last]
    else:
        at[last] = value
    (tmp_path / "config").write_text(json.dumps({**WHERE, "settings": settings}))
    with pytest.raises(BadConfigError) as said:
        read_config({"LB_CONFIG": str(tmp_path / "config")})
    named = path.replace(".0", "[0]")
    assert f"settings.{named}" in str(said.value) and "\n" not in str(said.value)


def test_keys_that_are_unknown_or_optional_and_null_change_nothing() -> None:
    more = copy.deepcopy(WIRE)
    more["classes"][0]["novel"] = more["safety"]["novel"] = {"x": 1}
    more["limits"]["probes"] = more["safety"]["keyQuietUs"] = None
    assert from_wire(more) == from_wire(WIRE)


class Agent:
    """Pushes lists to whoever watches; while it is silent it takes connections and says nothing on any."""

    def __init__(self) -> None:
        self.silent, self.watches, self.lines = False, 0, ['{"seq":8,"whole":false,"hosts":[]}']
        self.open: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.watches += 1
            if not self.silent:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.push(writer, *self.lines)
                self.open.append(writer)
            await reader.read()  # until the watcher goes
        writer.close()

    def push(self, writer: asyncio.StreamWriter, *lines: str) -> None:
        for line in lines:
            writer.write(f"{len(line) + 1:x}\r\n{line}\n\r\n".encode())

    async def beat(self) -> None:
        """An empty line every 2 s while it is not silent."""
        while True:
            await until(asyncio.get_running_loop().time() + 2.0)
            for writer in self.open if not self.silent else ():
                self.push(writer, "")


async def thirty_silent_seconds() -> None:
    loop, agent = asyncio.get_running_loop(), Agent()
    server = await asyncio.start_server(agent.serve, "127.0.0.1", 0)
    beat = asyncio.ensure_future(agent.beat())
    told: list[tuple[float, api.EndpointUpdate]] = []

    def post(event: ev.Event) -> None:
        assert isinstance(event, ev.EndpointsUpdated)
        if event.update.entries:
            told.append((loop.time(), event.update))

    directory = EndpointDirectory({})
    hosts = [{"host": n, "dial": "127.0.0.1:1", "block": 0, "health": "up"} for n in ("b1", "b2")]
    directory.apply(directory.parse_page({"seq": 7, "whole": True, "hosts": hosts}), "cached")
    address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    watch = EndpointWatch(address, directory, post)
    watch.set_pushed(True)
    await until(loop.time() + 10.0)
    assert agent.watches == 1 and not told
    agent.silent = True
    await until(loop.time() + 30.0)
    assert directory.address_count() == 2 and not told  # silence is no news
    assert 10 <= agent.watches <= 31
    agent.silent, agent.lines = False, [json.dumps({"seq": 9, "whole": False, "hosts": [
        {**hosts[0], "health": "draining"}]})]  # fmt: skip
    back = loop.time()
    await until(back + 5.0)
    assert [news.entries[0].state for _, news in told] == ["draining"] and told[0][0] <= back + 1.2
    await watch.close()
    beat.cancel()
    server.close()


def test_an_agent_that_is_silent_for_thirty_seconds_and_comes_back_with_a_late_drain() -> None:
    """An agent is silent for half a minute.

    Its nodes stay in service, it is asked again about once a second, and the drain that it comes back with
    holds within 1.2 s.
    """
    virtual_time.run(thirty_silent_seconds())
