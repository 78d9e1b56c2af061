"""Startup code that has to run before any other import of the program."""

import ctypes.util
import importlib
import sys


def import_trio() -> None:
    """Import trio without starting another process.

    On import, trio 0.35 looks up the thread library with `ctypes.util.find_library`,
    which runs /sbin/ldconfig, or gcc and ld. That fails where a program may start no
    other process. While trio is imported, `find_library` therefore finds nothing;
    trio needs the library only to name its worker threads.
    """
    find_library = ctypes.util.find_library
    ctypes.util.find_library = _find_nothing
    try:
        importlib.import_module("trio")
    finally:
        ctypes.util.find_library = find_library


def _find_nothing(name: str) -> None:
    """Replace `find_library` with a lookup that finds no library."""


def main() -> None:
    """Run the command line without starting another process."""
    import_trio()
    from .commands.main import run

    sys.exit(run(sys.argv[1:]))
