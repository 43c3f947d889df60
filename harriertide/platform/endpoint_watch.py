"""The watch on discovery's endpoint list: one long HTTP response that brings a JSON object for each change.

Who opens a watch again depends on where the list comes from. Asking discovery costs it something, so there
the decision module says when (`open`). An agent on this machine pushes the list for nothing, so there the
watch is reopened by this module (`set_pushed`).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import aiohttp
import orjson

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.log import log
from harriertide.platform.endpoint_directory import EndpointDirectory, PageKind
from harriertide.platform.json_stream import MAX_OBJECT_BYTES, JsonObjectStream

# The platform counts a change as known to this broker so long after discovery had it and could be reached,
# whatever failed before. The longest ways to hear of one end before that: a watch that falls silent behind
# its last change, then a call that is never answered and one more that is; or a call that is never answered,
# behind the longest backoff of the decision module, and one more. tests/test_endpoint_watch.py adds them up
# and plays them.
NOTIFICATION_DEADLINE_S = 6.0
CONNECT_TIMEOUT_S = 0.8
# Discovery answers a call, or rejects it, within two seconds: one without a response by then gets none.
HEAD_TIMEOUT_S = 2.2
# Discovery sends an empty line every 2 s, so a watch that is silent for longer is over.
WATCH_SILENCE_S = 2.5
# What an agent pushes counts as known as soon as the agent has it, and asking it costs nothing: a watch on
# one that ends is opened again at once and then this often, and a late response is given up sooner.
REOPEN_INTERVAL_S = 0.1
PUSHED_HEAD_TIMEOUT_S = 1.0


class OutdatedPageError(ValueError):
    """Discovery sent changes older than the version in force: they are late, or it restarted its count."""


class EndpointWatch:
    """Keeps the directory up to date, with at most one watch on the current address.

    When discovery moves, the watch on its old address goes on until the one on the new address has brought a
    list: no change is missed in between.

    :param address: host:port of discovery, or of the agent that pushes its list
    :param post: takes an update for the decision module
    """

    def __init__(self, address: str, directory: EndpointDirectory, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self.address = address
        self.on_list: Callable[[], None] = lambda: None  # called with each list that was read
        self._directory = directory
        self._post = post
        self._task: asyncio.Task[None] | None = None
        self._previous_task: asyncio.Task[None] | None = None  # on the address before
        self._reopen_timer: asyncio.TimerHandle | None = None
        self._head_timeout_s = HEAD_TIMEOUT_S
        self._is_pushed = False
        self._is_closed = False
        self._failure_is_logged = False
        self._needs_full_list = False  # the discovery at this address may have a version count of its own
        self._reopened_after_silence = False  # the watch that is open was opened at once, behind a silent one

    def set_pushed(self, is_pushed: bool) -> None:
        """Say whether an agent pushes the list from now on; if so, this class reopens the watch by itself."""
        self._is_pushed = is_pushed
        self._head_timeout_s = PUSHED_HEAD_TIMEOUT_S if is_pushed else HEAD_TIMEOUT_S
        if is_pushed:
            self.open()

    def open(self) -> None:
        """Start watching, unless a watch is open."""
        if not self._is_closed and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._watch(self.address))

    def change_address(self, address: str) -> None:
        """Watch discovery at another address from now on."""
        self.address = address
        self._needs_full_list = True
        self.counts["moved"] += 1
        if self._task is not None and not self._task.done():
            self._cancel_previous()
            self._previous_task = self._task
        self._task = None
        self.open()

    def _cancel_previous(self) -> None:
        """End the watch on the address before; that is no failure."""
        if self._previous_task is not None:
            self._previous_task.cancel()
            self._previous_task = None

    async def close(self) -> None:
        """Stop watching; the decision module is not notified."""
        self._is_closed = True
        if self._reopen_timer is not None:
            self._reopen_timer.cancel()
        tasks = [task for task in (self._task, self._previous_task) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # --- the life of one watch -----------------------------------------------------------------

    async def _watch(self, address: str) -> None:
        self.counts["opened"] += 1
        opened_at = asyncio.get_running_loop().time()
        fell_silent = False
        try:
            await self._read(address)
            self.counts["ended"] += 1
        except Exception as fault:  # of any kind: without a watch, drains would go unnoticed for good
            fell_silent = self._on_failure(fault)
        if self._is_current():
            self._task = None
            self._on_end(opened_at, fell_silent)

    def _is_current(self) -> bool:
        """Whether the task that runs watches the current address, not one that discovery has left."""
        return asyncio.current_task() is self._task

    def _on_failure(self, fault: Exception) -> bool:
        """Account for a watch that broke.

        :returns: whether it fell silent, and the one before it had not
        """
        self.counts["broken"] += 1
        if not (self._is_pushed and self._failure_is_logged):  # one line for each time that an agent is away
            log("endpoint watch failed", kind=type(fault).__name__, reason=str(fault))
        self._failure_is_logged = True
        if isinstance(fault, OutdatedPageError):
            # only the complete list tells whether discovery has restarted its version count
            self._needs_full_list = True
        return isinstance(fault, (TimeoutError, OutdatedPageError)) and not self._reopened_after_silence

    def _on_end(self, opened_at: float, fell_silent: bool) -> None:
        """Open the next watch at once, or leave it to the decision module's backoff.

        What a silent watch misses counts as known 6 s after its last change: that leaves no time for the
        backoff that a failed call asks for. Discovery has ended nothing then, so the next call is none that
        it rejected. This is done once: where that watch brings nothing either, the decision module says when
        the next one opens.
        """
        if fell_silent:
            self.counts["silent"] += 1
            self._reopened_after_silence = True
        else:
            self._post(ev.EndpointsUpdated(api.EndpointUpdate("failed")))
        if (self._is_pushed or fell_silent) and not self._is_closed:
            loop = asyncio.get_running_loop()
            # guards against a busy loop on an agent that ends each watch as soon as it begins
            reopen_at = max(loop.time(), opened_at + REOPEN_INTERVAL_S)
            self._reopen_timer = loop.call_at(reopen_at, self.open)

    # --- the protocol --------------------------------------------------------------------------

    async def _read(self, address: str) -> None:
        """Read from one address until the response ends or breaks."""
        loop = asyncio.get_running_loop()
        url = f"http://{address}/registry/instances"
        limit = asyncio.timeout_at(loop.time() + CONNECT_TIMEOUT_S)

        async def on_connected(session: object, context: object, params: object) -> None:
            limit.reschedule(loop.time() + self._head_timeout_s)

        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(on_connected)
        async with (
            limit,
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
                trust_env=False,
                trace_configs=[trace],
            ) as session,
        ):
            if self._needs_full_list:
                # Another discovery may have a version count of its own: the version read last would ask it
                # for the wrong changes. So its complete list is read first.
                await self._read_full_list(session, url)
                limit.reschedule(loop.time() + self._head_timeout_s)
            watch_url = f"{url}?watch=1&after={self._directory.version}"
            async with session.get(watch_url, allow_redirects=False) as response:
                _check_status(response)
                await self._read_changes(response, limit)

    async def _read_full_list(self, session: aiohttp.ClientSession, url: str) -> None:
        async with session.get(url, allow_redirects=False) as response:
            _check_status(response)
            text = b""
            async for chunk in response.content.iter_any():
                text += chunk
                if len(text) > MAX_OBJECT_BYTES:
                    raise ValueError("a list without an end")
            self._apply(text, "full")

    async def _read_changes(self, response: aiohttp.ClientResponse, limit: asyncio.Timeout) -> None:
        loop = asyncio.get_running_loop()
        stream = JsonObjectStream()
        limit.reschedule(loop.time() + WATCH_SILENCE_S)
        async for chunk in response.content.iter_any():
            progress = stream.feed(chunk)
            if progress.is_alive:
                self._failure_is_logged = False
                self._reopened_after_silence = False
                limit.reschedule(loop.time() + WATCH_SILENCE_S)
            for text in progress.objects:
                self.counts["lines"] += 1
                self._apply(text)

    def _apply(self, text: bytes, kind: PageKind | None = None) -> None:
        """Merge one object of discovery and notify the decision module.

        :raises OutdatedPageError: its changes are older than the version in force; they are merged with care
        """
        is_current = self._is_current()
        # changes from an address that discovery has left still count, but not their version
        page = self._directory.parse_page(
            orjson.loads(text), version=None if is_current else self._directory.version
        )
        is_outdated = kind is None and self._directory.is_outdated(page)
        self._post(ev.EndpointsUpdated(self._directory.apply(page, kind)))
        self.on_list()
        if is_outdated:
            raise OutdatedPageError(f"version {page.version} after {self._directory.version}")
        if is_current:
            self._needs_full_list = False
            self._cancel_previous()


def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status != 200:
        raise ValueError(f"status {response.status}")
