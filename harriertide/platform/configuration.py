"""The configuration of a broker on the platform: the LB_CONFIG file, which other LB_ variables override.

The keys of the file and the environment variables are interpreted in this module and in `decide.settings`
only.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
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
MAX_DESCRIPTOR_DIGITS = 7  # the largest descriptor number of the system has as many

Address = tuple[str, int]


class BadConfigError(SettingsError):
    """The configuration is invalid. The message is one line for the operator, who has to correct it."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration that a broker is started with.

    :param name: the name of the broker
    :param listen: the address that clients of the platform connect to
    :param discovery: host:port of discovery, or of the agent that pushes its list
    :param seed: the seed of the decision module's random number generator
    :param settings: the settings of the decision module
    :param names: names of classes, plans and zones, and the settings that only the network code uses
    :param peer_listen: the address for datagrams from other brokers; None: datagrams are not received
    :param peers: host:port of each broker, in the order of the broker indexes
    :param cached_list: the endpoint list that the platform last knew
    :param writes: for each class, whether its requests change data
    :param raw_settings: the settings as written in the file
    :param operator: the address of the operators' interface; None: the interface is disabled
    :param inherited_descriptor: descriptor of the client listening socket, if the platform holds that socket
    :param limits: limits on connections and memory
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
    """The name of the broker and its addresses, as unparsed text."""

    name: str
    listen: str
    discovery: str
    peer_listen: str
    operator: str
    peers: list[str]


def read_config(environment: Mapping[str, str], running: Config | None = None) -> Config:
    """Read the file that LB_CONFIG names; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_OPERATOR override its keys.

    :param running: the current configuration of a running broker. Only the file is read then, because the
        environment of a running process cannot change, and classes and plans keep their numbers.
    :raises BadConfigError: the configuration is invalid
    """
    raw = _load_file(environment.get("LB_CONFIG", ""))
    try:
        return _parse_config(raw, {} if running is not None else environment, running)
    except KeyError as error:
        raise BadConfigError(f"LB_CONFIG: {error.args[0]} is missing or unknown") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise BadConfigError(f"LB_CONFIG: {error}") from None


def _load_file(path: str) -> Any:
    if not path:
        raise BadConfigError("LB_CONFIG is not set; it must hold the path of the configuration file")
    try:
        return orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise BadConfigError(f"LB_CONFIG names a file that cannot be read: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise BadConfigError(f"LB_CONFIG names a file that is not JSON: {error}") from None


def _parse_config(raw: Any, environment: Mapping[str, str], running: Config | None) -> Config:
    root = SettingsSection(raw, "")
    addresses = _parse_addresses(root, environment)
    inherited_descriptor = _parse_descriptor(environment.get("LB_INHERITED_FD", ""))
    if running is not None:  # belongs to the process, whatever the file says
        inherited_descriptor = running.inherited_descriptor
    limits = root.section("limits") if raw.get("limits") else SettingsSection({}, "limits")
    seed = _parse_seed(raw)
    settings, names = _parse_settings(raw["settings"], running)
    cached_list = _parse_cached_list(raw, names)
    domain = SettingsSection(settings, "settings").section("domain")
    serves_operators = bool(addresses.operator or (running and running.operator))
    resource_limits = read_limits(limits, OPERATOR_DESCRIPTOR_COUNT if serves_operators else 0)
    return Config(
        name=addresses.name,
        listen=parse_address(addresses.listen),
        discovery=addresses.discovery,
        seed=seed,
        settings=replace(from_wire(settings), max_retained_volumes=resource_limits.max_volumes),
        names=names,
        peer_listen=parse_address(addresses.peer_listen) if addresses.peer_listen else None,
        peers=addresses.peers,
        cached_list=cached_list,
        writes=domain.flags("writes"),
        raw_settings=settings,
        limits=resource_limits,
        operator=parse_address(addresses.operator) if addresses.operator else None,
        inherited_descriptor=inherited_descriptor,
    )


def _parse_addresses(root: SettingsSection, environment: Mapping[str, str]) -> _Addresses:
    addresses = _Addresses(
        name=environment.get("LB_NAME") or root.text("name"),
        listen=environment.get("LB_LISTEN") or root.text("listen"),
        discovery=environment.get("LB_DISCOVERY") or root.text("discovery"),
        peer_listen=root.text("peer_listen", ""),
        peers=root.texts("peers"),
        operator=environment.get("LB_OPERATOR") or root.text("operator", ""),
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
        raise ValueError(f"{key}: must be host:port with a port of at most 65535")


def _parse_descriptor(text: str) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ValueError("LB_INHERITED_FD: must be a descriptor number of at most 7 digits")
    return int(text)


def _parse_seed(raw: Mapping[str, Any]) -> int:
    digits = str(raw.get("seed") or "0")
    if not set(digits) <= set(hexdigits):
        raise ValueError("seed: must consist of hex digits")
    return int(digits, 16)


def _parse_settings(file_settings: dict[str, Any], running: Config | None) -> tuple[dict[str, Any], Names]:
    """Return the settings and names, with classes and plans in the order that the running broker uses."""
    from_wire(file_settings)  # validates the settings before they are reordered
    if running is None:
        return file_settings, names_from_wire(file_settings)
    settings = keep_numbers(file_settings, running.raw_settings)
    return settings, names_from_wire(settings, file_settings)


def _parse_cached_list(raw: Mapping[str, Any], names: Names) -> EndpointPage:
    raw_page = raw.get("known")
    if not raw_page:
        return EMPTY_PAGE
    try:
        return parse_page(raw_page, names.zones)
    except EndpointPageError as error:
        raise ValueError(f"known: must be an endpoint list: {error}") from None
