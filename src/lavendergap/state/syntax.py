"""Reads JSON with comments into a raw tree, refusing what would hide a mistake."""

import json
import re
from collections.abc import Callable
from typing import Any

from ..errors import Problem, SettingsError
from .values import is_name

MAX_BYTES = 1_000_000
"""The platform holds values up to a megabyte."""

MAX_DEPTH = 12
"""The deepest place that the table allows lies six branches down."""

_STRING_OR_COMMENT = re.compile(
    r'"(?:\\.|[^"\\\n])*"?|//[^\n\r\u2028\u2029]*|/\*.*?(?:\*/|\Z)', re.DOTALL
)
"""Strings and comments without an end match too, up to where they stop: trying each
quote of a garbled file as a new start would take hours."""

_SHOWN_KEY = 40
_NO_LINE_END = re.compile(r"[^\n\r]")


class _Pairs(list[tuple[str, Any]]):
    """An object as its list of pairs, in which duplicate keys are still seen."""


def parse_text(text: str | bytes, *, file: str) -> dict[str, Any]:
    """Return the tree that `text` writes as JSON with comments.

    Raises SettingsError where it is too large, not UTF-8, cut short or otherwise no
    JSON, too deep, names a key twice in one object, or is not an object.
    """
    decoded = _decode(text, file=file)
    try:
        raw = _load(decoded)
    except RecursionError:
        raise _refuse(file, "", f"a tree at most {MAX_DEPTH} levels deep") from None
    except ValueError as error:
        raise _locate(error, file=file) from None
    problems: list[Problem] = []
    tree = _unfold(raw, "", 1, lambda p, e: problems.append(_problem(file, p, e)))
    if problems:
        raise SettingsError(problems=tuple(problems))
    if not isinstance(tree, dict):
        raise _refuse(file, "", "an object { ... } that holds the settings")
    return tree


def _decode(text: str | bytes, *, file: str) -> str:
    data = text.encode("utf-8", "surrogatepass") if isinstance(text, str) else text
    if len(data) > MAX_BYTES:
        found = f"this has {len(data)}"
        raise _refuse(file, "", f"at most {MAX_BYTES} bytes, but {found}")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        place = f"byte {error.start}"
        raise _refuse(file, place, "text in UTF-8; save the file as UTF-8") from None


def _load(text: str) -> Any:
    """Read JSON whose comments are blanked out, which keeps all else in its place.

    The standard library then reads thousands of servers in milliseconds. The readers
    of looser JSON (json5) take seconds, during which a daemon would answer nobody.
    """
    blanked = _STRING_OR_COMMENT.sub(_blank_comment, text)
    return json.loads(blanked, object_pairs_hook=_Pairs)


def _blank_comment(found: re.Match[str]) -> str:
    part = found.group()
    is_comment = part.startswith("//") or (part.endswith("*/") and len(part) > 3)
    return _NO_LINE_END.sub(" ", part) if is_comment else part


def _unfold(
    raw: Any, path: str, depth: int, report: Callable[[str, str], None]
) -> object:
    if not isinstance(raw, (_Pairs, list)):
        return raw
    if depth > MAX_DEPTH:
        report(path, f"a tree at most {MAX_DEPTH} levels deep")
        return None
    if not isinstance(raw, _Pairs):
        return [_unfold(item, f"{path}[]", depth + 1, report) for item in raw]
    tree: dict[str, object] = {}
    for key, value in raw:
        place = join_path(path, key)
        if key in tree:
            report(place, "each key once, but this key stands here twice")
        tree[key] = _unfold(value, place, depth + 1, report)
    return tree


def join_path(path: str, key: str) -> str:
    """Return the dotted path of `key` below `path`, which is empty at the top.

    A key that is no name is quoted and cut, so that a garbled file can neither
    forge a path nor flood or break a terminal.
    """
    shown = key if is_name(key) else json.dumps(key[:_SHOWN_KEY])
    return f"{path}.{shown}" if path else shown


def _locate(error: ValueError, *, file: str) -> SettingsError:
    if not isinstance(error, json.JSONDecodeError):
        return _refuse(file, "", f"JSON with comments, but {error}")
    rest = error.doc[error.pos :]
    what = error.msg
    if not rest.strip():
        what = "the file ends too early, as if cut short"
    elif rest.startswith("/*"):
        what = "this comment has no end"
    elif what.startswith("Unterminated string"):
        what = "this string has no end"
    elif rest[0] in "\r\n":
        what = "this line ends inside a string"
    elif rest[0] in "}]":
        what = "there is a comma, or nothing, before this bracket"
    place = f"{error.lineno}:{error.colno}"
    return _refuse(file, place, f"JSON with comments, but {what}")


def _problem(file: str, path: str, expected: str) -> Problem:
    return Problem(file=file, path=path, expected=f"expected {expected}")


def _refuse(file: str, path: str, expected: str) -> SettingsError:
    return SettingsError(problems=(_problem(file, path, expected),))
