"""The broker inside an application: calls, their ends, and what an application does in the middle of them."""

from __future__ import annotations

import asyncio
import contextvars
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from harriertide.config.errors import OperatorFileError
from harriertide.decide import api
from harriertide.engine.clock import sleep_until
from harriertide.library import (
    Attempt,
    Broker,
    FailedError,
    Node,
    NodeError,
    NodeList,
    NodeOverloadedError,
    NotWrittenError,
    RejectedError,
    RequestSpec,
    blocking,
)
from tests.helpers import SETTINGS
from tests.scenario import StubServer
from tests.test_config import FILE

ALONE = replace(SETTINGS, broker_count=1, peer_messages_allowed=False, max_retry_after_us=500_000)
NODES = (Node("b1", 0), Node("b2", 1))
Play = Callable[[Broker, list[str]], Awaitable[None]]


def play(work: Play, *boxes: Node, settings: api.Settings = ALONE) -> Broker:
    """Run within a broker; whatever was done, nothing is left of it."""
    broker = Broker(settings, boxes or NODES, seed=1)

    async def main() -> None:
        async with asyncio.timeout(10), broker:
            await work(broker, [])
        left = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        assert not left, left

    asyncio.run(main())
    counts = broker.core.counts
    assert broker.core.open_request_count() == 0
    assert counts["taken"] == sum(counts[kind] for kind in ("served", "rejected", "failed", "left"))
    return broker


def spec_for(shard: int = 0, ms: int | None = None) -> RequestSpec:
    at = None if ms is None else asyncio.get_running_loop().time() + ms / 1000
    return RequestSpec("v", shard=shard, deadline_s=at)


FAULTS: dict[str, tuple[type[Exception], int]] = {
    "an error is mended by a retry": (NodeError, 2),
    "a rejection too": (NodeOverloadedError, 2),
    "what is the application's own passes and is not retried": (KeyError, 1),
    "also its own time-out": (TimeoutError, 1),
}


@pytest.mark.parametrize(("fault", "runs"), FAULTS.values(), ids=FAULTS.keys())
def test_what_the_work_raises(fault: type[Exception], runs: int) -> None:
    async def work(broker: Broker, ran: list[str]) -> None:
        async def perform(attempt: Attempt) -> str:
            ran.append(attempt.node_id)
            if len(ran) == 1:
                raise fault("once")
            return "done"

        if runs == 1:
            with pytest.raises(fault):
                await broker.call(spec_for(), perform)
        else:
            assert await broker.call(spec_for(), perform) == "done"
        assert ran == ["b1"] * runs

    play(work)


def test_a_request_whose_node_always_rejects_is_retried_as_often_as_allowed_and_then_rejected() -> None:
    async def work(broker: Broker, ran: list[str]) -> None:
        async def perform(attempt: Attempt) -> None:
            ran.append(attempt.node_id)
            raise NodeOverloadedError

        with pytest.raises(RejectedError) as rejected:
            await broker.call(spec_for(), perform)
        assert rejected.value.retry_after_s > 0 and len(ran) == ALONE.max_attempts

    play(work)


def test_after_the_response_has_started_no_attempt_follows() -> None:
    async def work(broker: Broker, ran: list[str]) -> None:
        async def perform(attempt: Attempt) -> None:
            ran.append(attempt.node_id)
            attempt.response_started()
            raise NodeError

        with pytest.raises((FailedError, RejectedError)):
            await broker.call(spec_for(), perform)
        assert len(ran) == 1

    play(work)


def test_the_work_sees_the_callers_context() -> None:
    mark = contextvars.ContextVar("mark", default="none")

    async def work(broker: Broker, ran: list[str]) -> None:
        mark.set("desk 7")

        async def perform(attempt: Attempt) -> str:
            return mark.get()

        assert await broker.call(spec_for(), perform) == "desk 7"

    play(work)


def test_a_drain_told_between_decision_and_write_stops_the_write() -> None:
    """The application drains a node while an attempt there is about to be written."""

    async def work(broker: Broker, ran: list[str]) -> None:
        async def perform(attempt: Attempt) -> None:
            assert isinstance(broker.source, NodeList)
            attempt.check_write()
            broker.source.update(replace(NODES[0], state="draining"))
            await asyncio.sleep(0)  # the turn in which the core hears of it
            with pytest.raises(NotWrittenError):
                attempt.check_write()
            ran.append(attempt.node_id)
            attempt.check_write()

        with pytest.raises(RejectedError):
            await broker.call(spec_for(), perform)
        assert ran == ["b1"]

    play(work)


