"""Splits a byte stream into JSON objects, each on one line or indented over several lines."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # a whole endpoint list of thousands of nodes is far below this
_JSON_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings, which may hold brackets, and brackets


class StreamProgress(NamedTuple):
    """What a read of the stream has completed.

    :param objects: the text of each JSON object that is complete now, in order
    :param is_alive: whether the sender has shown life: an object, or an empty line between objects
    """

    objects: list[bytes]
    is_alive: bool


class JsonObjectStream:
    """Collects the bytes of a stream until a JSON object is complete."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._object_lines: list[bytes] = []  # of the object that is not complete yet
        self._object_bytes = 0
        self._open_bracket_count = 0

    def feed(self, data: bytes) -> StreamProgress:
        """Take the next bytes of the stream.

        Guards against a line that trickles in, or an object that never ends, passing for signs of life: the
        caller's silence timeout starts again only where `is_alive` says so.

        :raises ValueError: an object is larger than MAX_OBJECT_BYTES
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        objects: list[bytes] = []
        saw_keep_alive = False
        for line in lines:
            if not self._object_lines and not line.strip():
                saw_keep_alive = True
                continue
            self._add_line(line)
            if self._open_bracket_count <= 0:
                objects.append(self._take_object())
        if len(self._partial_line) + self._object_bytes > MAX_OBJECT_BYTES:
            raise ValueError("a list without an end")
        return StreamProgress(objects, saw_keep_alive or bool(objects))

    def _add_line(self, line: bytes) -> None:
        for token in _JSON_TOKENS.findall(line):
            if token in b"{[":
                self._open_bracket_count += 1
            elif token in b"}]":
                self._open_bracket_count -= 1
        self._object_lines.append(line)
        self._object_bytes += len(line)

    def _take_object(self) -> bytes:
        text = b"\n".join(self._object_lines)
        self._object_lines = []
        self._object_bytes = 0
        self._open_bracket_count = 0
        return text
