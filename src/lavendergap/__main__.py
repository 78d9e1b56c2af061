"""Runs the command line as `python -m lavendergap`."""

from .startup import main

if __name__ == "__main__":
    main()
