"""python -m harriertide: the command line."""

import sys

from harriertide.cli.early_reload import early_reloads


def run() -> int:
    """Run the command that was typed; a SIGHUP that comes while its modules load is held."""
    early_reloads.hold()
    from harriertide.cli.main import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
