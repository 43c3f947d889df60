"""Each outward name of docs/design/interface-names.txt still stands in the program, letter for letter.

Guards against a rename of an identifier that also renames a field of a message, a key of a file, a counter or
a command: peers, files and dashboards of earlier releases would not understand it.
"""

from __future__ import annotations

import ast
import functools
import importlib
import inspect
import pkgutil
import re
from pathlib import Path

import msgspec
import pytest

import harriertide
import harriertide.library

ROOT = Path(__file__).parent.parent
LIST = ROOT / "docs" / "design" / "interface-names.txt"
STRUCT_KIND = "stored or message field"
LIBRARY_KIND = "library name"
WRITTEN_OUTSIDE_THE_PROGRAM = {
    "make target": ROOT / "Makefile",
    "deploy file key": ROOT / "deploy" / "balancer.toml",
    "test in KNOWN-RED.txt": ROOT / "KNOWN-RED.txt",
}


def listed_names() -> dict[str, list[str]]:
    """The names of the list, by kind."""
    names: dict[str, list[str]] = {}
    for line in LIST.read_text(encoding="utf-8").splitlines():
        kind, _, name = line.partition(": ")
        names.setdefault(kind, []).append(name)
    return names


@functools.cache
def string_constants() -> set[str]:
    """Every string and byte string of the program, docstrings with the command line's usage among them."""
    found: set[str] = set()
    for path in (ROOT / "harriertide").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
            elif isinstance(node, ast.Constant) and isinstance(node.value, bytes):
                found.add(node.value.decode("latin-1"))
    return found


def encoded_struct_fields() -> set[str]:
    """The fields that structs write out under a name."""
    fields: set[str] = set()
    for module in pkgutil.walk_packages(harriertide.__path__, "harriertide."):
        if module.name.endswith("__main__"):
            continue
        for value in vars(importlib.import_module(module.name)).values():
            if inspect.isclass(value) and issubclass(value, msgspec.Struct):
                fields.update(value.__struct_encode_fields__)
    return fields


def is_library_name(name: str) -> bool:
    """Whether the library has a public name: `Name`, `Class.member` or `Class(parameter=)`."""
    match = re.fullmatch(r"(\w+)(?:\.(\w+)|\((\w+)=\))?", name)
    assert match is not None, name
    public, member, parameter = match.groups()
    if public not in harriertide.library.__all__:
        return False
    value = getattr(harriertide.library, public)
    if parameter is not None:
        return parameter in inspect.signature(value).parameters
    return member is None or hasattr(value, member)


def has_word(text: str, name: str) -> bool:
    return re.search(rf"(?<![\w]){re.escape(name)}(?![\w])", text) is not None


@pytest.mark.parametrize("kind", sorted(listed_names()))
def test_each_listed_name_still_stands_in_the_program(kind: str) -> None:
    names = listed_names()[kind]
    if kind == STRUCT_KIND:
        missing = set(names) - encoded_struct_fields()
    elif kind == LIBRARY_KIND:
        missing = {name for name in names if not is_library_name(name)}
    elif kind == "deploy file":
        missing = {name for name in names if not (ROOT / name).is_file()}
    elif kind in WRITTEN_OUTSIDE_THE_PROGRAM:
        text = WRITTEN_OUTSIDE_THE_PROGRAM[kind].read_text(encoding="utf-8")
        missing = {name for name in names if not has_word(text, name)}
    else:
        constants = string_constants()
        texts = "\n".join(constants)  # usage texts hold flags, log lines the phrases of the on-call page
        missing = {name for name in names if name not in constants and not has_word(texts, name)}
    assert not missing
