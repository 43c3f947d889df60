"""Watches discovery's endpoint list: a long-running HTTP response carries a JSON object for each change.

A call to discovery costs discovery work, so the decision module decides when to reopen a watch there
(`open`). An agent on this machine pushes the list at no such cost, so this module reopens a watch on an agent
itself (`set_pushed`).
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
from harriertide.http.transfer_coding import check_body_coding
from harriertide.platform.endpoint_directory import EndpointDirectory, PageKind
from harriertide.platform.json_stream import MAX_OBJECT_BYTES, JsonObjectStream

# The platform considers a change known to this broker this long after discovery has the change and is
# reachable, whatever failed before. The two slowest cases stay within this time: a watch goes silent after
# its last change, one call stays unanswered and the next succeeds; or a call stays unanswered, the decision
# module waits for its longest backoff, and the next call succeeds. tests/test_endpoint_watch.py checks the
# sums and simulates the cases.
NOTIFICATION_DEADLINE_S = 6.0
CONNECT_TIMEOUT_S = 0.8
# Discovery answers or rejects a call within 2 s; a call without a response by then will get none.
HEAD_TIMEOUT_S = 2.2
# Discovery sends an empty line every 2 s as a keep-alive, so a watch that is silent for longer is dead.
WATCH_SILENCE_S = 2.5
# A change counts as known as soon as the agent has it, and calls to the agent are cheap. A watch on an agent
# is therefore reopened immediately when it ends, then at this interval, and the timeout for its response is
# shorter.
REOPEN_INTERVAL_S = 0.1
PUSHED_HEAD_TIMEOUT_S = 1.0


class OutdatedPageError(ValueError):
    """Discovery sent changes older than the current version: late ones, or ones of a restarted count."""


class EndpointWatch:
    """Keeps the endpoint directory up to date, with at most one watch on the current address.

    When the address of discovery changes, the watch on the previous address continues until the new watch has
    received a list, so that no change is missed.

    :param address: host:port of discovery, or of the agent that pushes its list
    :param post: passes an update to the decision module
    """

    def __init__(self, address: str, directory: EndpointDirectory, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self.address = address
        self.on_list_received: Callable[[], None] = lambda: None
        self._directory = directory
        self._post = post
        self._task: asyncio.Task[None] | None = None
        self._previous_task: asyncio.Task[None] | None = None  # watches the previous address
        self._reopen_timer: asyncio.TimerHandle | None = None
        self._head_timeout_s = HEAD_TIMEOUT_S
        self._is_pushed = False
        self._is_closed = False
        self._failure_is_logged = False
        self._needs_full_list = False  # set where discovery may count versions differently than before
        self._reopened_after_silence = False  # whether this watch immediately replaced a silent one

    def set_pushed(self, is_pushed: bool) -> None:
        """Set whether an agent pushes the list; if so, this class reopens the watch on its own."""
        self._is_pushed = is_pushed
        self._head_timeout_s = PUSHED_HEAD_TIMEOUT_S if is_pushed else HEAD_TIMEOUT_S
        if is_pushed:
            self.open()

    def open(self) -> None:
        """Open a watch unless one is open."""
        if not self._is_closed and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._watch(self.address))

    def change_address(self, address: str) -> None:
        """Watch discovery at another address."""
        self.address = address
        self._needs_full_list = True
        self.counts["moved"] += 1
        if self._task is not None and not self._task.done():
            self._cancel_previous()
            self._previous_task = self._task
        self._task = None
        self.open()

    def _cancel_previous(self) -> None:
        """Cancel the watch on the previous address; this does not count as a failure."""
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

    # --- watch lifecycle -----------------------------------------------------------------------

    async def _watch(self, address: str) -> None:
        self.counts["opened"] += 1
        opened_at_s = asyncio.get_running_loop().time()
        went_silent = False
        try:
            await self._read(address)
            self.counts["ended"] += 1
        except Exception as error:  # any error: without a watch, the broker would miss all later drains
            went_silent = self._on_failure(error)
        if self._is_current():
            self._task = None
            self._reopen_after_end(opened_at_s, went_silent)

    def _is_current(self) -> bool:
        """Whether the running task watches the current address and not a previous one."""
        return asyncio.current_task() is self._task

    def _on_failure(self, error: Exception) -> bool:
        """Count and log a watch that failed.

        :returns: whether the watch went silent or sent outdated changes, and was not opened for that reason
            itself
        """
        self.counts["broken"] += 1
        if not (self._is_pushed and self._failure_is_logged):  # one line per outage of an agent
            log("endpoint watch failed", kind=type(error).__name__, reason=str(error))
        self._failure_is_logged = True
        if isinstance(error, OutdatedPageError):
            # only the complete list shows whether discovery has restarted its version count
            self._needs_full_list = True
        return isinstance(error, (TimeoutError, OutdatedPageError)) and not self._reopened_after_silence

    def _reopen_after_end(self, opened_at_s: float, went_silent: bool) -> None:
        """Reopen the watch immediately, or after the decision module's backoff.

        A change that a silent watch misses counts as known 6 s after discovery has it, which leaves no time
        for the backoff after a failed call. Discovery did not end the silent watch, so reopening it
        immediately does not repeat a call that discovery rejected. This happens once: if the new watch
        receives nothing either, the decision module decides when to open the next one.
        """
        if went_silent:
            self.counts["silent"] += 1
            self._reopened_after_silence = True
        else:
            self._post(ev.EndpointsUpdated(api.EndpointUpdate("failed")))
        if (self._is_pushed or went_silent) and not self._is_closed:
            loop = asyncio.get_running_loop()
            # prevents a busy loop if an agent ends each watch as soon as it is open
            reopen_at_s = max(loop.time(), opened_at_s + REOPEN_INTERVAL_S)
            self._reopen_timer = loop.call_at(reopen_at_s, self.open)

    # --- protocol ------------------------------------------------------------------------------

    async def _read(self, address: str) -> None:
        """Read list changes from an address until the response ends or fails."""
        loop = asyncio.get_running_loop()
        url = f"http://{address}/registry/instances"
        read_timeout = asyncio.timeout_at(loop.time() + CONNECT_TIMEOUT_S)

        async def on_connected(session: object, context: object, params: object) -> None:
            read_timeout.reschedule(loop.time() + self._head_timeout_s)

        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(on_connected)
        async with (
            read_timeout,
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
                trust_env=False,
                trace_configs=[trace],
            ) as session,
        ):
            if self._needs_full_list:
                # Discovery may count versions differently here, so that asking for the changes since the last
                # known version would return the wrong ones. The complete list is read first for that reason.
                await self._read_full_list(session, url)
                read_timeout.reschedule(loop.time() + self._head_timeout_s)
            watch_url = f"{url}?watch=1&after={self._directory.version}"
            async with session.get(watch_url, allow_redirects=False) as response:
                _check_head(response)
                await self._read_changes(response, read_timeout)

    async def _read_full_list(self, session: aiohttp.ClientSession, url: str) -> None:
        async with session.get(url, allow_redirects=False) as response:
            _check_head(response)
            object_json = b""
            async for chunk in response.content.iter_any():
                object_json += chunk
                if len(object_json) > MAX_OBJECT_BYTES:
                    raise ValueError("endpoint list is longer than 4 MiB")
            self._apply(object_json, "full")

    async def _read_changes(self, response: aiohttp.ClientResponse, read_timeout: asyncio.Timeout) -> None:
        loop = asyncio.get_running_loop()
        stream = JsonObjectStream()
        read_timeout.reschedule(loop.time() + WATCH_SILENCE_S)
        async for chunk in response.content.iter_any():
            progress = stream.feed(chunk)
            if progress.is_alive:
                self._failure_is_logged = False
                self._reopened_after_silence = False
                read_timeout.reschedule(loop.time() + WATCH_SILENCE_S)
            for object_json in progress.objects:
                self.counts["lines"] += 1
                self._apply(object_json)

    def _apply(self, object_json: bytes, kind: PageKind | None = None) -> None:
        """Merge an endpoint page into the directory and notify the decision module.

        :raises OutdatedPageError: the changes are older than the current version; only drains and
            removals of listed nodes were merged
        """
        is_current = self._is_current()
        # changes from a previous address are merged, but their version is ignored
        page = self._directory.parse_page(
            orjson.loads(object_json), version=None if is_current else self._directory.version
        )
        is_outdated = kind is None and self._directory.is_outdated(page)
        self._post(ev.EndpointsUpdated(self._directory.apply(page, kind)))
        self.on_list_received()
        if is_outdated:
            raise OutdatedPageError(
                f"changes have version {page.version}, the current list has version {self._directory.version}"
            )
        if is_current:
            self._needs_full_list = False
            self._cancel_previous()


def _check_head(response: aiohttp.ClientResponse) -> None:
    """Check that a response brings a list that can be read.

    :raises ValueError: it has another status than 200
    :raises TransferCodingError: its body is in a transfer coding that is not decoded
    """
    check_body_coding(response)
    if response.status != 200:
        raise ValueError(f"discovery did not answer with status 200 but {response.status}")
