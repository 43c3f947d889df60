"""Forwarding of request header fields to a node, on real sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.test_net import OK, play

# Every field of the protocol in mixed case and unusual order, unknown fields, a repeated field, bytes that
# are not valid text, and hop-by-hop fields, which the broker does not forward.
SENT_HEAD = (
    r"PUT /api?key=7F3a9c21e0b4d655&x=%41%2f HTTP/1.1\r\n"
    r"Host: service.internal\r\nx-call-id: 9b1f03aa5c7e2d41\r\nX-Call-Class: page-read\r\n"
    r"X-Storage-Class: gold\r\nIDEMPOTENCY-key: 9b1f03aa5c7e2d41\r\nX-Budget-Ms: 1500\r\n"
    r"Content-Type: application/octet-stream\r\nX-Extent: volume=00000003b4d60021,units=2,shard=0,hosts=3\r\n"
    r"X-Again: 1\r\nX-Unknown: a,  b\r\nx-unknown: \xff\xfe\r\nCookie: c=d\r\n"
    r"Connection: keep-alive, X-Hop, x-call-id\r\nX-Hop: one\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"
)


FORWARDED_HEAD = (
    r"PUT /api[?]key=7F3a9c21e0b4d655&x=%41%2f HTTP/1.1\r\n"
    r"Host: service.internal\r\nx-call-id: 9b1f03aa5c7e2d41\r\nX-Call-Class: page-read\r\n"
    r"X-Storage-Class: gold\r\nIDEMPOTENCY-key: 9b1f03aa5c7e2d41\r\n"
    r"Content-Type: application/octet-stream\r\nX-Extent: volume=00000003b4d60021,units=2,shard=0,hosts=3\r\n"
    r"X-Again: 1\r\nX-Unknown: a,  b\r\nx-unknown: \xff\xfe\r\nCookie: c=d\r\n"
    r"X-Budget-Ms: 1[0-9][0-9][0-9]\r\nContent-Length: 3\r\n\r\n"
)


@pytest.mark.parametrize(
    "framing", [r"Content-Length: 3\r\n\r\nabc", r"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"]
)
def test_every_field_is_forwarded_unchanged_on_each_attempt(framing: str, tmp_path: Path) -> None:
    """Guards against the loss of fields that a node acts on, such as an idempotency key."""
    script = f"""
        c send bytes '{SENT_HEAD}{framing}'
        b1 expect PUT /api* body=abc
        b1 head '{FORWARDED_HEAD}'
        b1 send 500
        b1 expect PUT /api* body=abc
        b1 head '{FORWARDED_HEAD}'
        {OK}
        c expect 200 body=data"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_a_second_idempotency_key_is_rejected(tmp_path: Path) -> None:
    """A request has two idempotency keys: the node could use one of them and the broker the other."""
    head = SENT_HEAD + r"Idempotency-Key: other\r\nContent-Length: 3\r\n\r\nabc"
    script = f"""
        c send bytes '{head}'
        c expect 400 body=*idempotency-key*twice*
        d expect taken=0"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_a_field_that_describes_the_body_is_never_taken_for_one_of_the_connection(tmp_path: Path) -> None:
    """Guards against a coded body whose Content-Encoding is lost to a Connection field that names it."""
    named = r"Connection: Content-Encoding, X-Hop, content-range\r\nX-Hop: one\r\n"
    described = r"Content-Encoding: gzip\r\nContent-Range: bytes 0-2/9\r\n"
    sent = SENT_HEAD.replace(r"Connection: keep-alive, X-Hop, x-call-id\r\nX-Hop: one\r\n", named + described)
    forwarded = FORWARDED_HEAD.replace("X-Budget-Ms", described + "X-Budget-Ms")
    script = rf"""
        c send bytes '{sent}Content-Length: 3\r\n\r\nabc'
        b1 expect PUT /api* body=abc
        b1 head '{forwarded}'
        {OK}
        c expect 200 body=data"""
    asyncio.run(play(script, objects=False, folder=tmp_path))
