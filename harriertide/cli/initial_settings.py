"""What a broker's process starts with: the platform's configuration, or else the operator's file."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from harriertide.decide import api
from harriertide.decide.settings import Names
from harriertide.platform.configuration import BadConfigError, Config
from harriertide.platform.endpoint_page import EMPTY_PAGE, EndpointPage

if TYPE_CHECKING:  # loaded only where there is an object front
    from harriertide.config.operator_file import OperatorFile

# Without a platform: no names to translate, and connections to nodes on loopback.
_LOCAL_NAMES = Names({}, {}, {}, connect_us=250_000, idle_us=15_000_000)


@dataclass(frozen=True, slots=True)
class InitialSettings:
    """What the core and the fronts start with, whoever states it.

    :param seed: of the core's random numbers.
    :param endpoint_list: the list to start with, in discovery's form.
    """

    settings: api.Settings
    names: Names
    seed: int
    endpoint_list: EndpointPage


def find_initial_settings(config: Config | None, operator_file: OperatorFile | None) -> InitialSettings:
    """The platform's configuration counts where there is one, else the operator's file.

    :raises BadConfigError: where there is neither.
    """
    if config is not None:
        return InitialSettings(config.settings, config.names, config.seed, config.cached_list)
    if operator_file is None:
        raise BadConfigError("nothing to serve")
    from harriertide.config.decision_settings import build_settings

    state = operator_file.state
    settings = build_settings(state, list(state["grades"]))
    return InitialSettings(settings, _LOCAL_NAMES, time.time_ns(), EMPTY_PAGE)
