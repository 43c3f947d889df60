"""Scenarios on real sockets: the platform listener and the object listener with stub servers."""

from __future__ import annotations

import asyncio
import copy
import json
import sqlite3
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from harriertide.cli.daemon import Daemon
from harriertide.config import operator_file
from harriertide.decide.settings import from_wire, names_from_wire
from harriertide.http import client_connection
from harriertide.http.node_connection import NodeConnection
from harriertide.http.node_pool import NodeConnectionPool
from harriertide.objects.catalogue import Catalogue
from harriertide.platform import endpoint_watch, request_body
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import parse_page
from harriertide.platform.peers import parse_address
from tests.scenario import ScenarioRunner, StubServer
from tests.test_wire import SETTINGS

WIRE: dict[str, Any] = {
    **SETTINGS,
    "limits": {**SETTINGS["limits"], "cancel": True},
    "zones": ["a"],
    "classes": [{**SETTINGS["classes"][0], "name": "page-read", "sloUs": 1_200_000}],
    "plans": [{**SETTINGS["plans"][0], "name": "gold"}],
}
OPERATOR: dict[str, Any] = {
    "listen": "127.0.0.1:0",
    "admin": "127.0.0.1:0",
    "grades": {"gold": {"reserve": 5}},
    "volumes": {"v": {"grade": "gold"}},
    "limits": {
        "part_least_kb": 0,
        "unit_kb": 1,
        "repeat_kb": 2,
        "repeat_total_kb": 4,
        "body_kb": 512,
        "read_aim_ms": 800,
        "write_aim_ms": 800,
    },
}

