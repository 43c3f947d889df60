"""Do just what PLAN says; refused with exit 1 if the daemon's state has moved since.

Usage: harriertide apply PLAN
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

from harriertide.config.client import call
from harriertide.config.model import OperatorFileError, read_state


def main(given: dict[str, str]) -> int:
    """As the page says."""
    file = given["PLAN"]
    try:
        text = json.loads(Path(file).read_text(encoding="utf-8"))
        admin, start, said = str(text["admin"]), str(text["from"]), list(text["lines"])
        state = read_state(text["state"])
    except OSError as fault:
        raise OperatorFileError(f"{file}: {fault.strerror}") from None
    except (ValueError, KeyError, TypeError):
        raise OperatorFileError(f"{file}: not a plan") from None
    status, answer = call("POST", admin, "/apply", {"from": start, "state": state})
    if status == 200:
        print("\n".join([*said, f"applied {len(said)} changes"]))
        return 0
    print(f"harriertide: {answer.get('reason', status)}", file=sys.stderr)
    return 1 if status == 409 else 2
