"""Range checks of settings at construction, and the example of the README."""

import re
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from harriertide.decide import api
from tests.helpers import READ, SETTINGS

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("broker_index", 2),
        ("broker_index", -1),
        ("broker_count", 0),
        ("classes", ()),
        ("plans", ()),
        ("mean_request_units", 0),
        ("mean_request_units", float("nan")),
        ("slow_start_initial_ratio", 0),
        ("slow_start_initial_ratio", 1.5),
        ("max_attempts", 0),
        ("shard_count", 0),
        ("retry_budget_floor", -1),
        ("key_quiet_us", -1),
        ("tick_us", 0),
        ("beyond_quota_weight", -0.1),
        ("broker_count", "3"),
    ],
)
def test_settings_out_of_range_name_the_field(field: str, value: Any) -> None:
    with pytest.raises(ValueError, match=field):
        replace(SETTINGS, **{field: value})


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("latency_objective_us", 0),
        ("priority_weight", -1),
        ("idempotency", "odd"),
        ("deduplication_scope", "odd"),
    ],
)
def test_classes_out_of_range_name_the_field(field: str, value: Any) -> None:
    with pytest.raises(ValueError, match=field):
        replace(READ, **{field: value})


@pytest.mark.parametrize(
    "field", ["reserved_rate", "weight", "priority_factor", "rate_limit", "burst_limit_units"]
)
def test_plans_out_of_range_name_the_field(field: str) -> None:
    with pytest.raises(ValueError, match=field):
        api.Plan(**{field: -1.0})


def test_the_readme_example_prints_what_it_says() -> None:
    text = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code
    result = subprocess.run(
        [sys.executable, "-c", code[1]], cwd=ROOT, capture_output=True, text=True, check=True
    )
    expected_output = re.search(r"It prints\n\n((?:    .*\n)+)", text)
    assert expected_output and result.stdout.strip() == expected_output[1].strip()
