"""The section `maintenance` of the operator's file: the brokers that agree, and labels of the machines."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from harriertide.config.errors import OperatorFileError
from harriertide.config.key_checks import (
    LOOPBACK_ADDRESS,
    NAME,
    Key,
    NumberKey,
    Row,
    TextKey,
    read_named_rows,
    read_row,
)

MAX_BROKER_COUNT = 200
VOTER_COUNTS = (1, 3, 5, 7)  # odd: an even count bears no more losses than one voter fewer
# Over so many brokers the reports of the farthest pass through three others, and a lease has to outlast that.
MAX_DIRECT_BROKER_COUNT = 25
MIN_RELAYED_LEASE_MS = 2_000

_LABEL = TextKey(r"[A-Za-z0-9._-]{0,62}", "a label of letters, digits, dots and dashes", "")
SECTION_KEYS: dict[str, Key] = {
    "name": NAME,
    "folder": TextKey(r".+", "the path of this broker's folder"),
    "events": TextKey(r".*", "the path of a log for the lab's checkers", ""),
    "lease_ms": NumberKey(500, 60_000, 3_000),
    "blind_s": NumberKey(0, 1_000_000, 0),
    "cold_s": NumberKey(0, 100_000, 10),
}
BROKER_KEYS: dict[str, Key] = {
    "address": LOOPBACK_ADDRESS,
    "voter": TextKey("yes|no", "yes or no", "no"),
    "zone": _LABEL,
    "rack": _LABEL,
    "release": _LABEL,
    "group": _LABEL,
}
LABEL_KEYS: dict[str, Key] = {
    "zone": _LABEL,
    "rack": _LABEL,
    "release": _LABEL,
    "group": _LABEL,
    "units": NumberKey(0, 1e9, 0, whole=False),
}


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """The section, checked. The fields are named as its keys are.

    :param folder: where this broker keeps its part of the agreed log.
    :param events: path of a log that the checkers of experiments read; "": there is none.
    :param lease_ms: how long a broker acts on what was agreed without a word from the majority.
    :param blind_s: cut off for longer, a broker sends nothing at all; 0: it serves on, and orders wait.
    :param cold_s: how long a node that came back counts as warming up.
    :param brokers: rows by the name of a broker.
    :param labels: rows by the name of a node.
    """

    name: str
    folder: str
    events: str
    lease_ms: int
    blind_s: int
    cold_s: int
    brokers: dict[str, Row]
    labels: dict[str, Row]


def read_maintenance_section(raw: Any, nodes: Mapping[str, Row]) -> MaintenanceSettings:
    """Check the section against itself and against the nodes of the same file.

    :raises OperatorFileError: naming the key that is wrong.
    """
    if not isinstance(raw, dict):
        raise OperatorFileError("maintenance: must be a table")
    brokers = read_named_rows(raw.get("brokers", {}), BROKER_KEYS, "maintenance.brokers")
    labels = read_named_rows(raw.get("labels", {}), LABEL_KEYS, "maintenance.labels")
    own_keys = {key: value for key, value in raw.items() if key not in ("brokers", "labels")}
    section = read_row(own_keys, SECTION_KEYS, "maintenance")
    _check_broker_counts(section, brokers)
    _check_broker_names(brokers, nodes)
    for name in labels:
        if name not in nodes:
            raise OperatorFileError(f"maintenance.labels.{name}: there is no box {name}")
    return MaintenanceSettings(**section, brokers=brokers, labels=labels)


def _check_broker_counts(section: Row, brokers: Mapping[str, Row]) -> None:
    if section["name"] not in brokers:
        raise OperatorFileError(f"maintenance.name: maintenance.brokers has no {section['name']}")
    if len(brokers) > MAX_BROKER_COUNT:
        raise OperatorFileError(f"maintenance.brokers: {MAX_BROKER_COUNT} at most")
    voter_count = sum(row["voter"] == "yes" for row in brokers.values())
    if voter_count not in VOTER_COUNTS:
        raise OperatorFileError(f"maintenance.brokers: 1, 3, 5 or 7 must be voters, not {voter_count}")
    if len(brokers) > MAX_DIRECT_BROKER_COUNT and section["lease_ms"] < MIN_RELAYED_LEASE_MS:
        raise OperatorFileError(
            f"maintenance.lease_ms: must be at least {MIN_RELAYED_LEASE_MS} "
            f"for more than {MAX_DIRECT_BROKER_COUNT} brokers"
        )


def _check_broker_names(brokers: Mapping[str, Row], nodes: Mapping[str, Row]) -> None:
    owner_of_address: dict[str, str] = {}
    for name, row in brokers.items():
        if name in nodes:
            raise OperatorFileError(f"maintenance.brokers.{name}: is the name of a box")
        owner = owner_of_address.setdefault(row["address"], name)
        if owner != name:
            raise OperatorFileError(f"maintenance.brokers.{name}.address: is that of {owner}")
