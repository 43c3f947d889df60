"""Headers that are stored with an object and given back with it."""

from __future__ import annotations

from collections.abc import Mapping

from harriertide.objects.errors import S3Error

USER_METADATA_PREFIX = "x-amz-meta-"
MAX_USER_METADATA_BYTES = 2048  # of names and values, as the interface has it
_STORED_LISTS = ("Cache-Control", "Content-Encoding", "Content-Language")  # several fields are one list
_STORED_VALUES = ("Content-Disposition", "Expires")


def stored_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """What a client wants back with its object: its own metadata, and the standard headers of its choice.

    :raises S3Error: it is too much, or no UTF-8
    """
    standard = {name: _join_fields(headers, name) for name in _STORED_LISTS if name in headers}
    standard |= {name: headers[name] for name in _STORED_VALUES if name in headers}
    metadata: dict[str, str] = {}
    for name, value in headers.items():
        key = name.lower()
        if key.startswith(USER_METADATA_PREFIX):  # of one name twice, both count
            metadata[key] = f"{metadata[key]},{value}" if key in metadata else value
    try:
        size = sum(_metadata_bytes(name, value) for name, value in metadata.items())
        for value in standard.values():
            value.encode()
    except UnicodeEncodeError:  # bytes that are no UTF-8 can't be given back unchanged
        raise S3Error("InvalidArgument", "Headers kept with an object must be UTF-8") from None
    if size > MAX_USER_METADATA_BYTES:
        raise S3Error("MetadataTooLarge", "Your metadata headers exceed the maximum allowed metadata size")
    return standard | metadata


def _join_fields(headers: Mapping[str, str], name: str) -> str:
    return ", ".join(value for key, value in headers.items() if key.lower() == name.lower())


def _metadata_bytes(name: str, value: str) -> int:
    return len(name) - len(USER_METADATA_PREFIX) + len(value.encode())
