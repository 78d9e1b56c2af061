"""The stand-ins' README.md: each fault has an example, and each example is valid."""

import re
from dataclasses import fields
from pathlib import Path
from typing import Any

import msgspec
import pytest

from standins.backend import main as backend
from standins.faults import BackendFaults, PlatformFaults, change_faults
from standins.load import main as load
from standins.platform import main as platform

PAGE = (Path(__file__).parents[1] / "standins" / "README.md").read_text()


def list_examples(port: int) -> list[dict[str, Any]]:
    """Return the request bodies of the page's examples for a control port."""
    bodies = re.findall(rf"curl 127\.0\.0\.1:{port}/faults -d '(.*?)'", PAGE, re.S)
    return [msgspec.json.decode(body) for body in bodies]


class TestExamples:
    def test_each_platform_fault_has_an_example(self):
        shown: set[str] = set()
        for change in list_examples(7001):
            change_faults(PlatformFaults(), change)
            shown |= change.keys()
        assert shown == {field.name for field in fields(PlatformFaults)}

    def test_each_backend_fault_has_an_example(self):
        shown: set[str] = set()
        for by_pattern in list_examples(7101):
            for change in by_pattern.values():
                change_faults(BackendFaults(), change)
                shown |= change.keys()
        assert shown == {field.name for field in fields(BackendFaults)}

    @pytest.mark.parametrize("command", [platform, backend, load])
    def test_each_flag_is_explained(self, command):
        flags = [name for option in command.params for name in option.opts]
        assert [flag for flag in flags if f"`{flag}" not in PAGE] == []
