"""The parser of the hosts' log lines."""

from dataclasses import dataclass
from typing import Any

import msgspec

_MAX_LINE_BYTES = 1_000_000
"""Longer lines are not log lines: hosts truncate theirs far below this."""


class _Line(msgspec.Struct):
    time: str = ""
    event: str = ""
    request_id: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One log line of a host; `fields` holds all fields of its JSON object."""

    host: str
    time: str
    event: str
    request_id: str
    fields: dict[str, Any]


def read_line(text: str, *, host: str) -> LogLine | None:
    """Return the parsed line, or None if `text` is not a log line.

    Log collectors prefix the JSON with words, of which the last is the host's name.
    Without a prefix, the line's host is `host`.

    >>> line = read_line('12.5 ptl-a-1 {"event": "done", "ms": 3}', host="x")
    >>> line.host, line.event, line.fields["ms"]
    ('ptl-a-1', 'done', 3)
    >>> read_line("Traceback (most recent call last):", host="x") is None
    True
    """
    prefix, brace, rest = text.partition("{")
    if not brace or len(text) > _MAX_LINE_BYTES:
        return None
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
        known = msgspec.convert(fields, _Line)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None
    words = prefix.split()
    return LogLine(
        host=words[-1] if words else host,
        time=known.time,
        event=known.event,
        request_id=known.request_id or "",
        fields=fields,
    )
