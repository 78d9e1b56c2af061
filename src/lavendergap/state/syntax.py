"""Parses JSON with comments into a raw tree and rejects duplicate keys."""

import json
import re
from collections.abc import Callable
from typing import Any

from ..errors import Problem, SettingsError
from .values import is_name

MAX_SETTINGS_BYTES = 1_000_000
"""The platform stores values of up to a megabyte."""

MAX_DEPTH = 12
"""Levels of nesting, well above those of any valid tree."""

_STRING_OR_COMMENT = re.compile(
    r'"(?:\\.|[^"\\\n])*"?|//[^\n\r\u2028\u2029]*|/\*.*?(?:\*/|\Z)', re.DOTALL
)
"""Also matches unterminated strings and comments. Otherwise each quote of a malformed
file would be tried as a new start, which takes quadratic time."""

_MAX_SHOWN_KEY_CHARS = 40
_NOT_LINE_BREAK = re.compile(r"[^\n\r]")


class _KeyValuePairs(list[tuple[str, Any]]):
    """An object as a list of pairs, which keeps duplicate keys."""


def parse_text(text: str | bytes, *, file: str) -> dict[str, Any]:
    """Return the tree in `text`, which is JSON with comments.

    Raises SettingsError if the text is too large, not UTF-8, truncated or otherwise
    malformed, nested too deeply, not an object, or has a duplicate key.
    """
    decoded = _decode(text, file=file)
    try:
        raw = _load(decoded)
    except RecursionError:
        raise _make_error(file, "", f"a tree at most {MAX_DEPTH} levels deep") from None
    except ValueError as error:
        raise _make_json_error(error, file=file) from None
    problems: list[Problem] = []
    tree = _build_tree(
        raw, "", 1, lambda p, e: problems.append(_make_problem(file, p, e))
    )
    if problems:
        raise SettingsError(problems=tuple(problems))
    if not isinstance(tree, dict):
        raise _make_error(file, "", "an object { ... } that holds the settings")
    return tree


def _decode(text: str | bytes, *, file: str) -> str:
    data = text.encode("utf-8", "surrogatepass") if isinstance(text, str) else text
    if len(data) > MAX_SETTINGS_BYTES:
        found = f"this has {len(data)}"
        raise _make_error(file, "", f"at most {MAX_SETTINGS_BYTES} bytes, but {found}")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        place = f"byte {error.start}"
        raise _make_error(
            file, place, "text in UTF-8; save the file as UTF-8"
        ) from None


def _load(text: str) -> Any:
    """Parse JSON with comments, which are replaced by spaces to keep positions.

    The standard library parses thousands of servers in milliseconds. Parsers of
    extended JSON such as json5 take seconds, which would block a daemon's event loop.
    """
    blanked = _STRING_OR_COMMENT.sub(_blank_comment, text)
    return json.loads(blanked, object_pairs_hook=_KeyValuePairs)


def _blank_comment(found: re.Match[str]) -> str:
    part = found.group()
    is_comment = part.startswith("//") or (part.endswith("*/") and len(part) > 3)
    return _NOT_LINE_BREAK.sub(" ", part) if is_comment else part


def _build_tree(
    raw: Any, path: str, depth: int, report: Callable[[str, str], None]
) -> object:
    if not isinstance(raw, (_KeyValuePairs, list)):
        return raw
    if depth > MAX_DEPTH:
        report(path, f"a tree at most {MAX_DEPTH} levels deep")
        return None
    if not isinstance(raw, _KeyValuePairs):
        return [_build_tree(item, f"{path}[]", depth + 1, report) for item in raw]
    tree: dict[str, object] = {}
    for key, value in raw:
        place = join_path(path, key)
        if key in tree:
            report(place, "each key once, but this key is duplicated")
        tree[key] = _build_tree(value, place, depth + 1, report)
    return tree


def join_path(path: str, key: str) -> str:
    """Return the dotted path of `key` below `path`, which is empty at the root.

    A key that is not a valid name is quoted and truncated, so that a malformed file
    cannot fake a path or write control characters to a terminal.
    """
    shown = key if is_name(key) else json.dumps(key[:_MAX_SHOWN_KEY_CHARS])
    return f"{path}.{shown}" if path else shown


def _make_json_error(error: ValueError, *, file: str) -> SettingsError:
    if not isinstance(error, json.JSONDecodeError):
        return _make_error(file, "", f"JSON with comments, but {error}")
    rest = error.doc[error.pos :]
    what = error.msg
    if not rest.strip():
        what = "the file is truncated"
    elif rest.startswith("/*"):
        what = "this comment has no end"
    elif what.startswith("Unterminated string"):
        what = "this string has no end"
    elif rest[0] in "\r\n":
        what = "this line ends inside a string"
    elif rest[0] in "}]":
        what = "there is a comma, or nothing, before this bracket"
    place = f"{error.lineno}:{error.colno}"
    return _make_error(file, place, f"JSON with comments, but {what}")


def _make_problem(file: str, path: str, expected: str) -> Problem:
    return Problem(file=file, path=path, expected=f"expected {expected}")


def _make_error(file: str, path: str, expected: str) -> SettingsError:
    return SettingsError(problems=(_make_problem(file, path, expected),))
