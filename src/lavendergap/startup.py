"""What has to happen before the program imports anything else."""

import ctypes.util
import importlib
import sys


def import_trio() -> None:
    """Import trio without starting another process.

    Failure: trio 0.35 looks up the thread library as it is imported, and Python's
    `ctypes.util.find_library` runs /sbin/ldconfig for that (gcc and ld where that
    finds nothing). Symptom: each start of a program that may start no other process
    starts one, and fails where that is forbidden. Told that there is no such
    library, trio goes without names for its worker threads, which is all that it
    wants the library for. The function is put back afterwards.
    """
    find_library = ctypes.util.find_library
    ctypes.util.find_library = _find_nothing
    try:
        importlib.import_module("trio")
    finally:
        ctypes.util.find_library = find_library


def _find_nothing(name: str) -> None:
    """Stand for a system without libraries to be found."""


def main() -> None:
    """Run the command line as a program that starts no other process."""
    import_trio()
    from .commands.main import run

    sys.exit(run(sys.argv[1:]))
