"""Lines of the hosts' logs, read back."""

from dataclasses import dataclass
from typing import Any

import msgspec

_MAX_LINE_BYTES = 1_000_000
"""Longer lines are none of ours: the log cuts its own far below that."""


class _Line(msgspec.Struct):
    time: str = ""
    event: str = ""
    request_id: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One decision that a host logged; `fields` are the inputs of the decision."""

    host: str
    time: str
    event: str
    request_id: str
    fields: dict[str, Any]


def read_line(text: str, *, host: str) -> LogLine | None:
    """Return the line, or None for what is none.

    Collectors put words before the JSON, the last of them the host's name; without
    any it is `host`.

    >>> line = read_line('12.5 ptl-a-1 {"event": "done", "ms": 3}', host="x")
    >>> line.host, line.event, line.fields["ms"]
    ('ptl-a-1', 'done', 3)
    >>> read_line("Traceback (most recent call last):", host="x") is None
    True
    """
    before, brace, rest = text.partition("{")
    if not brace or len(text) > _MAX_LINE_BYTES:
        return None
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
        known = msgspec.convert(fields, _Line)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None
    words = before.split()
    return LogLine(
        host=words[-1] if words else host,
        time=known.time,
        event=known.event,
        request_id=known.request_id or "",
        fields=fields,
    )
