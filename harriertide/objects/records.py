"""What the catalogue knows of objects and uploads."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

UploadState = Literal["open", "done", "aborted"]  # as the catalogue's file has them


@dataclass(frozen=True, slots=True)
class Segment:
    """Bytes of an object that lie as one blob on one node.

    :param node_etag: the node's own ETag for them
    """

    blob: str
    node: str
    shard: int
    size: int
    node_etag: str


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as it can be read.

    :param headers: stored with it, and given back
    """

    etag: str
    content_type: str
    size: int
    modified_ms: int
    segments: tuple[Segment, ...]
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UploadPart:
    """A part of an upload.

    :param md5: hex digits, of its bytes
    """

    number: int
    segment: Segment
    md5: str
    modified_ms: int


@dataclass(frozen=True, slots=True)
class Upload:
    """A multipart upload.

    :param etag: of the object that it became; "" before
    :param completed_parts: number and MD5 of the parts that Complete named
    :param headers: to be stored with the object
    """

    id: str
    bucket: str
    key: str
    content_type: str
    state: UploadState
    etag: str
    completed_parts: tuple[tuple[int, str], ...]
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Orphan:
    """A blob that may lie on a node, and that no object or upload names: it is to be deleted."""

    bucket: str
    blob: str
    node: str
    shard: int