OK = "b1 send 200 body=data"
WATCH_LINES = """s expect GET /registry/instances?watch=1&after=7
        s send 200 Transfer-Encoding=chunked
        s send raw ''
"""
RESPONSE_WITHOUT_LENGTH = r"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"
PLATFORM_SCENARIOS = {
    "a reset does not complete a response without a length": f"""
        c send GET /api @0
        b1 expect GET /api
        b1 send bytes '{RESPONSE_WITHOUT_LENGTH}'
        b1 reset
        b1 expect GET /api
        {OK}
        c expect 200 body=data
        d expect outcome_reset=1 outcome_ok=1""",
    "an orderly close completes a response without a length": f"""
        c send GET /api @0
        b1 expect GET /api
        b1 send bytes '{RESPONSE_WITHOUT_LENGTH}'
        b1 end
        c expect 200 body=half
        d expect outcome_ok=1""",
    "a node that closes an idle connection costs no attempt": f"""
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        b1 close
        wait 0.05
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        d expect attempts=2 outcome_ok=2""",
    "a request and its response are forwarded unchanged": """
        c send PUT /api?key=00000000000000AB&x=%41%2f @0 body=ab
        b1 expect PUT /api?key=00000000000000AB&x=%41%2f X-Call-Id=id1 X-Budget-Ms=* body=ab
        b1 send 200 body=data
        c expect 200 body=data""",
    "a connection is reused, also after a body that arrived in pieces": f"""
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200 Connection=-
        c send PUT /api @0 body=abc
        b1 expect PUT /api body=abc
        {OK}
        c expect 200 Connection=-
        c send PUT /api @0 Content-Length=6 body=abc
        wait 0.05
        c send raw body=def
        b1 expect PUT /api body=abcdef
        {OK}
        c expect 200 Connection=-
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200""",
    "an error is retried, one attempt at a time": f"""
        c send GET /api @0
        b1 expect GET /api
        b1 expect nothing
        b1 send 500
        b1 expect GET /api
        {OK}
        c expect 200
        d expect outcome_error=1 outcome_ok=1 attempts=2""",
    "a request on a reused connection that fails is not repeated without the core's decision": f"""
        c send PUT /api @0
        b1 expect PUT /api
        {OK}
        c expect 200
        c send PUT /api @0
        b1 expect PUT /api
        b1 close
        b1 expect PUT /api
        b1 close
        b1 expect PUT /api
        b1 close
        c expect 503 Retry-After=0.*
        d expect outcome_reset=3 attempts=4""",
    "a rejected request is retried, at most as often as the settings allow": """
        c send GET /api @0
        b1 expect GET /api
        b1 send 503 X-Rejected=1
        b1 expect GET /api
        b1 send 503 X-Rejected=1
        b1 expect GET /api
        b1 send 500
        c expect 503 Retry-After=0.*
        d expect outcome_rejected=2 outcome_error=1""",
    "a request that its node reports as expired is rejected immediately and not retried": """
        c send GET /api @0
        b1 expect GET /api
        b1 send 504 X-Rejected=1
        c expect 503 Retry-After=0.*
        b1 expect nothing
        d expect outcome_not_sent=1 attempts=1""",
    "a node that refuses connections leads to a rejection": """
        b1 close listen
        c send GET /api @0
        c expect 503 Retry-After=0.*
        d expect outcome_connect_failed=3""",
    "a response that is truncated in its body is retried": f"""
        c send GET /api @0
        b1 expect GET /api
        b1 send 200 Content-Length=9 body=da
        b1 close
        b1 expect GET /api
        {OK}
        c expect 200 body=data
        d expect outcome_reset=1""",
    "a response is not decompressed, and redirects are not followed": """
        c send GET /api @0
        b1 expect GET /api
        b1 send 200 Content-Encoding=gzip body=nogzip
        c expect 200 body=nogzip
        c send GET /api @0
        b1 expect GET /api
        b1 send 302 Location=/x
        b1 expect GET /api
        b1 send 200
        c expect 200""",
    "the deadline counts from the arrival of the request if a node does not respond": """
        c send GET /api @0 X-Budget-Ms=200
        b1 expect GET /api X-Budget-Ms=1*
        c expect 503
        d expect outcome_timeout=1""",
    "a client disconnects, and the outcome of its attempt is recorded": f"""
        c send GET /api @0
        b1 expect GET /api
        c close
        wait 0.05
        {OK}
        wait 0.05
        c2 send GET /api @0
        b1 expect GET /api
        {OK}
        c2 expect 200
        d expect left=1 outcome_ok=2""",
    "malformed requests are rejected immediately with the reason": """
        c1 send GET /api
        c1 expect 400 body=X-Call-Id*
        c2 send GET /api @0 X-Call-Class=odd
        c2 expect 400 body=X-Call-Class*
        c3 send GET /api @0 X-Storage-Class=odd
        c3 expect 400 body=X-Storage-Class*
        c4 send GET /api @0 X-Budget-Ms=1.5
        c4 expect 400 body=X-Budget-Ms*
        c5 send GET /api @-2
        c5 expect 400 body=*shard*
        c6 send GET /api @0 X-Extent=volume=zz,units=1,shard=0,hosts=1
        c6 expect 400 body=*volume*
        c7 send GET /api @0 X-Extent=volume=00000000000000aa,units=nan,shard=0,hosts=1
        c7 expect 400 body=*units*
        c8 send POST /api @0
        c8 expect 400 body=*method*
        c9 send GET /other @0
        c9 expect 404
        c10 send GET /health/ready
        c10 expect 200""",
    "input that is not HTTP gets a response": """
        c send odd stuff\x01
        c expect 400
        c expect eof""",
    "an oversized body is rejected": """
        c send PUT /api @0 Content-Length=33554433 body=x
        c expect 413""",
    "a request ID that is in use is rejected": f"""
        c send GET /api @0 X-Call-Id=same
        b1 expect GET /api
        c2 send GET /api @0 X-Call-Id=same
        c2 expect 400 body=*use*
        {OK}
        c expect 200""",
    "an attempt that hangs while its node serves others is cancelled and retried": f"""
        c send GET /api @0
        b1 expect GET /api
        c2 send GET /api @0
        b1 expect GET /api
        {OK}
        c2 expect 200
        c2 send GET /api @0
        b1 expect GET /api
        wait 0.1
        {OK}
        c2 expect 200
        b1 expect GET /api X-Call-Id=id1
        {OK}
        c expect 200
        d expect outcome_cancelled=1 outcome_ok=3 attempts=4""",
    "a drain received on the watch in pieces stops attempts": f"""
        {WATCH_LINES}
        s send list b1=draining
        wait 0.05
        c send GET /api @0
        c expect 503 Retry-After=0.*
        s send list b1=up
        wait 0.05
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200""",
    "a watch that ends, is rejected or sends invalid data is reopened from the last known version": f"""
        {WATCH_LINES}
        s send list b1=up
        wait 0.05
        s close
        s expect GET /registry/instances?watch=1&after=9
        s send 503
        s expect GET /registry/instances?watch=1&after=9
        s send 200 Transfer-Encoding=chunked
        s send raw nonsense
        s expect GET /registry/instances?watch=1&after=9""",
    "on SIGTERM the broker reports not ready, still serves requests, completes them and closes": f"""
        c4 send GET /health/ready
        c4 expect 200
        c send GET /health/ready
        c expect 200
        d close
        wait 0.05
        c2 send GET /health/ready
        c2 expect 503
        c3 send GET /api @1
        b2 expect GET /api
        b2 send 200 body=late
        c3 expect 200 Connection=- body=late
        wait 0.6
        c4 send GET /api @1
        b2 expect GET /api
        b2 send 200 body=kept
        c4 expect 200 Connection=- body=kept
        wait 0.8
        c send GET /api @0
        b1 expect GET /api
        wait 0.6
        c4 expect eof
        {OK}
        c expect 200 Connection=close body=data
        c expect eof""",
    "a request that is open at the end of the shutdown time is rejected, not dropped": """
        c send GET /health/ready
        c expect 200
        d close
        wait 1.7
        c send GET /api @0 X-Budget-Ms=1900
        b1 expect GET /api
        c expect 503 Retry-After=* Connection=close
        c expect eof""",
}

VALID_RESPONSE = r"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata"
CHUNKED_HEAD = r"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSES_WITH_SURPLUS = {
    "a duplicate response": VALID_RESPONSE + VALID_RESPONSE,
    "garbage": VALID_RESPONSE + r"\x00\xffnoise\r\n\r\n",
    "a part of a head": VALID_RESPONSE + "HTTP/1.1 200 OK",
    "garbage after the last chunk": CHUNKED_HEAD + r"4\r\ndata\r\n0\r\n\r\n\x00\xff",
    "a Connection: close": r"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndata",
}
MALFORMED_RESPONSES = {
    "garbage": r"\x01\x02\r\n\r\n",
    "an invalid status": r"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndata",
    "a negative length": r"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\ndata",
    "two lengths": r"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\ndata",
    "a length and chunks": CHUNKED_HEAD.replace("Tr", r"Content-Length: 4\r\nTr") + r"0\r\n\r\n",
    "a body shorter than its length": r"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata",
    "an incomplete head": r"HTTP/1.1 200 OK\r\nConte",
    "a length of 3 GB": r"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ndata",
    "no length on a persistent connection": r"HTTP/1.1 200 OK\r\n\r\ndata",
    "endless chunks": CHUNKED_HEAD + r"ffffff\r\n" + "x" * 60_000,  # above 64 KiB it would be forwarded
    "an endless head": r"HTTP/1.1 200 OK\r\n" + r"X-Pad: pppppppp\r\n" * 1200,
    "endless interim responses": r"HTTP/1.1 100 Go on\r\n\r\n" * 1200,
    "a switch of protocols": r"HTTP/1.1 101 Switch\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n",
}

