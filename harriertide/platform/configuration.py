"""The configuration of a broker of the platform: the file that LB_CONFIG names, below other LB_ variables.

The words of the file and of the environment are mapped here and in `decide.settings`, and nowhere else.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from string import hexdigits
from typing import Any

import orjson

from harriertide.decide import api
from harriertide.decide.settings import (
    Names,
    SettingsError,
    SettingsSection,
    from_wire,
    keep_numbers,
    names_from_wire,
)
from harriertide.http.limits import OPERATOR_DESCRIPTOR_COUNT, Limits, read_limits
from harriertide.platform.endpoint_page import EMPTY_PAGE, EndpointPage, EndpointPageError, parse_page
from harriertide.platform.peers import parse_address

MAX_PORT = 65535
MAX_DESCRIPTOR_DIGITS = 7  # the system's own bound on descriptors has no more

Address = tuple[str, int]


class BadConfigError(SettingsError):
    """The configuration cannot be used; one plain line for the operator, who has to change it."""


@dataclass(frozen=True, slots=True)
class Config:
    """What a broker is started with.

    :param name: of the broker
    :param listen: where clients of the platform connect
    :param discovery: host:port of discovery, or of the agent that pushes its list
    :param seed: of the decision module's random numbers
    :param settings: of the decision module
    :param names: of classes, plans and zones, and the figures that only sockets need
    :param peer_listen: the address for other brokers' datagrams; None: they are not received
    :param peers: host:port of each broker, in the order of their numbers
    :param cached_list: the endpoint list as the platform last had it
    :param writes: for each class, whether its requests change data
    :param raw_settings: the settings as the file has them
    :param operator: the address for operators' calls; None: there is none
    :param inherited_descriptor: of the clients' listening socket, where the platform holds it
    :param limits: on connections and memory
    """

    name: str
    listen: Address
    discovery: str
    seed: int
    settings: api.Settings
    names: Names
    peer_listen: Address | None
    peers: list[str]
    cached_list: EndpointPage
    writes: tuple[bool, ...] = ()
    raw_settings: dict[str, Any] = field(default_factory=dict)
    operator: Address | None = None
    inherited_descriptor: int | None = None
    limits: Limits = field(default_factory=read_limits)


@dataclass(frozen=True, slots=True)
class _Addresses:
    """The name of the broker and the addresses that it uses, as text."""

    name: str
    listen: str
    discovery: str
    peer_listen: str
    operator: str
    peers: list[str]


def read_config(environment: Mapping[str, str], running: Config | None = None) -> Config:
    """Read the file that LB_CONFIG names; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_OPERATOR go before it.

    :param running: the configuration that a running broker goes by. The file alone counts then, as a running
        process cannot be given another environment, and classes and plans keep their numbers.
    :raises BadConfigError: the configuration cannot be used
    """
    raw = _load_file(environment.get("LB_CONFIG", ""))
    try:
        return _parse_config(raw, {} if running is not None else environment, running)
    except KeyError as gap:
        raise BadConfigError(f"LB_CONFIG: {gap.args[0]} is missing or unknown") from None
    except (TypeError, ValueError, AttributeError) as fault:
        raise BadConfigError(f"LB_CONFIG: {fault}") from None


def _load_file(path: str) -> Any:
    if not path:
        raise BadConfigError("LB_CONFIG is not set: it names the configuration file")
    try:
        return orjson.loads(Path(path).read_bytes())
    except OSError as fault:
        raise BadConfigError(f"LB_CONFIG cannot be read: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise BadConfigError(f"LB_CONFIG is not JSON: {fault}") from None


def _parse_config(raw: Any, environment: Mapping[str, str], running: Config | None) -> Config:
    top = SettingsSection(raw, "")
    addresses = _parse_addresses(top, environment)
    inherited_descriptor = _parse_descriptor(environment.get("LB_INHERITED_FD", ""))
    if running is not None:  # of the process, whatever its configuration
        inherited_descriptor = running.inherited_descriptor
    limits = top.section("limits") if raw.get("limits") else SettingsSection({}, "limits")
    seed = _parse_seed(raw)
    settings, names = _parse_settings(raw["settings"], running)
    cached_list = _parse_cached_list(raw, names)
    domain = SettingsSection(settings, "settings").section("domain")
    serves_operators = bool(addresses.operator or (running and running.operator))
    return Config(
        name=addresses.name,
        listen=parse_address(addresses.listen),
        discovery=addresses.discovery,
        seed=seed,
        settings=from_wire(settings),
        names=names,
        peer_listen=parse_address(addresses.peer_listen) if addresses.peer_listen else None,
        peers=addresses.peers,
        cached_list=cached_list,
        writes=domain.flags("writes"),
        raw_settings=settings,
        limits=read_limits(limits, OPERATOR_DESCRIPTOR_COUNT if serves_operators else 0),
        operator=parse_address(addresses.operator) if addresses.operator else None,
        inherited_descriptor=inherited_descriptor,
    )


def _parse_addresses(top: SettingsSection, environment: Mapping[str, str]) -> _Addresses:
    addresses = _Addresses(
        name=environment.get("LB_NAME") or top.text("name"),
        listen=environment.get("LB_LISTEN") or top.text("listen"),
        discovery=environment.get("LB_DISCOVERY") or top.text("discovery"),
        peer_listen=top.text("peer_listen", ""),
        peers=top.texts("peers"),
        operator=environment.get("LB_OPERATOR") or top.text("operator", ""),
    )
    _check_address("listen", addresses.listen)
    _check_address("discovery", addresses.discovery)
    if addresses.peer_listen:
        _check_address("peer_listen", addresses.peer_listen)
    if addresses.operator:
        _check_address("operator", addresses.operator)
    for peer in addresses.peers:
        _check_address("peers", peer)
    return addresses


def _check_address(key: str, text: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{key}: must be host:port")


def _parse_descriptor(text: str) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ValueError("LB_INHERITED_FD: must be the number of a descriptor")
    return int(text)


def _parse_seed(raw: Mapping[str, Any]) -> int:
    digits = str(raw.get("seed") or "0")
    if not set(digits) <= set(hexdigits):
        raise ValueError("seed: must be hex digits")
    return int(digits, 16)


def _parse_settings(stated: dict[str, Any], running: Config | None) -> tuple[dict[str, Any], Names]:
    """The settings, with each class and plan in the place it has in the running broker, and their names."""
    from_wire(stated)  # they must be good by themselves, before they are put in the running broker's places
    if running is None:
        return stated, names_from_wire(stated)
    settings = keep_numbers(stated, running.raw_settings)
    return settings, names_from_wire(settings, stated)


def _parse_cached_list(raw: Mapping[str, Any], names: Names) -> EndpointPage:
    stated = raw.get("known")
    if not stated:
        return EMPTY_PAGE
    try:
        return parse_page(stated, names.zones)
    except EndpointPageError as fault:
        raise ValueError(f"known: is no list of nodes: {fault}") from None
