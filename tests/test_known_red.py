"""Tests that CI ignores exactly the failures listed in KNOWN-RED.txt."""

import importlib.util
import os
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"


@pytest.fixture
def known_red(monkeypatch, tmp_path):
    """Import the CI script by path and change to an empty directory."""
    spec = importlib.util.spec_from_file_location("known_red", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    monkeypatch.setitem(sys.modules, "known_red", module)
    monkeypatch.chdir(tmp_path)
    spec.loader.exec_module(module)
    return module


def write(text):
    Path("KNOWN-RED.txt").write_text(text)


class TestOptions:
    def test_without_a_list_nothing_is_deselected(self, known_red, capsys):
        assert known_red.main(["options"]) == 0
        assert capsys.readouterr().out.strip() == ""

    def test_only_the_listed_test_is_deselected_with_its_parameters(
        self, known_red, capsys
    ):
        # pytest's --deselect=test_b also matches test_b_more: CI would ignore a failure
        # that is not listed.
        Path("test_a.py").write_text(
            "import pytest\n"
            "@pytest.mark.parametrize('n', [1, 2])\n"
            "def test_b(n):\n    assert False\n"
            "def test_b_more():\n    assert False\n"
        )
        write("# one\ntest_a.py::test_b, it fails, under load, issue 4\n")
        assert known_red.main(["options"]) == 0
        options = capsys.readouterr().out.split()
        command = [sys.executable, "-m", "pytest", *options]
        environment = {**os.environ, "PYTHONPATH": str(SCRIPT.parent)}
        run = subprocess.run(
            command, env=environment, capture_output=True, text=True, check=False
        )
        assert "1 failed, 2 deselected" in run.stdout

    @pytest.mark.parametrize(
        "text",
        [
            "tests/test_a.py::A::b, no issue",
            "tests/test_a.py, a whole file, issue 4",
            "tests, everything, issue 4",
            "".join(f"tests/a.py::A::t{n}, cause, issue 4\n" for n in range(4)),
        ],
    )
    def test_incomplete_or_too_long_list_is_refused(self, known_red, text):
        write(text)
        assert known_red.main(["options"]) != 0


class TestReport:
    def test_listed_tests_that_fail_are_printed(self, known_red, capsys):
        Path("test_a.py").write_text("def test_b():\n    assert False\n")
        write("test_a.py::test_b, a known fault, issue 4\n")
        assert known_red.main(["report"]) == 0
        assert "KNOWN RED: test_a.py::test_b: a known fault" in capsys.readouterr().out

    @pytest.mark.parametrize("body", ["pass", None])
    def test_entry_that_passes_or_does_not_exist_fails_the_report(
        self, known_red, body
    ):
        if body:
            Path("test_a.py").write_text(f"def test_b():\n    {body}\n")
        write("test_a.py::test_b, a known fault, issue 4\n")
        assert known_red.main(["report"]) == 1