RELOAD_SCENARIOS = {
    "after a reload the old address is watched until the new one has sent a full list": f"""
        {WATCH_LINES}
        d send config 'discovery="s2"'
        s2 expect GET /registry/instances
        s expect nothing
        s2 send 200 'body={{"seq":2,"whole":true,"hosts":[]}}'
        s2 expect GET /registry/instances?watch=1&after=2
        s2 send 200 Transfer-Encoding=chunked
        s eof
        c send GET /api @0
        c expect 503
        s2 send list b1=up
        wait 0.05
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        d expect list_failed=0""",
    "if the new address does not respond, the old one stays watched and its end is not a failure": f"""
        {WATCH_LINES}
        s2 close listen
        d send config 'discovery="s2"'
        wait 0.05
        s send list b1=draining
        wait 0.05
        c send GET /api @0
        c expect 503
        s close
        wait 0.05
        s expect nothing
        d expect list_failed=1 list_delta=1""",
    "open requests keep their deadline, class and plan when a reload changes the settings": f"""
        c send GET /api @0
        b1 expect GET /api
        d send config 'settings.classes.0.name="odd"' settings.classes.0.deadlineUs=9
        wait 0.3
        {OK}
        c expect 200
        c send GET /api @0
        c expect 400 body=X-Call-Class*""",
    "an invalid configuration leaves the previous one in effect": f"""
        {WATCH_LINES}
        d send config 'settings.classes=[]'
        d send config 'peers=["x:y"]' 'discovery="s2"'
        d send config settings=7
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        s2 expect nothing""",
}

CREATE_UPLOAD = """
        c send POST /v/big?uploads
        c expect 200 >up=<UploadId>(.*)</UploadId>
"""


def upload_part(number: int, text: str, node: str = "b1") -> str:
    """The scenario lines of an UploadPart request that the node accepts."""
    return f"""
        c send PUT /v/big?partNumber={number}&uploadId={{up}} body={text}
        {node} expect PUT /v/* body={text}
        {node} send 200 ETag=t{number}
        c expect 200 >e{number}=()
"""


def complete_body(*numbered_parts: tuple[int, str]) -> str:
    """The body of a CompleteMultipartUpload request."""
    from hashlib import md5

    part_elements = "".join(
        f"<Part><PartNumber>{number}</PartNumber><ETag>{md5(text.encode()).hexdigest()}</ETag></Part>"
        for number, text in numbered_parts
    )
    return f"'body=<CompleteMultipartUpload>{part_elements}</CompleteMultipartUpload>'"


