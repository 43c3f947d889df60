"""Errors as the S3 interface names them: the client gets each as a document with a code."""

from __future__ import annotations

from collections.abc import Mapping

STATUS_BY_CODE = {
    "AccessDenied": 403,
    "BadDigest": 400,
    "EntityTooLarge": 413,
    "EntityTooSmall": 400,
    "ExpectationFailed": 417,
    "IncompleteBody": 400,
    "InternalError": 500,
    "InvalidArgument": 400,
    "InvalidPart": 400,
    "InvalidPartOrder": 400,
    "InvalidRange": 416,
    "InvalidRequest": 400,
    "InvalidURI": 400,
    "KeyTooLongError": 400,
    "MalformedXML": 400,
    "MetadataTooLarge": 400,
    "MethodNotAllowed": 405,
    "MissingContentLength": 411,
    "NoSuchBucket": 404,
    "NoSuchKey": 404,
    "NoSuchUpload": 404,
    "NotImplemented": 501,
    "PreconditionFailed": 412,
    "RequestTimeout": 400,
    "SlowDown": 503,
}


class S3Error(Exception):
    """A call that ends in an error. By its code it is the client's fault (4xx) or the service's (5xx).

    :param code: one of STATUS_BY_CODE
    :param message: for people
    :param headers: that go out with it
    """

    def __init__(self, code: str, message: str, headers: Mapping[str, str] | None = None) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.headers = dict(headers or {})

    @property
    def status(self) -> int:
        """Its HTTP status."""
        return STATUS_BY_CODE[self.code]


def slow_down(retry_after_us: int) -> S3Error:
    """The error of a call that was rejected: trying again is harmless, after this time."""
    headers = {"Retry-After": f"{retry_after_us / 1_000_000:.3f}"}
    return S3Error("SlowDown", "Please reduce your request rate.", headers)


def no_such_upload() -> S3Error:
    """The error of a call for an upload that is not there, or is over."""
    return S3Error("NoSuchUpload", "The specified upload does not exist.")
