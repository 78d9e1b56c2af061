"""Tests of the list of known red tests, which CI passes over."""

import importlib.util
import os
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"


@pytest.fixture
def known_red(monkeypatch, tmp_path):
    """Load the script of CI, which belongs to no package, in an empty directory."""
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
    def test_without_a_list_nothing_is_passed_over(self, known_red, capsys):
        assert known_red.main(["options"]) == 0
        assert capsys.readouterr().out.strip() == ""

    def test_just_the_listed_test_with_its_parameters(self, known_red, capsys):
        # pytest's --deselect=test_b would hide test_b_more, too, and CI would pass
        # over a failure that nobody has listed.
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
    def test_a_list_that_hides_more_is_refused(self, known_red, text):
        write(text)
        assert known_red.main(["options"]) != 0


class TestReport:
    def test_red_ones_are_printed_and_pass(self, known_red, capsys):
        Path("test_a.py").write_text("def test_b():\n    assert False\n")
        write("test_a.py::test_b, a known fault, issue 4\n")
        assert known_red.main(["report"]) == 0
        assert "KNOWN RED: test_a.py::test_b: a known fault" in capsys.readouterr().out

    @pytest.mark.parametrize("body", ["pass", None])
    def test_one_that_passes_or_is_gone_must_leave_the_list(self, known_red, body):
        if body:
            Path("test_a.py").write_text(f"def test_b():\n    {body}\n")
        write("test_a.py::test_b, a known fault, issue 4\n")
        assert known_red.main(["report"]) == 1
