"""One process at a time owns a catalogue, whatever happens to it: stopped, killed, or started twice."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from harriertide.config.errors import OperatorFileError
from harriertide.objects import catalogue_lock
from harriertide.objects.catalogue import Catalogue
from harriertide.objects.catalogue_lock import CatalogueInUseError, wait_for_owner
from tests.scenario import HttpConnection
from tests.socket_broker import SocketBroker, receive_all, run_with_broker, send_response
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture

ROOT = Path(__file__).parent.parent
OWNER = """
import sys, time
from harriertide.objects.catalogue import Catalogue
catalogue = Catalogue(sys.argv[1])
catalogue.record_pending_blob("v", "blob", "b1", 0)
print("open", flush=True)
time.sleep(60)
"""
OPERATOR_FILE = """
listen = "127.0.0.1:0"
admin = "127.0.0.1:0"
catalogue = "{catalogue}"
[boxes.b1]
address = "127.0.0.1:{node_port}"
shard = 0
[grades.gold]
reserve = 5
[volumes.v]
grade = "gold"
"""
START_TIME_S = 1.2  # in which another process gets to the catalogue; below the deadline of an upload
SWEEP_TIME_S = 1.5  # above the interval of sweeps


@contextmanager
def owner_process(path: str) -> Iterator[subprocess.Popen[str]]:
    """A process that has a catalogue open, with a blob that is being written."""
    command = [sys.executable, "-c", OWNER, path]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True, cwd=ROOT) as process:
        assert process.stdout is not None and process.stdout.readline() == "open\n"
        try:
            yield process
        finally:
            process.kill()


def test_a_second_process_touches_nothing_of_a_catalogue_that_is_open(tmp_path: Path) -> None:
    """Guards against blobs that are being written and that another process declares to be left over."""
    path = str(tmp_path / "c")
    with owner_process(path) as process:
        for number in (None, signal.SIGSTOP, signal.SIGCONT):
            if number is not None:
                process.send_signal(number)
            with pytest.raises(CatalogueInUseError, match=f"{re.escape(path)} .* process {process.pid}$"):
                Catalogue(path)
        process.kill()
        process.wait()
        catalogue = Catalogue(path)  # the lock has ended with its process; its file is there
        assert [orphan.blob for orphan in catalogue.due_orphans(0, 9)] == ["blob"]
        catalogue.close()


def test_a_catalogue_that_cannot_be_locked_is_a_plain_error(tmp_path: Path) -> None:
    """Guards against a catalogue that is used without a lock, and a traceback in place of one line."""
    with pytest.raises(OperatorFileError, match="catalogue: .*none/c.lock cannot be locked: "):
        Catalogue(str(tmp_path / "none" / "c"))
    (tmp_path / "c.lock").mkdir()
    with pytest.raises(OperatorFileError, match="cannot be locked: Is a directory"):
        Catalogue(str(tmp_path / "c"))


def test_a_start_waits_for_the_owner_and_not_for_good(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A planned restart: the successor is started before the process before it has ended."""
    path = str(tmp_path / "c")

    async def main() -> None:
        owner = Catalogue(path)
        asyncio.get_running_loop().call_later(0.1, owner.close)
        await wait_for_owner(path)
        owner = Catalogue(path)
        monkeypatch.setattr(catalogue_lock, "MAX_OWNER_WAIT_S", 0.1)
        with pytest.raises(CatalogueInUseError, match=f"process {os.getpid()}$"):
            await wait_for_owner(path)
        owner.close()

    asyncio.run(main())


# --- processes ------------------------------------------------------------------------------------


async def start_front(broker: SocketBroker, folder: Path) -> asyncio.subprocess.Process:
    """Start another process of the object front, on the broker's catalogue and node."""
    node_port = broker.node.server.sockets[0].getsockname()[1]
    file = folder / "objects.toml"
    file.write_text(OPERATOR_FILE.format(catalogue=folder / "catalogue", node_port=node_port))
    command = [sys.executable, "-m", "harriertide", "serve", "--objects", str(file)]
    environment = {"PATH": os.environ["PATH"]}
    return await asyncio.create_subprocess_exec(
        *command, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )


async def begin_upload(broker: SocketBroker) -> tuple[asyncio.Task[bytes], HttpConnection]:
    """Begin an upload whose node does not answer yet: its response to come, and the node's connection."""
    client = broker.connect()
    client.sendall(b"PUT /v/k HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab")
    connection = await broker.next_request()
    return asyncio.create_task(receive_all(client)), connection


async def read_until(process: asyncio.subprocess.Process, text: str) -> str:
    """Read the log of a process up to a line with this text, and return that line."""
    assert process.stderr is not None
    async with asyncio.timeout(10):
        while line := (await process.stderr.readline()).decode():
            if text in line:
                return line
    raise AssertionError(f"the process has ended without a line with {text}")


def test_a_second_start_beside_a_running_front_deletes_nothing(tmp_path: Path) -> None:
    """Guards against objects that are deleted behind the 200 of their upload, by a process that was started
    by mistake. It ends with 2 and names the catalogue and its owner.
    """

    async def scenario(broker: SocketBroker) -> None:
        upload, connection = await begin_upload(broker)
        second = await start_front(broker, tmp_path)
        try:
            await asyncio.sleep(START_TIME_S)
            send_response(connection, body=b"")
            assert (await upload).startswith(b"HTTP/1.1 200 ")
            line = await read_until(second, "harriertide: ")
            assert f"{tmp_path}/catalogue is in use by process {os.getpid()}" in line
            assert await second.wait() == 2
            await asyncio.sleep(SWEEP_TIME_S)
            assert broker.node.requests.empty()
        finally:
            if second.returncode is None:
                second.kill()
                await second.wait()

    run_with_broker(scenario, objects=str(tmp_path / "catalogue"))


def test_a_successor_deletes_nothing_that_the_process_before_it_answers_for(tmp_path: Path) -> None:
    """Guards against objects that are lost in a planned restart, as in review/6.

    The successor starts while the process before it finishes its requests, and serves once that has ended.
    """

    async def scenario(broker: SocketBroker) -> None:
        successor = await start_front(broker, tmp_path)
        try:
            await read_until(successor, "waits for the owner of the catalogue")
            upload, connection = await begin_upload(broker)
            stopping = asyncio.create_task(broker.stop())
            send_response(connection, body=b"")
            assert (await upload).startswith(b"HTTP/1.1 200 ")
            await stopping
            address = (await read_until(successor, "event=serves")).rpartition(":")[2]
            await asyncio.sleep(SWEEP_TIME_S)
            assert broker.node.requests.empty()
            reader, writer = await asyncio.open_connection("127.0.0.1", int(address))
            writer.write(b"HEAD /v/k HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
            writer.close()
        finally:
            successor.kill()
            await successor.wait()

    run_with_broker(scenario, objects=str(tmp_path / "catalogue"))