def test_an_update_of_the_node_list_applies_whole_or_not_at_all() -> None:
    """Guards against a list that differs from what the core was told, behind an error in one of its nodes."""

    async def work(broker: Broker, ran: list[str]) -> None:
        assert isinstance(broker.source, NodeList)
        moved = replace(NODES[0], address="127.0.0.1:1")
        with pytest.raises(ValueError, match="b2"):
            broker.source.update(moved, replace(NODES[1], node_id="b2", state="up"))  # type: ignore[arg-type]
        assert broker.source.find_address("b1") == NODES[0].address

    play(work)


def test_the_client_of_nodes_asks_the_core_before_it_writes_and_names_faults() -> None:
    async def work(broker: Broker, ran: list[str]) -> None:
        box = StubServer()
        port = await box.start()
        assert isinstance(broker.source, NodeList)
        here = replace(NODES[0], address=f"127.0.0.1:{port}")
        broker.source.update(here)

        async def perform(attempt: Attempt) -> bytes:
            return (await broker.nodes.request(attempt, "GET", "/v/x")).body

        async def answers(*lines: bytes) -> None:
            for line in lines:
                asked = await box.requests.get()
                asked[3].writer.write(line)

        full = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        good = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"
        told = asyncio.create_task(answers(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", full, good))
        assert await broker.call(spec_for(), perform) == b"page"
        await told
        told = asyncio.create_task(answers(b"HTTP/1.1 404 X\r\nContent-Length: 4\r\n\r\nnone"))
        assert await broker.call(spec_for(), perform) == b"none"  # an answer, not a fault
        await told
        broker.source.update(replace(here, state="draining"))
        with pytest.raises(RejectedError):
            await broker.call(spec_for(), perform)
        assert box.requests.empty()
        await box.close()

    broker = play(work)
    assert broker.core.counts["outcome_error"] == 1 and broker.core.counts["outcome_rejected"] == 1


@pytest.mark.parametrize("name", ["Transfer-Encoding", "transfer-encoding", "TE"])
def test_the_client_of_nodes_sends_no_coding_that_it_does_not_carry_out(name: str) -> None:
    """Guards against two statements of a body's length in one request, and coded bytes in its response."""

    async def work(broker: Broker, ran: list[str]) -> None:
        async def perform(attempt: Attempt) -> bytes:
            return (await broker.nodes.request(attempt, "PUT", "/v/x", {name: "gzip"}, b"page")).body

        with pytest.raises(ValueError, match=f"(?i){name}"):
            await broker.call(spec_for(), perform)

    assert play(work).core.counts["attempts"] == 1


def test_work_that_swallows_its_cancellation_does_not_keep_its_caller_from_an_answer() -> None:
    """The work of a call catches CancelledError and goes on; its caller must not wait for it."""

    async def work(broker: Broker, ran: list[str]) -> None:
        let_go = asyncio.Event()

        async def stubborn(attempt: Attempt) -> None:
            while not let_go.is_set():
                try:
                    await let_go.wait()
                except asyncio.CancelledError:
                    ran.append("swallowed")

        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(FailedError):
            await broker.call(spec_for(ms=200), stubborn)
        assert loop.time() - began < 0.8 and ran
        let_go.set()

    broker = play(work)
    assert broker.counts["overdue"] == 1


def test_a_caller_that_is_cancelled_ends_its_work_and_leaves_nothing() -> None:
    """The caller is cancelled while its work waits for a node."""

    async def work(broker: Broker, ran: list[str]) -> None:
        async def perform(attempt: Attempt) -> None:
            ran.append("begun")
            try:
                await asyncio.Event().wait()
            finally:
                ran.append("ended")

        call = asyncio.create_task(broker.call(spec_for(), perform))
        while not ran:
            await asyncio.sleep(0)
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        while len(ran) < 2:
            await asyncio.sleep(0)

    broker = play(work)
    assert broker.core.counts["left"] == 1 and broker.core.counts["outcome_cancelled"] == 1


def test_a_stop_in_the_middle_rejects_new_calls_finishes_some_and_answers_the_rest() -> None:
    """The broker stops with a quick and a slow call open, and a third one comes."""

    async def work(broker: Broker, ran: list[str]) -> None:
        async def perform(attempt: Attempt) -> str:
            await asyncio.sleep(0.05 if attempt.node_id == "b1" else 5)
            return attempt.node_id

        quick, slow = (asyncio.create_task(broker.call(spec_for(shard), perform)) for shard in (0, 1))
        await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        stop = asyncio.create_task(broker.stop(loop.time() + 0.3))
        await asyncio.sleep(0)
        with pytest.raises(RejectedError) as rejected:
            await broker.call(spec_for(), perform)
        assert rejected.value.retry_after_s == 0.5
        assert await quick == "b1"
        with pytest.raises(RejectedError):
            await slow
        await stop

    play(work)


def test_an_event_loop_that_was_blocked_answers_all_the_same() -> None:
    """The application blocks the event loop for longer than its calls may last."""

    async def work(broker: Broker, ran: list[str]) -> None:
        async def perform(attempt: Attempt) -> str:
            await asyncio.sleep(0.01)
            return "done"

        calls = [asyncio.create_task(broker.call(spec_for(ms=600), perform)) for _ in range(20)]
        await asyncio.sleep(0)
        time.sleep(0.7)
        ends = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(end, (str, RejectedError, FailedError)) for end in ends)
        assert await broker.call(spec_for(), perform) == "done"

    play(work)


WRONG_SPECS = {
    "class": (RequestSpec("v", request_class=9), "request_class"),
    "class by name": (RequestSpec("v", request_class="odd"), "request_class: there is no class odd"),
    "plan": (RequestSpec("v", plan=9), "plan"),
    "plan by name": (RequestSpec("v", plan="lead"), "plan: there is no plan lead"),
    "units": (RequestSpec("v", units=99), "units"),
}


@pytest.mark.parametrize(("wrong", "named"), WRONG_SPECS.values(), ids=WRONG_SPECS.keys())
def test_a_request_spec_that_cannot_be_used_names_its_field(wrong: RequestSpec, named: str) -> None:
    async def work(broker: Broker, ran: list[str]) -> None:
        with pytest.raises(ValueError, match=named):
            await broker.call(wrong, lambda attempt: asyncio.sleep(0))

    play(work)


def test_an_operators_file_is_read_again_and_a_bad_one_keeps_the_old(tmp_path: Path) -> None:
    """An operator writes a file that cannot be used, then one that drains a node."""
    file = tmp_path / "o.toml"
    good = FILE.format(listen=1, admin=2, folder=tmp_path)
    file.write_text(good)

    async def where(attempt: Attempt) -> str:
        return f"{attempt.node_id} {attempt.address}"

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with Broker.from_file(str(file), poll_interval_s=0.02, seed=1) as broker:
            assert await broker.call(RequestSpec("v", shard=0), where) == "box-1 127.0.0.1:9201"
            file.write_text(good.replace("shard = 0", "shard = x"))
            await sleep_until(loop.time() + 0.1)
            assert await broker.call(RequestSpec("v", shard=0), where) == "box-1 127.0.0.1:9201"
            file.write_text(good.replace("shard = 0", 'shard = 0\nstate = "draining"'))
            await sleep_until(loop.time() + 0.1)
            with pytest.raises(RejectedError):
                await broker.call(RequestSpec("v", shard=0), where)
            assert (await broker.call(RequestSpec("v", plan="gold", request_class="write"), where))[
                :5
            ] == "box-2"

    asyncio.run(main())


def test_tables_are_checked_as_the_file_is() -> None:
    boxes: dict[str, Any] = {"b": {"address": "10.0.0.1:1", "shard": 0}}
    with pytest.raises(OperatorFileError, match="boxes.b.address"):
        Broker.from_tables(boxes, {"g": {}}, {})
    Broker.from_tables({"b": {"address": "127.0.0.1:1", "shard": 0}}, {"g": {}}, {"v": {"grade": "g"}})


def test_threads_call_and_no_thread_is_left() -> None:
    before, near = threading.active_count(), RequestSpec("v", shard=0)
    ran: list[str] = []

    def perform(work: blocking.BlockingAttempt) -> str:
        ran.append(work.node_id)
        work.check_write()
        if len(ran) == 1:
            raise NodeError
        time.sleep(0.01)
        return threading.current_thread().name

    with blocking.Broker(lambda: Broker(ALONE, NODES, seed=1)) as broker:
        ends: list[str] = []
        threads = [
            threading.Thread(target=lambda: ends.append(broker.call(near, perform)), name=f"t{n}")
            for n in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(ends) == ["t0", "t1", "t2", "t3"]
        with pytest.raises(RejectedError):
            broker.call(RequestSpec("v", shard=0), lambda work: (_ for _ in ()).throw(NodeOverloadedError()))
    assert broker.async_broker.core.open_request_count() == 0 and threading.active_count() == before
    with pytest.raises(FailedError):
        broker.call(RequestSpec("v"), perform)