PUT_LINES = """
        c send PUT /v/a Content-Type=text/plain body=0123456789
        b1 expect PUT /v/* Content-Length=10 body=0123456789
        b1 send 200 ETag=t1
        c expect 200 ETag="781e5e245d69b566979b86e28d23f2c7"
""".replace('ETag="781e5e245d69b566979b86e28d23f2c7"', "'ETag=\"781e5e245d69b566979b86e28d23f2c7\"'")
OBJECT_SCENARIOS = {
    "a permanent rejection by a node is not retried and becomes an internal error": """
        c send PUT /v/a body=0123456789
        b1 expect PUT /v/*
        b1 send 413 'body=too much'
        c expect 500 body=*InternalError*
        b1 expect nothing
        b2 expect nothing
        c send PUT /v/a body=0123456789
        b1 expect PUT /v/*
        b1 send 429
        b1 expect PUT /v/*
        b1 send 200 ETag=t1
        c expect 200
        c send GET /v/a
        b1 expect GET /v/*
        b1 send 403
        c expect 500 body=*InternalError*""",
    "an object is written, and read whole and by range": f"""{PUT_LINES}
        c send GET /v/a
        b1 expect GET /v/* Range=bytes=0-9 If-Match=t1
        b1 send 206 'Content-Range=bytes 0-9/10' body=0123456789
        c expect 200 Content-Type=text/plain* Content-Length=10 body=0123456789
        c send GET /v/a Range=bytes=2-4
        b1 expect GET /v/* Range=bytes=2-4
        b1 send 206 'Content-Range=bytes 2-4/10' body=234
        c expect 206 'Content-Range=bytes 2-4/10' body=234
        c send GET /v/a Range=bytes=-3
        b1 expect GET /v/* Range=bytes=7-9
        b1 send 206 'Content-Range=bytes 7-9/10' body=789
        c expect 206 body=789
        c send GET /v/a Range=bytes=10-
        c expect 416 'Content-Range=bytes [*]/10' body=*InvalidRange*
        c send GET /v/a If-None-Match=*
        c expect 304
        c send GET /v/a If-Match=x
        c expect 412 body=*PreconditionFailed*
        c send GET /v/a Range=bytes=2-4 If-Range=x
        b1 expect GET /v/* Range=bytes=0-9
        b1 send 206 'Content-Range=bytes 0-9/10' body=0123456789
        c expect 200 body=0123456789
        c send DELETE /v/a
        c expect 204
        c send GET /v/a
        c expect 404 body=*NoSuchKey*
        b1 expect DELETE /v/*
        b1 send 204""",
    "an interrupted range read continues from the same offset with If-Match": f"""{PUT_LINES}
        c send GET /v/a Range=bytes=1-8
        b1 expect GET /v/* Range=bytes=1-8 If-Match=t1
        b1 send 206 'Content-Range=bytes 1-8/10' Content-Length=8 body=123
        wait 0.05
        b1 close
        b1 expect GET /v/* Range=bytes=4-8 If-Match=t1
        b1 expect nothing
        b1 send 206 'Content-Range=bytes 4-8/10' body=45678
        c expect 206 body=12345678""",
    "an interrupted read that cannot continue is visibly truncated": f"""{PUT_LINES}
        c send GET /v/a
        b1 expect GET /v/*
        b1 send 206 'Content-Range=bytes 0-9/10' Content-Length=10 body=012
        wait 0.05
        b1 close
        b1 expect GET /v/* Range=bytes=3-9
        b1 send 412
        c expect short""",
    "a response with another byte range is not used": f"""{PUT_LINES}
        c send GET /v/a Range=bytes=1-2
        b1 expect GET /v/*
        b1 send 206 'Content-Range=bytes 0-1/10' body=01
        b1 expect GET /v/* Range=bytes=1-2
        b1 send 206 'Content-Range=bytes 1-2/10' body=12
        c expect 206 body=12""",
    "a write that fails on its node is retried once from the buffer": """
        c send PUT /v/a body=ab
        b1 expect PUT /v/* body=ab
        b1 send 500
        b1 expect PUT /v/* body=ab
        b1 send 200
        c expect 200""",
    "a write longer than the buffer is not retried and gets SlowDown": """
        c send PUT /v/a body=3000*x
        b1 expect PUT /v/* Content-Length=3000
        b1 send 500
        c expect 503 Retry-After=0.* body=*SlowDown*""",
    "the buffers of all clients together are limited": """
        c send PUT /v/a body=2048*x
        b1 expect PUT /v/*
        c2 send PUT /v/b body=2048*x
        b2 expect PUT /v/*
        c3 send PUT /v/c body=2048*x
        c3 expect 503 Retry-After=0.* body=*SlowDown*
        b1 send 200
        c expect 200
        b2 send 200
        c2 expect 200""",
    "a client that stalls within its body gets a response by its deadline, and the blob is deleted": """
        c send PUT /v/a Content-Length=9000 X-Budget-Ms=300 body=4000*x
        c expect 503 body=*SlowDown*
        b1 expect DELETE /v/*
        b1 send 204
        d expect outcome_cancelled=1""",
    "the absolute deadline ends a call if the node does not respond": """
        c send PUT /v/a X-Budget-Ms=250 body=ab
        b1 expect PUT /v/* X-Budget-Ms=2*
        c expect 503 body=*SlowDown*""",
    "a client disconnects within its body: the node gets no complete request, the blob is deleted": """
        c send PUT /v/a Content-Length=9000 body=4000*x
        wait 0.1
        c close
        wait 0.1
        b1 expect nothing
        c2 send GET /v/a
        c2 expect 404
        d expect outcome_cancelled=1""",
    "a client that disconnects within its response does not affect later requests": f"""{PUT_LINES}
        c send GET /v/a
        b1 expect GET /v/*
        b1 send 206 'Content-Range=bytes 0-9/10' Content-Length=10 body=012
        wait 0.05
        c close
        wait 0.05
        b1 close
        c2 send GET /v/a
        b1 expect GET /v/* Range=bytes=0-9
        b1 send 206 'Content-Range=bytes 0-9/10' body=0123456789
        c2 expect 200""",
    "multipart: list, repeated Complete, read across parts": f"""{CREATE_UPLOAD}{upload_part(1, "hello")}
        c send PUT /v/big?partNumber=2&uploadId={{up}} body=world
        b1 expect PUT /v/*
        b1 send 200 ETag=t2
        c expect 200
        c send GET /v/big?uploadId={{up}}&max-parts=1
        c expect 200 body=*<IsTruncated>true*<PartNumber>1*<Size>5*
        c send POST /v/big?uploadId={{up}} {complete_body((2, "world"), (1, "hello"))}
        c expect 400 body=*InvalidPartOrder*
        c send POST /v/big?uploadId={{up}} {complete_body((1, "other"))}
        c expect 400 body=*InvalidPart*
        c send POST /v/big?uploadId={{up}} body=<x
        c expect 400 body=*MalformedXML*
        c send POST /v/big?uploadId={{up}} {complete_body((1, "hello"), (2, "world"))}
        c expect 200 body=*-2*
        c send POST /v/big?uploadId={{up}} {complete_body((1, "hello"), (2, "world"))}
        c expect 200 body=*-2*
        c send DELETE /v/big?uploadId={{up}}
        c expect 404 body=*NoSuchUpload*
        c send GET /v/big Range=bytes=3-6
        b1 expect GET /v/* Range=bytes=3-4 If-Match=t1
        b1 send 206 'Content-Range=bytes 3-4/5' body=lo
        b1 expect GET /v/* Range=bytes=0-1 If-Match=t2
        b1 send 206 'Content-Range=bytes 0-1/5' body=wo
        c expect 206 'Content-Range=bytes 3-6/10' body=lowo""",
    "an upload is aborted twice, and its parts are deleted": f"""{CREATE_UPLOAD}{upload_part(1, "hello")}
        c send DELETE /v/big?uploadId={{up}}
        c expect 204
        c send DELETE /v/big?uploadId={{up}}
        c expect 204
        c send PUT /v/big?partNumber=2&uploadId={{up}} body=x
        c expect 404 body=*NoSuchUpload*
        c send POST /v/big?uploadId={{up}} {complete_body((1, "hello"))}
        c expect 404 body=*NoSuchUpload*
        b1 expect DELETE /v/*
        b1 send 204""",
    "a part that arrives while its upload is aborted is not kept": f"""{CREATE_UPLOAD}
        c send PUT /v/big?partNumber=1&uploadId={{up}} body=x
        b1 expect PUT /v/*
        c2 send DELETE /v/big?uploadId={{up}}
        c2 expect 204
        b1 send 200
        c expect 404 body=*NoSuchUpload*
        b1 expect DELETE /v/*
        b1 send 204""",
    "a node that starts draining between parts: later ones go elsewhere, Complete answers once": f"""
        {CREATE_UPLOAD}{upload_part(1, "hello")}
        o send b1=draining
        wait 0.25
        {upload_part(2, "world", "b2")}{upload_part(3, "again", "b2")}
        b1 expect nothing
        c send POST /v/big?uploadId={{up}} {complete_body((1, "hello"), (2, "world"), (3, "again"))}
        c expect 200 body=*-3*""",
    "a part whose client pauses while its node drains goes elsewhere, held or passing through": f"""
        {CREATE_UPLOAD}
        c send PUT /v/big?partNumber=1&uploadId={{up}} Content-Length=5
        c2 send PUT /v/big?partNumber=2&uploadId={{up}} Content-Length=3000
        wait 0.1
        o send b1=draining
        wait 0.25
        c send raw body=hello
        b2 expect PUT /v/* body=hello
        b2 send 200
        c expect 200
        c2 send raw body=3000*x
        b2 expect PUT /v/* body=3000*x
        b2 send 200
        c2 expect 200
        b1 expect nothing""",
    "a client that waits for 100 Continue gets it": """
        c send PUT /v/a Expect=100-continue Content-Length=2
        c expect 100
        c send raw body=ab
        b1 expect PUT /v/* body=ab
        b1 send 200
        c expect 200""",
    "parts on a node that was removed do not count": f"""{CREATE_UPLOAD}{upload_part(1, "hello")}
        o send b1=gone
        wait 0.05
        c send POST /v/big?uploadId={{up}} {complete_body((1, "hello"))}
        c expect 400 body=*InvalidPart*
        {upload_part(1, "anew", "b2")}
        c send POST /v/big?uploadId={{up}} {complete_body((1, "anew"))}
        c expect 200""",
    "all nodes drain: SlowDown at once": """
        o send b1=draining b2=draining
        c send PUT /v/a body=x
        c expect 503 Retry-After=0.* body=*SlowDown*""",
    "an object of 0 bytes is written and read": """
        c send PUT /v/empty
        b1 expect PUT /v/* Content-Length=0
        b1 send 200 ETag=t1
        c expect 200 'ETag="d41d8cd98f00b204e9800998ecf8427e"'
        c send GET /v/empty
        c expect 200 Content-Length=0 body=
        c send GET /v/empty Range=bytes=0-
        c expect 416""",
    "a write with If-None-Match or If-Match takes the place of what it names only": f"""{PUT_LINES}
        c send PUT /v/a If-None-Match=* body=other
        c expect 412 body=*PreconditionFailed*
        c send PUT /v/a 'If-Match="0123"' body=other
        c expect 412 body=*PreconditionFailed*
        c send PUT /v/none If-Match=* body=other
        c expect 404 body=*NoSuchKey*
        c send PUT /v/a 'If-Match="781e5e245d69b566979b86e28d23f2c7"' body=new
        b1 expect PUT /v/* body=new
        b1 send 200
        c expect 200
        c send HEAD /v/a
        c expect 200 Content-Length=3""",
    "of two writes with If-None-Match that cross one is stored": """
        c send PUT /v/x If-None-Match=* body=first
        b1 expect PUT /v/* body=first
        c2 send PUT /v/x If-None-Match=* body=second
        b2 expect PUT /v/* body=second
        b2 send 200
        c2 expect 200
        b1 send 200
        c expect 412 body=*PreconditionFailed*
        b1 expect DELETE /v/*
        b1 send 204
        c send HEAD /v/x
        c expect 200 Content-Length=6""",
    "metadata of an object is returned with it": f"""
        c send PUT /v/m X-Amz-Meta-Desk=city Cache-Control=max-age=9 Content-Encoding=gzip Expires=0 body=x
        b1 expect PUT /v/*
        b1 send 200
        c expect 200
        c send HEAD /v/m
        c expect 200 x-amz-meta-desk=city Cache-Control=max-age=9 Content-Encoding=gzip Expires=0
        c send PUT /v/m X-Amz-Meta-Long={"x" * 2100} body=x
        c expect 400 body=*MetadataTooLarge*
        c send POST /v/up?uploads Content-Disposition=inline X-Amz-Meta-Desk=metro
        c expect 200 >up=<UploadId>(.*)</UploadId>
        c send PUT /v/up?partNumber=1&uploadId={{up}} body=x
        b1 expect PUT /v/* body=x
        b1 send 200
        c expect 200
        c send POST /v/up?uploadId={{up}} {complete_body((1, "x"))}
        c expect 200
        c send HEAD /v/up
        c expect 200 Content-Disposition=inline x-amz-meta-desk=metro""",
    "what is not part of the interface is reported as such": """
        c send GET /w/a
        c expect 404 body=*NoSuchBucket*
        c send GET /v/a?acl
        c expect 501 body=*NotImplemented*
        c send POST /v/a
        c expect 405 body=*MethodNotAllowed*
        c send HEAD /v/a
        c expect 404
        c send GET /v/%ff
        c expect 400 body=*InvalidURI*
        c send PUT /v/a Content-Length=600000
        c expect 413 body=*EntityTooLarge*""",
    "a stated digest is checked": """
        c send PUT /v/a Content-MD5=AAAAAAAAAAAAAAAAAAAAAA== body=x
        b1 expect PUT /v/*
        b1 send 200
        c expect 400 body=*BadDigest*
        b1 expect DELETE /v/*
        b1 send 204""",
}


