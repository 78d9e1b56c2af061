"""Tests that docs/PROOFS.md refers only to existing tests."""

import ast
import re
from pathlib import Path

import pytest

TESTS = Path(__file__).parent
PAGE = TESTS.parent / "docs" / "PROOFS.md"
TEST_REFERENCE = re.compile(r"\b(test_\w+\.py)::(\w+)::(test_\w+)")


def list_tests(file):
    """Return the (class, test) pairs that a test file defines."""
    return {
        (outer.name, inner.name)
        for outer in ast.parse((TESTS / file).read_text()).body
        if isinstance(outer, ast.ClassDef)
        for inner in outer.body
        if isinstance(inner, ast.FunctionDef | ast.AsyncFunctionDef)
    }


class TestPage:
    """References to tests in docs/PROOFS.md."""

    @pytest.mark.parametrize(
        "file",
        sorted({file for file, _, _ in TEST_REFERENCE.findall(PAGE.read_text())}),
    )
    def test_every_named_test_exists(self, file):
        named = {
            (c, t) for f, c, t in TEST_REFERENCE.findall(PAGE.read_text()) if f == file
        }
        assert named - list_tests(file) == set()

    def test_every_promise_has_proofs(self):
        parts = PAGE.read_text().split("\n## ")[1:]
        counts = {
            part.splitlines()[0]: len(TEST_REFERENCE.findall(part)) for part in parts
        }
        assert {title for title, n in counts.items() if n == 0} == {"Not proved"}
