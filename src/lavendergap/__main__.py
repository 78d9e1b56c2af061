"""Runs the command line: `python -m lavendergap`, like `lavendergap`."""

from .startup import main

if __name__ == "__main__":
    main()
