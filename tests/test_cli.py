"""The command line: what a new user meets."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import sys
from http.client import HTTPConnection
from pathlib import Path

import pytest

from harriertide.cli.main import COMMANDS, main

ROOT = Path(__file__).parent.parent


def start(*words: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "harriertide", *words]
    environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    pipes = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE}
    return subprocess.Popen(command, cwd=ROOT, env=environment, text=True, **pipes)


@pytest.mark.parametrize(
    ("words", "named"),
    [
        (["odd"], "odd: no such command"),
        (["box", "--odd"], "harriertide box: can't use --odd"),
        (["node", "--odd"], "harriertide node: can't use --odd"),
        (["plan"], "harriertide plan: can't use no arguments"),
        (["box", "--listen", "10.0.0.1:1"], "--listen"),
        (["box", "--slots", "0"], "--slots"),
        (["node", "--slots", "0"], "--slots"),
        (["demo", "--boxes", "none"], "--boxes"),
        (["serve", "--log", "loud"], "--log"),
        (["lab", "odd"], "no such experiment"),
        (["apply", "/nowhere/plan"], "/nowhere/plan"),
    ],
)
def test_what_cannot_be_used_is_one_plain_line_and_2(
    words: list[str], named: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """A user mistypes a command or an option: one line names it, and scripts see exit status 2."""
    assert main(words) == 2
    said = capsys.readouterr()
    assert named in said.err and said.err.count("\n") == 1 and not said.out


def test_help_names_every_command(capsys: pytest.CaptureFixture[str]) -> None:
    """A new user asks for help first."""
    assert main(["--help"]) == 0
    said = capsys.readouterr().out
    assert all(f"  {name} " in said for name in COMMANDS)


def shown(demo: subprocess.Popen[str]) -> tuple[str, list[str]]:
    """What a demo prints until it stands, and the calls that it shows."""
    assert demo.stdout is not None
    said = ""
    while "Ctrl-C" not in said:
        line = demo.stdout.readline()
        assert line, demo.communicate(timeout=10)
        said += line
    return said, re.findall(r"^  (.*)$", said.partition("try:")[2], re.MULTILINE)


def test_the_demo_prints_calls_that_work_and_ends_on_ctrl_c() -> None:
    """A new user copies each line that the demo prints, then presses Ctrl-C."""
    demo = start("demo", "--port", "0", "--boxes", "2")
    try:
        said, calls = shown(demo)
        done = [subprocess.run(["/bin/sh", "-c", call], capture_output=True, text=True) for call in calls]
        assert [end.stdout for end in done] == ["", "hold the front page", "front", "", "", "the same\n"]
        front = re.search(r"object front on (\S+)", said)
        assert front
        multipart(front[1], os.urandom(12 << 20))
    finally:
        demo.send_signal(signal.SIGINT)
        out, err = demo.communicate(timeout=20)
    assert demo.returncode == 0 and "stopping" in out and "Traceback" not in err
    assert "event=counters" not in err or "objects.answers_200" in err


def multipart(at: str, data: bytes) -> None:
    """Up in pieces of 5 MiB, as S3's clients do, and down in one, byte for byte."""
    host, port = at.split(":")
    line = HTTPConnection(host, int(port), timeout=20)

    def ask(method: str, target: str, body: bytes = b"") -> tuple[str | None, bytes]:
        line.request(method, target, body)
        answer = line.getresponse()
        said = answer.read()
        assert answer.status == 200, (answer.status, said[:200])
        return answer.getheader("ETag"), said

    upload = re.search(rb"<UploadId>(.*)</UploadId>", ask("POST", "/photos/parts?uploads")[1])
    assert upload
    query = f"uploadId={upload[1].decode()}"
    rows = ""
    for number, first in enumerate(range(0, len(data), 5 << 20), start=1):
        tag, _ = ask("PUT", f"/photos/parts?partNumber={number}&{query}", data[first : first + (5 << 20)])
        rows += f"<Part><PartNumber>{number}</PartNumber><ETag>{tag}</ETag></Part>"
    whole = f"<CompleteMultipartUpload>{rows}</CompleteMultipartUpload>"
    ask("POST", f"/photos/parts?{query}", whole.encode())
    assert ask("GET", "/photos/parts")[1] == data


def test_the_demo_says_in_one_line_that_its_port_is_taken() -> None:
    """Another program has the port: that is found before anything is started."""
    with socket.socket() as other:
        other.bind(("127.0.0.1", 0))
        other.listen()
        port = other.getsockname()[1]
        end = subprocess.run(
            [sys.executable, "-m", "harriertide", "demo", "--port", str(port)],
            cwd=ROOT, capture_output=True, text=True, timeout=20,
        )  # fmt: skip
    assert end.returncode == 2 and not end.stdout
    assert end.stderr.count("\n") == 1 and f"--port: 127.0.0.1:{port}" in end.stderr


@pytest.mark.parametrize("word", ["node", "box"])
def test_a_node_rejects_what_it_has_no_room_for(word: str) -> None:
    """A stand-in node is full; and scripts that call it by its old word, box, still work."""
    node = start(word, "--most-mb", "1")
    try:
        assert node.stdout is not None
        at = node.stdout.readline().partition(f"{word} on ")[2].strip()

        def ask(*words: str) -> str:
            wants = ["curl", "-s", "-o", "/dev/null", "-w", "%{http_code} %header{x-rejected}", *words]
            return subprocess.run(wants, capture_output=True, text=True, timeout=20).stdout.strip()

        url = f"http://{at}/v/a"
        assert ask("-X", "PUT", "-d", "hello", url) == "200"
        assert ask("-X", "PUT", "-d", "x" * 100_000, f"http://{at}/v/b") == "200"
        assert ask("-H", "Range: bytes=9-", url) == "416"
        assert ask("-H", "Range: bytes=1-2", url) == "206"
        assert ask("-H", 'If-Match: "other"', url) == "412"
        big = str(Path(sys.executable).resolve())
        if Path(big).stat().st_size > 1 << 20:
            assert ask("-X", "PUT", "-T", big, f"http://{at}/v/c") == "503 1"
        assert ask("-X", "DELETE", url) == "204" and ask(url) == "404"
    finally:
        node.send_signal(signal.SIGTERM)
        node.communicate(timeout=10)
    assert node.returncode == 0


def test_several_brokers_of_the_demo_take_an_order(tmp_path: Path) -> None:
    """A new user tries rolling maintenance on three brokers, with the lines that the demo prints."""
    demo = start("demo", "--brokers", "3", "--boxes", "2", "--folder", str(tmp_path))
    try:
        _, calls = shown(demo)
        assert len(calls) == 5

        def call(words: str, wanted: str) -> None:
            for _ in range(100):  # founding takes a moment, and so does a drain
                done = subprocess.run(["/bin/sh", "-c", words], cwd=ROOT, capture_output=True, text=True)
                if wanted in done.stdout:
                    return
            raise AssertionError(f"{words}: {done}")

        call(calls[0], "leader broker-")
        call(calls[1], "takes 130.0 s")
        call(calls[2], "agreed on")
        call(calls[3], "waits for `maintenance done box-1`")
        call(calls[4], "agreed on")
    finally:
        demo.send_signal(signal.SIGINT)
        _, err = demo.communicate(timeout=20)
    assert demo.returncode == 0 and "Traceback" not in err