BOTH = """
        c send PUT /v/a body=ab
        b1 expect PUT /v/* body=ab
        b1 send 200
        c expect 200
        s send list b1=draining
        wait 0.05
        c send GET /v/a
        c expect 503 Retry-After=0.* body=*SlowDown*
        c send PUT /v/b body=cd
        b2 expect PUT /v/* body=cd
        b2 send 200
        c expect 200"""


async def play(
    script: str,
    objects: bool,
    folder: Path,
    both: bool = False,
    beside: Callable[[Daemon], Awaitable[None]] | None = None,
    wire: dict[str, Any] = WIRE,
) -> None:
    """Run one scenario, and then what the language has no words for; whatever it did, the core owes nobody
    anything at its end."""
    stands = {name: StubServer() for name in ("b1", "b2", "s", "s2")}
    ports = {name: await stand.start() for name, stand in stands.items()}
    world = ScenarioRunner(stands, ports, None)
    if objects:
        boxes = {n: {"address": f"127.0.0.1:{ports[n]}", "shard": int(n[1]) - 1} for n in ("b1", "b2")}
        raw = {**OPERATOR, "boxes": boxes, "catalogue": str(folder / "catalogue")}
        daemon = Daemon(None, operator_file.read_operator_file(raw))

        async def operate(words: list[str]) -> None:
            for word in words:
                name, state = word.split("=")
                if state == "gone":
                    del boxes[name]
                else:
                    boxes[name]["state"] = state
            assert daemon.objects is not None
            daemon.objects.apply_state(operator_file.read_state(raw))

        world.run_operator_call = operate
    else:
        config = Config(
            name="n",
            listen=parse_address("127.0.0.1:0"),
            discovery=f"127.0.0.1:{ports['s']}",
            seed=1,
            settings=from_wire(wire),
            names=names_from_wire(wire),
            peer_listen=None,
            peers=[],
            cached_list=parse_page(
                {
                    "seq": 7,
                    "whole": True,
                    "hosts": [world.endpoint_entry("b1", "up"), world.endpoint_entry("b2", "up")],
                },
                {},
            ),
            raw_settings=wire,
        )

        def reload(changes: list[list[str]]) -> None:
            where = {"name": "n", "listen": "127.0.0.1:0", "discovery": config.discovery}
            raw = copy.deepcopy({**where, "settings": wire})
            for path, value in changes:
                at: Any = raw
                *way, last = [int(step) if step.isdigit() else step for step in path.split(".")]
                for step in way:
                    at = at[step]
                at[last] = json.loads(value)
            if raw["discovery"] in ports:
                raw["discovery"] = f"127.0.0.1:{ports[raw['discovery']]}"
            (folder / "config").write_text(json.dumps(raw))
            daemon.reload({"LB_CONFIG": str(folder / "config")})

        world.reload = reload
        raw = {**OPERATOR, "catalogue": str(folder / "catalogue")}
        daemon = Daemon(config, operator_file.read_operator_file(raw) if both else None)
    world.daemon = daemon
    await daemon.start()
    ports["front"] = daemon.listeners.port(1 if both else 0)
    if not objects and not script.lstrip().startswith("s "):
        script = "s expect GET /registry/*\ns send 200 Transfer-Encoding=chunked\ns send raw ''\n" + script
    try:
        await world.run(script)
        if beside is not None:
            await beside(daemon)
        for client in list(world.clients):
            await world.disconnect(client, [])
        await asyncio.sleep(0.05)
        assert daemon.core.open_request_count() == 0
        counts = daemon.core.counts
        assert counts["taken"] == sum(counts[kind] for kind in ("served", "rejected", "failed", "left"))
    finally:
        if not world.tasks:
            world.tasks.append(asyncio.create_task(daemon.stop()))
        boxes = {name: stands.pop(name) for name in ("b1", "b2")}
        for stand in boxes.values():
            await stand.close()
        await asyncio.gather(*world.tasks)
        # last: a daemon that stops still asks a pushed list's agent; its port must not be another test's yet
        for stand in stands.values():
            await stand.close()


