"""Computes the differences between two settings trees."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from .syntax import join_path

_MAX_SHOWN_CHARS = 60


@dataclass(frozen=True, kw_only=True, slots=True)
class Absent:
    """Stands for a value that is not set."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A path at which two trees differ, with the values before and after."""

    path: str
    before: object
    after: object

    def __str__(self) -> str:
        return f"{self.path}: {show_value(self.before)} -> {show_value(self.after)}"


def list_changes(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> tuple[Change, ...]:
    """Return the differences between two raw trees, ignoring defaults.

    An added or removed branch is a single change.

    >>> list_changes({"slots": 2}, {"slots": 3})[0].path
    'slots'
    """
    return tuple(_walk_changes(before, after, path=""))


def find_value(tree: Mapping[str, Any], path: str) -> object:
    """Return the value at a path from `list_changes`, or Absent."""
    places = _walk_values(tree, path="")
    return next((value for place, value in places if place == path), Absent())


def show_value(value: object) -> str:
    """Return a value for display: one line, truncated if it is long."""
    match value:
        case Absent():
            return "(not set)"
        case dict():
            return f"{{{', '.join(map(json.dumps, value))}}}"[:_MAX_SHOWN_CHARS]
    shown = json.dumps(value)
    return shown if len(shown) <= _MAX_SHOWN_CHARS else f"{shown[:_MAX_SHOWN_CHARS]}..."


def _walk_changes(
    before: Mapping[str, Any], after: Mapping[str, Any], *, path: str
) -> Iterator[Change]:
    for key in [*before, *(key for key in after if key not in before)]:
        place = join_path(path, key)
        old = before.get(key, Absent())
        new = after.get(key, Absent())
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _walk_changes(old, new, path=place)
        elif type(old) is not type(new) or old != new:
            yield Change(path=place, before=old, after=new)


def _walk_values(tree: Mapping[str, Any], *, path: str) -> Iterator[tuple[str, object]]:
    for key, value in tree.items():
        place = join_path(path, key)
        yield place, value
        if isinstance(value, dict):
            yield from _walk_values(value, path=place)
