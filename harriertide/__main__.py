"""python -m harriertide: the command line."""

import sys

from harriertide.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