@pytest.mark.parametrize("script", PLATFORM_SCENARIOS.values(), ids=PLATFORM_SCENARIOS.keys())
def test_platform(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script, objects=False, folder=tmp_path))


@pytest.mark.parametrize("answer", RESPONSES_WITH_SURPLUS.values(), ids=RESPONSES_WITH_SURPLUS.keys())
def test_a_response_with_surplus_bytes_is_served_and_its_connection_not_reused(
    answer: str, tmp_path: Path
) -> None:
    """Guards against a stale answer, or what is left of one, reaching the next client."""
    script = f"""
        c send GET /api @0
        b1 expect GET /api
        b1 send bytes '{answer}'
        c expect 200 body=data
        c2 send GET /api @0
        b1 expect GET /api
        b1 made 2
        b1 send 200 body=own
        c2 expect 200 body=own"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


@pytest.mark.parametrize("stray", [VALID_RESPONSE, "x", r"\xff\r\n\r\n"])
@pytest.mark.parametrize("wait", ["", "wait 0.05"], ids=["at once", "later"])
def test_bytes_on_an_idle_connection_never_reach_a_client(stray: str, wait: str, tmp_path: Path) -> None:
    """A node sends something on an idle connection.

    It must not pass for the response to the next request: the connection is closed.
    """
    script = f"""
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200
        b1 send bytes '{stray}'
        {wait}
        c2 send GET /api @0
        b1 expect GET /api
        b1 send 200 body=own
        c2 expect 200 body=own
        b1 made 2"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


