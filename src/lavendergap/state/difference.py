"""The difference between two settings trees, place by place."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from .syntax import join_path

_SHOWN_VALUE = 60


@dataclass(frozen=True, kw_only=True, slots=True)
class Absent:
    """Nothing stands at the place."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A place at which two trees differ: what stands before and after."""

    path: str
    before: object
    after: object

    def __str__(self) -> str:
        return f"{self.path}: {show_value(self.before)} -> {show_value(self.after)}"


def list_changes(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> tuple[Change, ...]:
    """Return where two raw trees differ, as operators wrote them, without defaults.

    A branch that was added or removed whole is one change.

    >>> list_changes({"slots": 2}, {"slots": 3})[0].path
    'slots'
    """
    return tuple(_walk(before, after, path=""))


def find_value(tree: Mapping[str, Any], path: str) -> object:
    """Return what stands at a path that `list_changes` gave, or Absent."""
    places = _list_places(tree, path="")
    return next((value for place, value in places if place == path), Absent())


def show_value(value: object) -> str:
    """Return a short form of a value for people, on one line."""
    match value:
        case Absent():
            return "(not stated)"
        case dict():
            return f"{{{', '.join(map(json.dumps, value))}}}"[:_SHOWN_VALUE]
    shown = json.dumps(value)
    return shown if len(shown) <= _SHOWN_VALUE else f"{shown[:_SHOWN_VALUE]}..."


def _walk(
    before: Mapping[str, Any], after: Mapping[str, Any], *, path: str
) -> Iterator[Change]:
    for key in [*before, *(key for key in after if key not in before)]:
        place = join_path(path, key)
        old = before.get(key, Absent())
        new = after.get(key, Absent())
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _walk(old, new, path=place)
        elif type(old) is not type(new) or old != new:
            yield Change(path=place, before=old, after=new)


def _list_places(tree: Mapping[str, Any], *, path: str) -> Iterator[tuple[str, object]]:
    for key, value in tree.items():
        place = join_path(path, key)
        yield place, value
        if isinstance(value, dict):
            yield from _list_places(value, path=place)
