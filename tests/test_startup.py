"""Tests of the startup code."""

import subprocess
import sys

# Prints each audit event of Python that starts a process.
WATCH = """
import sys
starts = ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.system")
sys.addaudithook(lambda event, _: event in starts and print(event))
"""


def run(program):
    command = [sys.executable, "-c", WATCH + program]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


class TestImportTrio:
    # A plain `import trio` runs /sbin/ldconfig through ctypes, which fails on hosts
    # that forbid a second process.
    def test_the_daemon_starts_no_other_process(self):
        program = (
            "from lavendergap.startup import import_trio\n"
            "import_trio()\n"
            "import lavendergap.entry.daemon\n"
        )
        assert run(program) == ""

    def test_finding_libraries_works_again_afterwards(self):
        program = (
            "import ctypes.util\n"
            "before = ctypes.util.find_library\n"
            "from lavendergap.startup import import_trio\n"
            "import_trio()\n"
            "print(ctypes.util.find_library is before)\n"
        )
        assert run(program) == "True\n"