@pytest.mark.parametrize("answer", MALFORMED_RESPONSES.values(), ids=MALFORMED_RESPONSES.keys())
def test_a_malformed_response_is_a_failed_attempt_that_may_have_run(answer: str, tmp_path: Path) -> None:
    """Guards against answers without bounds, and against passing on what no box made."""
    script = f"""
        d set boxes.max_response_bytes=65536
        c send GET /api @0
        b1 expect GET /api
        b1 send bytes '{answer}'
        b1 expect GET /api
        b1 made 2
        {OK}
        c expect 200 body=data
        d expect outcome_incomplete=1 outcome_ok=1"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_1xx_responses_and_a_malformed_load_report_leave_a_response_valid(tmp_path: Path) -> None:
    """Interim responses and fields that make no sense come with a good response. It is served."""
    script = r"""
        c send GET /api @0
        b1 expect GET /api
        b1 send bytes 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 '
        b1 send bytes '200 OK\r\nX-Load-Report: \xff=\x80,,7\r\nContent-Length: 4\r\n\r\nda'
        wait 0.02
        b1 send bytes ta
        c expect 200 body=data
        wait 0.02
        c send GET /api @0
        b1 expect GET /api
        b1 made 1
        b1 send 200
        c expect 200"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_a_large_response_is_served_within_the_memory_limit(tmp_path: Path) -> None:
    """Boxes answer with hundreds of kilobytes; what is held at once is bounded, and given back."""
    script = f"""
        c3 send GET /api @1
        b2 expect GET /api
        b2 send 200 body=400000*x
        c3 expect 200 body=400000*x
        d set boxes.max_buffered_bytes=1000
        c send GET /api @0
        b1 expect GET /api
        b1 send 200 body=800*x
        c expect 200 body=800*x
        c send GET /api @0
        b1 expect GET /api
        b1 send bytes 'HTTP/1.1 200 OK\\r\\nContent-Length: 800\\r\\n\\r\\n'
        wait 0.01
        c2 send GET /api @1
        b2 expect GET /api
        b2 send 200 body=800*x
        b2 expect GET /api
        b2 send 200 body=few
        c2 expect 200 body=few
        b1 send bytes {"'" + "x" * 800 + "'"}
        c expect 200 body=800*x
        d expect outcome_ok=4 outcome_incomplete=1"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_unread_responses_do_not_exhaust_the_memory(tmp_path: Path) -> None:
    """Clients ask and do not read.

    Where their answers lie the longest, the connection is closed, before they use up the memory.
    """
    script = """
        d set clients.max_unsent_bytes=10000
        c send GET /api @0
        b1 expect GET /api
        b1 send 200 body=8000000*x
        wait 0.4
        c expect short"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_connections_to_nodes_stay_within_their_limit_and_idle_ones_are_evicted(tmp_path: Path) -> None:
    """Guards against the pool using up the descriptors: past its bound a request is turned away early."""
    script = f"""
        d set boxes.max_connections=1
        c send GET /api @0
        b1 expect GET /api
        c2 send GET /api @1
        c2 expect 503
        b2 made 0
        {OK}
        c expect 200
        c2 send GET /api @1
        b2 expect GET /api
        b2 send 200
        c2 expect 200
        b1 eof
        d expect outcome_connect_failed=0"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


@pytest.mark.parametrize("script", RELOAD_SCENARIOS.values(), ids=RELOAD_SCENARIOS.keys())
def test_reload(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script, objects=False, folder=tmp_path))


@pytest.mark.parametrize("script", OBJECT_SCENARIOS.values(), ids=OBJECT_SCENARIOS.keys())
def test_objects(script: str, tmp_path: Path) -> None:
    asyncio.run(play(script, objects=True, folder=tmp_path))


def test_the_object_front_beside_the_platforms_follows_discovery(tmp_path: Path) -> None:
    asyncio.run(play(BOTH, objects=False, folder=tmp_path, both=True))


def test_a_silent_watch_is_abandoned(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Discovery goes silent on a watch. The watch is ended, and another one opened."""
    monkeypatch.setattr(endpoint_watch, "WATCH_SILENCE_S", 0.4)
    script = f"""{WATCH_LINES}
        wait 0.3
        s send raw ''
        wait 0.3
        s expect nothing
        s expect GET /registry/instances?watch=1&after=7"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_a_drain_during_a_connect_stops_the_send(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Decided before the drain was told, written after it: what the look at the moment of writing is for."""
    connect = NodeConnectionPool.connect

    async def slow(pool: NodeConnectionPool, address: str) -> NodeConnection | None:
        line = await connect(pool, address)
        await asyncio.sleep(0.15)
        return line

    monkeypatch.setattr(NodeConnectionPool, "connect", slow)
    script = f"""{WATCH_LINES}
        wait 0.3
        c send GET /api @0
        wait 0.05
        s send list b1=draining
        c expect 503 Retry-After=0.*
        b1 expect nothing
        d expect attempts=1 outcome_rejected=1"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_at_the_client_connection_limit_idle_ones_are_evicted_and_busy_ones_stay(
    tmp_path: Path,
) -> None:
    """Guards against kept or silent connections using up the descriptors."""
    script = f"""
        d set clients.max_connections=2
        c send GET /api @0
        b1 expect GET /api
        c2 send GET /health/ready
        c2 expect 200
        c3 send GET /health/ready
        c3 expect 200
        c2 expect eof
        {OK}
        c expect 200 body=data"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_with_all_connections_busy_new_ones_are_served_and_busy_ones_stay(tmp_path: Path) -> None:
    """All connections carry requests. New ones wait for room, are served in turn, and close none of these."""
    script = f"""
        d set clients.max_connections=1
        c send GET /api @0
        b1 expect GET /api
        c2 send GET /health/ready
        c2 expect 200
        c3 send GET /health/ready
        c3 expect 200
        {OK}
        c expect 200 body=data"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


ENDLESS = {
    "silent": "c send",
    "a head without end": "c send bytes 'GET /api HTTP/1.1\\r\\nHost: x\\r\\nX-Pad: '",
    "a body without end": "c send PUT /api @0 Content-Length=9 body=part",
    "chunks without end": "c send PUT /api @0 Transfer-Encoding=chunked Content-Length=- body=1",
    "a kept one that begins again": """c send GET /health/ready
        c expect 200
        c send bytes 'GET /api'""",
}


@pytest.mark.parametrize("send", ENDLESS.values(), ids=ENDLESS.keys())
@pytest.mark.parametrize("objects", [False, True], ids=["platform", "objects"])
def test_an_incomplete_request_has_an_absolute_deadline(
    send: str, objects: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client that waits for its answer, meanwhile, is not held to it."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.4)
    if objects:
        if "PUT" in send or "ready" in send:
            pytest.skip("bodies have the deadline of their call there; there is no such route")
        script = f"""
        {send}
        c expect eof"""
    else:
        script = f"""
        c2 send GET /api @0
        b1 expect GET /api
        {send}
        c expect eof
        wait 0.2
        {OK}
        c2 expect 200 body=data"""
    asyncio.run(play(script, objects=objects, folder=tmp_path))


TWICE = "X-Call-Id: a\\r\\nX-Call-Id: b"
PUT_HEAD = r"PUT /api HTTP/1.1\r\nHost: x\r\n"
UNREADABLE = {
    "noise": r"\x16\x03\x01\x00\xff\r\n\r\n",
    "length and chunks": PUT_HEAD + r"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
    "two lengths": PUT_HEAD + r"Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
    "a negative length": PUT_HEAD + r"Content-Length: -4\r\n\r\n",
    "a huge length": PUT_HEAD + r"Content-Length: 99999999999999999999\r\n\r\n",
    "60 MB": PUT_HEAD + r"Content-Length: 60000000\r\n\r\nxxxxxxxx",
    "two ids": rf"GET /api HTTP/1.1\r\nHost: x\r\n{TWICE}\r\n\r\n",
    "chunks that are none": PUT_HEAD + r"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "chunks over the bound": PUT_HEAD + r"Transfer-Encoding: chunked\r\n\r\n11000\r\n" + "x" * 69_632,
    "an upgrade": r"GET /api HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
    "a head over its bound": r"GET /api HTTP/1.1\r\nHost: x\r\nX-Pad: " + "x" * 20_000,
    "no such route": r"GET /other HTTP/1.1\r\nHost: x\r\n\r\n",
}


@pytest.mark.parametrize("text", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_malformed_or_smuggled_requests_get_an_error_and_a_close(
    text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against passing on a request that hides another, and against reading bodies nobody wants."""
    monkeypatch.setattr(
        request_body, "MAX_REQUEST_BODY_BYTES", 65_536
    )  # in place of 32 MiB, so that chunks may go beyond it
    script = f"""
        c send bytes '{text}'
        c expect 4??
        c expect eof
        d expect taken=0"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_pipelined_requests_are_not_served_and_a_flooding_client_is_closed(tmp_path: Path) -> None:
    """A client sends many requests at once, against the protocol.

    The first is answered, the others are not read, and its connection is closed.
    """
    script = f"""
        c send GET /api @0
        c send GET /api @0
        c send GET /api @0
        b1 expect GET /api
        {OK}
        c expect 200 body=data Connection=close
        c expect eof
        d expect taken=1"""
    asyncio.run(play(script, objects=False, folder=tmp_path))


def test_a_catalogue_that_cannot_be_read_is_an_internal_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk under the catalogue fails.

    The client gets the interface's own error, not a broken connection.
    """

    def broken(*given: object) -> None:
        raise sqlite3.OperationalError("disk I/O error")

    monkeypatch.setattr(Catalogue, "find", broken)
    script = """
        c send GET /v/a
        c expect 500 body=*InternalError*"""
    asyncio.run(play(script, objects=True, folder=tmp_path))
