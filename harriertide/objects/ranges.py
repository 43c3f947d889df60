"""Ranges of objects: which bytes a client asks for."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.objects.errors import S3Error
from harriertide.objects.numbers import is_short_integer


@dataclass(frozen=True, slots=True)
class ByteRange:
    """Bytes of an object.

    :param first: included
    :param last: included
    :param is_whole: no range was asked for
    """

    first: int
    last: int
    is_whole: bool

    @property
    def size(self) -> int:
        """How many bytes."""
        return self.last - self.first + 1


def parse_range(header: str | None, size: int) -> ByteRange:
    """Read the field Range. Other units, several ranges and nonsense count as none, as HTTP has it.

    :param size: of the object
    :raises S3Error: the object has none of the bytes
    """
    whole = ByteRange(0, size - 1, is_whole=True)
    bounds = _parse_bounds(header or "")
    if bounds is None:
        return whole
    first, last = bounds
    if first and last and int(last) < int(first):
        return whole
    begin = int(first) if first else max(0, size - int(last))
    end = min(int(last), size - 1) if first and last else size - 1
    if begin >= size or (not first and int(last) == 0):
        headers = {"Content-Range": f"bytes */{size}"}
        raise S3Error("InvalidRange", "The requested range is not satisfiable", headers)
    return ByteRange(begin, end, is_whole=False)


def _parse_bounds(header: str) -> tuple[str, str] | None:
    """The digits before and behind the dash of a range of bytes, one of which may be missing."""
    unit, _, text = header.partition("=")
    first, dash, last = text.strip().partition("-")
    if unit.strip().lower() != "bytes" or not dash or not (first or last):
        return None
    if not all(is_short_integer(part) for part in (first, last) if part):
        return None
    return first, last
