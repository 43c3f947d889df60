"""The configuration of a broker process: rejected values, their messages, and a minimal configuration."""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest

from harriertide.decide.settings import from_wire
from harriertide.platform.configuration import BadConfigError, read_config
from tests.platform_scripts import WATCH_OPENED
from tests.test_net import WIRE, play

MISSING = object()


INVALID_SETTINGS: list[tuple[str, Any]] = [
    ("membershipMode", "pull"), ("membershipMode", MISSING), ("limits", MISSING), ("limits", 7),
    ("limits.tryLimit", MISSING), ("limits.tryLimit", 0), ("limits.peers", 1), ("limits.probes", "yes"),
    ("limits.maxRetryAfterUs", "soon"), ("safety", []), ("safety.fallUs", 1.5), ("safety.coldUs", -1),
    ("safety.fallMultiple", 0.5), ("domain.youngLimit", True), ("domain.nShards", 0), ("classes", {}),
    ("classes.0", "x"), ("classes.0.effect", "odd"), ("classes.0.dedupScope", "row"), ("plans", MISSING),
    ("plans.0.ceilingRate", None), ("plans.0.weight", "1"), ("roundUs", 0), ("groupSize", MISSING),
    ("classes", []), ("plans", []), ("classes.0.name", MISSING), ("classes.0.name", 7), ("plans.0.name", ""),
    ("index", 9), ("domain.meanUnits", 0), ("safety.coldFrom", 0), ("safety.coldFrom", 2), ("zones", [1]),
    ("limits.connectTimeoutUs", "soon"), ("limits.connIdleUs", -1), ("domain.writes", "yes"),
]  # fmt: skip


# Invalid values of keys outside the settings
INVALID_CONFIGURATION: list[tuple[str, Any]] = [
    ("name", 7), ("listen", "here"), ("listen", "127.0.0.1:port"), ("discovery", MISSING),
    ("discovery", ":1"), ("peer_listen", "127.0.0.1"), ("peers", ["127.0.0.1:1", "x"]),
    ("peers", "127.0.0.1:1"), ("seed", "xyz"), ("limits", {"sockets": "many"}),
    ("limits", {"memory_mb": -1}), ("limits", {"sockets": 10}), ("limits", 7), ("known", {"seq": 1}),
    ("known", {"seq": 1, "hosts": [{"host": "a"}]}), ("known", "none"), ("settings", []),
]  # fmt: skip


MINIMAL_CONFIGURATION = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}


@pytest.mark.parametrize(("key", "value"), INVALID_CONFIGURATION)
def test_an_invalid_configuration_is_reported_in_one_line_that_names_the_key(
    key: str, value: Any, tmp_path: Path
) -> None:
    """A broker is started with an invalid value, or without a required key."""
    raw = {**MINIMAL_CONFIGURATION, "settings": WIRE, key: value}
    if value is MISSING:
        del raw[key]
    (tmp_path / "config").write_text(json.dumps(raw))
    with pytest.raises(BadConfigError) as error:
        read_config({"LB_CONFIG": str(tmp_path / "config")})
    assert f"LB_CONFIG: {key}" in str(error.value) and "\n" not in str(error.value)


def test_a_configuration_that_is_not_an_object_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "config").write_text("[]")
    with pytest.raises(BadConfigError, match="must be an object"):
        read_config({"LB_CONFIG": str(tmp_path / "config")})


def test_two_classes_of_one_name_are_rejected(tmp_path: Path) -> None:
    settings = {**WIRE, "classes": [WIRE["classes"][0]] * 2}
    (tmp_path / "config").write_text(json.dumps({**MINIMAL_CONFIGURATION, "settings": settings}))
    with pytest.raises(BadConfigError, match=r"settings\.classes\[1\]\.name: is there twice"):
        read_config({"LB_CONFIG": str(tmp_path / "config")})


def test_a_broker_serves_with_minimal_settings(tmp_path: Path) -> None:
    """The settings have no zones, no plan limits, no retries, a deadline of 80 ms and a single attempt."""
    request_class = {"name": "x", "deadlineUs": 80_000, "sloUs": 40_000, "worth": 1, "effect": "at_most_once"}
    settings = copy.deepcopy(WIRE)
    for part, keys in {"limits": ("maxRetryAfterUs", "cancel"), "domain": ("writes",)}.items():
        for key in keys:
            settings[part].pop(key, None)
    settings |= {"classes": [request_class], "zones": None, "limits": {**settings["limits"], "tryLimit": 1}}
    settings["limits"]["retryAfter"] = False
    script = f"""{WATCH_OPENED}
        c send GET /api @0 X-Call-Class=x X-Budget-Ms=80
        b1 expect GET /api
        b1 send 200 body=data
        c expect 200 body=data
        c send GET /api @0 X-Call-Class=x X-Budget-Ms=80
        b1 expect GET /api
        b1 send 500
        c expect 502 Retry-After=-
        b1 expect nothing"""
    asyncio.run(play(script, objects=False, folder=tmp_path, wire=settings))


@pytest.mark.parametrize(("path", "value"), INVALID_SETTINGS)
def test_invalid_settings_are_reported_in_one_line_that_names_the_key(
    path: str, value: Any, tmp_path: Path
) -> None:
    """The settings of a configuration have an invalid value, or lack a required key."""
    settings = copy.deepcopy(WIRE)
    *keys, last = [int(step) if step.isdigit() else step for step in path.split(".")]
    container: Any = settings
    for step in keys:
        container = container[step]
    if value is MISSING:
        del container[last]
    else:
        container[last] = value
    (tmp_path / "config").write_text(json.dumps({**MINIMAL_CONFIGURATION, "settings": settings}))
    with pytest.raises(BadConfigError) as error:
        read_config({"LB_CONFIG": str(tmp_path / "config")})
    key = path.replace(".0", "[0]")
    assert f"settings.{key}" in str(error.value) and "\n" not in str(error.value)


def test_unknown_keys_and_optional_nulls_change_nothing() -> None:
    extended = copy.deepcopy(WIRE)
    extended["classes"][0]["novel"] = extended["safety"]["novel"] = {"x": 1}
    extended["limits"]["probes"] = extended["safety"]["keyQuietUs"] = None
    assert from_wire(extended) == from_wire(WIRE)


def test_a_reload_keeps_the_socket_that_the_platform_holds(tmp_path: Path) -> None:
    """Guards against a reload after which the process opens its own socket, whose address is in use."""
    (tmp_path / "config").write_text(json.dumps({**MINIMAL_CONFIGURATION, "settings": WIRE}))
    environment = {"LB_CONFIG": str(tmp_path / "config"), "LB_INHERITED_FD": "5"}
    running = read_config(environment)
    assert running.inherited_descriptor == read_config(environment, running).inherited_descriptor == 5
