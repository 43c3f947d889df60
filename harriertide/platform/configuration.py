"""The configuration of a broker of the platform: LB_CONFIG, with the other LB_ variables over it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from string import hexdigits
from typing import Any

import orjson

from harriertide.decide import api
from harriertide.decide.settings import Names, Part, SettingsError, from_wire, in_places, names_from_wire
from harriertide.http.limits import OPERATOR_DESCRIPTOR_COUNT, Limits, read_limits
from harriertide.platform.discovery import EndpointDirectory
from harriertide.platform.peers import parse_address


class BadConfigError(SettingsError):
    """The configuration cannot be used, in one plain line."""


@dataclass(frozen=True, slots=True)
class Config:
    """What a broker is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    settings: api.Settings
    names: Names
    peer_listen: tuple[str, int] | None
    peers: list[str]
    cached_list: dict[str, Any]
    writes: tuple[bool, ...] = ()
    raw_settings: dict[str, Any] = field(default_factory=dict)
    operator: tuple[str, int] | None = None  # the operators' address; None: there is none
    inherited_descriptor: int | None = None  # of the clients' listening socket, where the platform holds it
    limits: Limits = field(default_factory=read_limits)


def _check_address(key: str, text: str) -> None:
    """ValueError where it should be host:port and is not."""
    if key == "name" or (key in ("peer_listen", "operator") and not text):
        return
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{key}: must be host:port")


def read_config(environment: Mapping[str, str], held: Config | None = None) -> Config:
    """LB_CONFIG, with LB_NAME, LB_LISTEN and LB_DISCOVERY over it where they are set.

    held: what a running daemon goes by. Then only the file counts, as the environment can't follow it, and
    classes and plans keep their places.
    """
    path = environment.get("LB_CONFIG", "")
    if not path:
        raise BadConfigError("LB_CONFIG is not set: it names the configuration file")
    try:
        raw = orjson.loads(Path(path).read_bytes())
    except OSError as fault:
        raise BadConfigError(f"LB_CONFIG cannot be read: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise BadConfigError(f"LB_CONFIG is not JSON: {fault}") from None
    try:
        top = Part(raw, "")
        if held is not None:
            environment = {}
        keys = ("name", "listen", "discovery")
        stated = {key: environment.get(f"LB_{key.upper()}") or top.text(key) for key in keys}
        listens, peers = top.text("peer_listen", ""), top.texts("peers")
        operator = environment.get("LB_OPERATOR") or top.text("operator", "")
        stated_once = [*stated.items(), ("peer_listen", listens), ("operator", operator)]
        for key, text in [*stated_once, *(("peers", peer) for peer in peers)]:
            _check_address(key, text)
        inherited = environment.get("LB_INHERITED_FD", "")
        if inherited and not (inherited.isascii() and inherited.isdigit() and len(inherited) < 8):
            raise ValueError("LB_INHERITED_FD: must be the number of a descriptor")
        limits = top.part("limits") if raw.get("limits") else Part({}, "limits")
        seed = str(raw.get("seed") or "0")
        if not set(seed) <= set(hexdigits):
            raise ValueError("seed: must be hex digits")
        settings = raw["settings"]
        from_wire(settings)  # good by itself, before it is put in the places of those held
        names = names_from_wire(settings)
        if held is not None:
            settings = in_places(settings, held.raw_settings)
            names = names_from_wire(settings, raw["settings"])
        known = raw.get("known") or {"seq": 0, "whole": True, "hosts": []}
        try:
            EndpointDirectory(names.zones).apply(known, "cached")
        except Exception as fault:
            raise ValueError(f"known: is no list of nodes: {type(fault).__name__} {fault}") from None
        domain = Part(settings, "settings").part("domain")
        return Config(
            name=stated["name"],
            listen=parse_address(stated["listen"]),
            discovery=stated["discovery"],
            seed=int(seed, 16),
            settings=from_wire(settings),
            names=names,
            peer_listen=parse_address(listens) if listens else None,
            peers=peers,
            cached_list=known,
            writes=domain.flags("writes"),
            raw_settings=settings,
            limits=read_limits(
                limits, OPERATOR_DESCRIPTOR_COUNT if operator or (held and held.operator) else 0
            ),
            operator=parse_address(operator) if operator else None,
            inherited_descriptor=int(inherited) if inherited else None,
        )
    except KeyError as gap:
        raise BadConfigError(f"LB_CONFIG: {gap.args[0]} is missing or unknown") from None
    except (TypeError, ValueError, AttributeError) as fault:
        raise BadConfigError(f"LB_CONFIG: {fault}") from None
