"""What the tables of an operator's file mean to a broker inside an application."""

from __future__ import annotations

from harriertide.config import operator_file
from harriertide.library.node_sources import Node
from harriertide.library.request_spec import NameTable

_CLASS_INDEXES = {"read": 0, "write": 1, "bulk": 2}  # in the order of config's settings


def nodes_of(state: operator_file.State) -> list[Node]:
    """The nodes of the table "boxes"."""
    return [
        Node(name, row["shard"], row["address"], state="live" if row["state"] == "up" else "draining")
        for name, row in state["boxes"].items()
    ]


def names_of(state: operator_file.State, plan_names: list[str]) -> NameTable:
    """The names that a request may give for its class and plan.

    :param plan_names: the grades that were ever in the tables, in the order of their plans' indexes
    """
    plans = {name: index for index, name in enumerate(plan_names)}
    volume_plans = {name: plans[row["grade"]] for name, row in state["volumes"].items()}
    return NameTable(_CLASS_INDEXES, plans, volume_plans)
