"""Splits a byte stream into JSON objects, which may each span several lines."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # a complete endpoint list of thousands of nodes is far smaller
_JSON_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings (may contain brackets) and brackets


class StreamProgress(NamedTuple):
    """The result of feeding bytes to the stream.

    :param objects: the JSON text of each object that these bytes complete, in order
    :param is_alive: whether these bytes show that the sender is alive: they complete an object, or an empty
        line between objects
    """

    objects: list[bytes]
    is_alive: bool


class JsonObjectStream:
    """Buffers the bytes of a stream until a JSON object is complete."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._object_lines: list[bytes] = []  # lines of the incomplete object
        self._object_bytes = 0
        self._open_bracket_count = 0

    def feed(self, data: bytes) -> StreamProgress:
        """Process the next bytes of the stream.

        A line that trickles in, or an object that never ends, does not show that the sender is alive: the
        caller restarts its silence timeout only if `is_alive` is set.

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
            raise ValueError("JSON object is longer than 4 MiB")
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
        object_json = b"\n".join(self._object_lines)
        self._object_lines = []
        self._object_bytes = 0
        self._open_bracket_count = 0
        return object_json
