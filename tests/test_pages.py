"""What the pages for engineers name exists in the code: modules, functions and log lines."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "harriertide"
CODE = "\n".join(path.read_text(encoding="utf-8") for path in PACKAGE.rglob("*.py"))
PAGES = ("docs/GLOSSARY.md", "docs/ARCHITECTURE.md", "docs/operators/on-call.md")


def page(name: str) -> str:
    return (ROOT / name).read_text(encoding="utf-8")


def table_rows(text: str) -> list[list[str]]:
    rows = [line.strip("| ").split(" | ") for line in text.splitlines() if line.startswith("| ")]
    return [row for row in rows if set(row[0]) != {"-"}]


@pytest.mark.parametrize("name", PAGES)
def test_modules_and_folders_that_a_page_names_exist(name: str) -> None:
    packages = {path.name for path in PACKAGE.iterdir() if path.is_dir()}
    named = re.findall(r"`([a-z]+)/([a-z_]*)(\.py)?`", page(name))
    assert len(named) > 10
    for package, module, _ in named:
        if package not in packages:
            continue  # a folder of tests or of pages
        path = PACKAGE / package / module
        assert path.is_dir() or path.with_suffix(".py").is_file(), f"{name}: {package}/{module}"


def test_each_function_of_the_on_call_page_stands_in_the_module_that_it_names() -> None:
    """An engineer goes from a symptom to a function: the page must not point to what has moved."""
    checked = 0
    for row in table_rows(page("docs/operators/on-call.md")):
        for part in row[-1].split("; "):
            match = re.search(r"`([a-z_]+/[a-z_]+\.py)`(.*)", part)
            if match is None:
                continue
            text = (PACKAGE / match[1]).read_text(encoding="utf-8")
            for function in re.findall(r"`([a-z_]+)`", match[2]):
                checked += 1
                assert f"def {function}(" in text, f"{match[1]}: {function}"
    assert checked > 50


READERS_PAGES = sorted(
    str(path.relative_to(ROOT))
    for folder in ("design", "operators")
    for path in (ROOT / "docs" / folder).glob("*.md")
)


@pytest.mark.parametrize("name", READERS_PAGES)
def test_code_that_a_page_names_exists(name: str) -> None:
    """A page that names a module, and a function, class or constant beside it, is right about both."""
    for module, _, item in re.findall(r"`((?:[a-z_]+/)+[a-z_]+\.py)`(,? `([A-Za-z_]+)`)?", page(name)):
        path = ROOT / module
        path = path if path.is_file() else PACKAGE / module
        assert path.is_file(), f"{name}: {module}"
        text = path.read_text(encoding="utf-8")
        assert not item or re.search(rf"\b{item}\b", text), f"{name}: {module} has no {item}"


@pytest.mark.parametrize("name", READERS_PAGES)
def test_constants_that_a_page_names_exist(name: str) -> None:
    for constant in re.findall(r"`([A-Z]{2,}(?:_[A-Z0-9]+)+)`", page(name)):
        assert re.search(rf"\b{constant}\b", CODE), f"{name}: {constant}"


# Parts of counters whose names are put together of a fixed beginning and what happened.
BEGINNINGS = ("given_up_", "outcome_", "list_", "answers_", "probe_", "shed_", "failed_", "refused_")


def test_each_counter_of_the_on_call_page_is_counted_somewhere() -> None:
    names = re.findall(r"`([a-z]+)\.([a-z_0-9]+)`", page("docs/operators/on-call.md"))
    assert len(names) > 30
    for part, name in names:
        beginning = next((each for each in BEGINNINGS if name.startswith(each)), None)
        text = f'counts[f"{beginning}' if beginning else name.replace("_", " ")
        known = text in CODE or f'"{name}"' in CODE or f"/{name}" in CODE
        assert known, f"{part}.{name}"


def test_each_log_line_of_the_on_call_page_is_written_somewhere() -> None:
    for row in table_rows(page("docs/operators/on-call.md"))[1:]:
        for line in re.findall(r"`([^`]+)`", row[1]):
            words = re.sub(r"NAME|\.\.\.", "\0", line).split("\0")
            if "=" in line or len(line) < 6 or line.startswith("harriertide "):
                continue
            for words_of_line in (part.strip() for part in words):
                assert words_of_line in CODE, f"{row[0]}: {line}"
