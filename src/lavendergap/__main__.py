"""Runs the command line: `lavendergap` or `python -m lavendergap`."""

import sys

from .commands.main import run


def main() -> None:
    """Run with the process's arguments and exit with the command's code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
