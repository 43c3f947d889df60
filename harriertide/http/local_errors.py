"""Errors of system calls that say something of this machine or process, and nothing of the peer."""

from __future__ import annotations

import errno

LOCAL_ERRNOS = frozenset(
    {
        errno.EMFILE,  # descriptors of this process
        errno.ENFILE,  # descriptors of this machine
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,  # no local port is free
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.ENETUNREACH,  # this machine has no route
        errno.ENETDOWN,
    }
)


def is_local(error: BaseException) -> bool:
    """Whether an error is due to this machine or process."""
    return isinstance(error, OSError) and error.errno in LOCAL_ERRNOS


def describe(error: BaseException) -> str:
    """Return the name of the error's errno, if it has one, and its text."""
    if isinstance(error, OSError) and error.errno is not None:
        return f"{errno.errorcode.get(error.errno, error.errno)}: {error.strerror}"
    return repr(error)
