"""Conditional calls: If-Match, If-None-Match and If-Range."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from email.utils import formatdate

from harriertide.objects.errors import S3Error


def http_date(ms: int) -> str:
    """A moment, in Unix milliseconds, as HTTP writes it."""
    return formatdate(ms / 1000, usegmt=True)


@dataclass(frozen=True, slots=True)
class WritePrecondition:
    """When a write may replace what is there.

    :param match: the field If-Match
    :param none_match: the field If-None-Match
    """

    match: str | None
    none_match: str | None

    def check(self, etag: str | None) -> None:
        """Check it against what is there.

        :param etag: of the object that is there; None: there is none
        :raises S3Error: PreconditionFailed, or NoSuchKey for If-Match on nothing
        """
        if self.match is not None:
            if etag is None:
                raise S3Error("NoSuchKey", "The specified key does not exist.")
            if not _matches(self.match, etag, allows_weak=False):
                raise _precondition_failed()
        if self.none_match is not None and etag is not None and _matches(self.none_match, etag, True):
            raise _precondition_failed()


def write_precondition(headers: Mapping[str, str]) -> WritePrecondition:
    """The precondition that the headers of a write state."""
    return WritePrecondition(headers.get("If-Match"), headers.get("If-None-Match"))


@dataclass(frozen=True, slots=True)
class ReadConditions:
    """The result of the conditions of a read.

    :param is_unchanged: the client has the object already: the status is 304
    :param range_header: the field Range that counts; None: the whole object
    """

    is_unchanged: bool
    range_header: str | None


def read_conditions(headers: Mapping[str, str], etag: str, modified_ms: int) -> ReadConditions:
    """Check the conditions of a read against the object.

    :raises S3Error: PreconditionFailed, by If-Match
    """
    if "If-Match" in headers and not _matches(headers["If-Match"], etag, allows_weak=False):
        raise _precondition_failed()
    if "If-None-Match" in headers and _matches(headers["If-None-Match"], etag, allows_weak=True):
        return ReadConditions(is_unchanged=True, range_header=None)
    range_header = headers.get("Range")
    if_range = headers.get("If-Range")
    if if_range is not None and if_range.strip() not in (f'"{etag}"', http_date(modified_ms)):
        range_header = None
    return ReadConditions(is_unchanged=False, range_header=range_header)


def _matches(header: str, etag: str, allows_weak: bool) -> bool:
    if header.strip() == "*":
        return True
    tags = [tag.strip() for tag in header.split(",")]
    return f'"{etag}"' in tags or etag in tags or (allows_weak and f'W/"{etag}"' in tags)


def _precondition_failed() -> S3Error:
    return S3Error("PreconditionFailed", "At least one of the preconditions did not hold")
