"""Structured logs of decisions, one line for each, without blocking the event loop.

Lines go to stderr through `logging`: one JSON object a line, or readable text when
stderr is a terminal. A decision is logged with `log_decision` on its category's
logger::

    route = get_logger(Category.ROUTE)
    log_decision(route, "plan", request_id="q-1", service="scheduler", n_shards=20)

docs/design/logging.md describes the design.
"""

from __future__ import annotations

import logging
import os
import select
import socket
import stat
import time
from collections.abc import Collection, Mapping
from enum import StrEnum
from functools import lru_cache
from typing import Protocol

import msgspec
import trio
from pythonjsonlogger.msgspec import MsgspecFormatter

PACKAGE_LOGGER = "lavendergap"
STDERR = 2

# The buffer for a reader that is slow or has stopped. When it is full, lines are
# dropped and requests continue.
MAX_PENDING_BYTES = 1 << 20

CLOSE_TIMEOUT_S = 1.0
FLUSH_INTERVAL_S = 0.2


class Category(StrEnum):
    """The subject of a decision; each has a logger whose level can be set to debug."""

    ROUTE = "route"
    QUEUE = "queue"
    HEDGE = "hedge"
    SETTINGS = "settings"
    MEMBERS = "members"
    ONCE = "once"
    CONNECTIONS = "connections"
    LIMITS = "limits"


class LogFormat(StrEnum):
    """The format of a line. `AUTO` is text at a terminal and JSON otherwise."""

    AUTO = "auto"
    JSON = "json"
    TEXT = "text"


def get_logger(category: Category) -> logging.Logger:
    """Return the logger for decisions of this category."""
    return logging.getLogger(f"{PACKAGE_LOGGER}.{category}")


def log_decision(
    logger: logging.Logger,
    event: str,
    *,
    request_id: str | None,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Log one decision: its `event`, its request and its `fields`.

    Fields may be of any type that msgspec encodes, including data classes. They are
    encoded at once, or not at all when the level is disabled. `request_id` is None
    for decisions without a request, such as the death of a member.
    """
    if not logger.isEnabledFor(level):
        return
    decision = {"event": event, "request_id": request_id, **fields}
    # Not logger.info(), which walks the stack to find the calling line, and whose
    # `extra` does not allow fields such as `name`.
    logger.handle(_make_record(logger.name, level, decision))


class Output(Protocol):
    """A destination for bytes that is written without blocking."""

    def fileno(self) -> int:
        """Return the file descriptor to wait on."""

    def write(self, data: bytes | memoryview) -> int:
        """Write all, some or none of `data`; return the number of bytes written."""


class DescriptorOutput:
    """Writes to a file descriptor; blocks only if that is in blocking mode."""

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor

    def fileno(self) -> int:
        return self._descriptor

    def write(self, data: bytes | memoryview) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0


class SocketOutput:
    """Writes to a socket, which stderr is under some service managers.

    Each call is made non-blocking by a flag, since other processes may share the
    socket and its mode.
    """

    def __init__(self, *, stream: socket.socket) -> None:
        self._stream = stream

    def fileno(self) -> int:
        return self._stream.fileno()

    def write(self, data: bytes | memoryview) -> int:
        try:
            return self._stream.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0


def open_output(descriptor: int) -> Output:
    """Open the file of `descriptor` for non-blocking writes.

    A pipe or terminal is reopened, because O_NONBLOCK belongs to the open file and
    not to the descriptor: set on the inherited one, it would affect all processes
    that share it, such as the shell. Where reopening fails (for lack of permission),
    the descriptor is used as it is, and a reader that stops may block this process.
    """
    if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
        return SocketOutput(stream=socket.socket(fileno=os.dup(descriptor)))
    flags = os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
    try:
        descriptor = os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        # The descriptor itself, not a duplicate: a platform may capture output by the
        # number of the descriptor, and lines written to another would be lost.
        return DescriptorOutput(descriptor=descriptor)
    return DescriptorOutput(descriptor=descriptor)


class LineWriter:
    """Writes complete lines in order; drops new ones rather than block.

    The reader of the log (a shipper, a pager, a terminal paused with Ctrl-S) may stop
    reading, and the pipe fills. A blocking write would then stop the event loop: all
    queries on this host would hang, and its peers would declare it dead. Up to
    `max_pending` bytes of lines are buffered instead, and further lines are rejected.
    A partly written line is always completed before the next one. A missing reader
    and a full disk are handled in the same way.
    """

    def __init__(self, *, output: Output, max_pending: int = MAX_PENDING_BYTES) -> None:
        self.output = output
        self.max_pending = max_pending
        self._pending = bytearray()

    @property
    def n_pending_bytes(self) -> int:
        """The number of buffered bytes."""
        return len(self._pending)

    def write(self, lines: bytes) -> bool:
        """Write or buffer complete lines; return False if the buffer is full."""
        if self._pending and not self.flush():
            if len(self._pending) + len(lines) > self.max_pending:
                return False
            self._pending += lines
            return True
        n_written = self._send(lines)
        if n_written < len(lines):
            self._pending += lines[n_written:]
        return True

    def flush(self) -> bool:
        """Write buffered bytes without blocking; return whether all were written."""
        with memoryview(self._pending) as view:
            n_written = self._send(view)
        del self._pending[:n_written]
        return not self._pending

    def flush_within(self, limit_s: float) -> bool:
        """Write buffered bytes for up to `limit_s` seconds; blocks, for use at exit."""
        deadline = time.monotonic() + limit_s
        while not self.flush():
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return False
            select.select([], [self.output], [], left_s)
        return True

    def _send(self, data: bytes | memoryview) -> int:
        try:
            return self.output.write(data)
        except OSError:
            return 0


class LineHandler(logging.Handler):
    """Formats records, writes them without blocking, and counts dropped ones.

    After a gap, the first line that fits the buffer is preceded by one with the number
    of dropped lines, so that a gap is visible in the log.
    """

    def __init__(self, *, writer: LineWriter, formatter: logging.Formatter) -> None:
        super().__init__()
        self.setFormatter(formatter)
        self.writer = writer
        self.n_dropped = 0
        self._n_unreported = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record's line, or a line about the error if formatting fails."""
        try:
            lines = self._encode(record)
        except (TypeError, ValueError, RecursionError) as error:
            # Handler.handleError would write a traceback to stderr, and may block.
            lines = self._encode(_describe_failure(record, error))
        if self._n_unreported:
            lines = self._encode(_describe_dropped(self._n_unreported)) + lines
        if self.writer.write(lines):
            self._n_unreported = 0
        else:
            self.n_dropped += 1
            self._n_unreported += 1

    def _encode(self, record: logging.LogRecord) -> bytes:
        return self.format(record).encode(errors="backslashreplace") + b"\n"

    def flush(self) -> None:
        """Write buffered bytes without blocking."""
        self.writer.flush()

    def close(self) -> None:
        """Write buffered bytes for up to `CLOSE_TIMEOUT_S`; report dropped lines."""
        if self.writer.flush_within(CLOSE_TIMEOUT_S) and self._n_unreported:
            self.writer.write(self._encode(_describe_dropped(self._n_unreported)))
            self._n_unreported = 0
        super().close()


def _describe_dropped(n_dropped_lines: int) -> logging.LogRecord:
    decision = {"event": "log lines dropped", "n_lines": n_dropped_lines}
    return _make_record(PACKAGE_LOGGER, logging.WARNING, decision)


def _describe_failure(record: logging.LogRecord, error: Exception) -> logging.LogRecord:
    decision = {
        "event": "log line not written",
        "logger": record.name,
        "error": repr(error),
    }
    return _make_record(PACKAGE_LOGGER, logging.ERROR, decision)


def _make_record(
    name: str, level: int, decision: Mapping[str, object]
) -> logging.LogRecord:
    # logging allows any object as a message, but its type stubs do not.
    return logging.LogRecord(name, level, "", 0, decision, (), None)


def format_time(created: float) -> str:
    """Format seconds since the epoch as RFC 3339 in UTC, with milliseconds."""
    whole_s = int(created)
    return f"{_format_second(whole_s)}.{int((created - whole_s) * 1000):03}Z"


@lru_cache(maxsize=2)
def _format_second(whole_s: int) -> str:
    """Format seconds since the epoch; cached for the lines of the same second."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole_s))


class JsonFormatter(MsgspecFormatter):
    """Formats a record as a JSON object: time, level, logger, event, fields.

    Decisions are encoded by msgspec directly. All other records (of libraries, or
    with a traceback) are formatted by python-json-logger.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line."""
        if isinstance(record.msg, dict) and not record.exc_info:
            return self.jsonify_log_record(
                {**_build_common_fields(record), **record.msg}
            )
        return super().format(record)

    def process_log_record(self, log_data: dict[str, object]) -> dict[str, object]:
        """Move the message to `event`, as in the lines of decisions."""
        if "message" in log_data:
            log_data["event"] = log_data.pop("message")
        return log_data

    def add_fields(
        self,
        log_data: dict[str, object],
        record: logging.LogRecord,
        message_dict: dict[str, object],
    ) -> None:
        """Add the time, level and logger before the other fields."""
        log_data.update(_build_common_fields(record))
        super().add_fields(log_data, record, message_dict)


def _build_common_fields(record: logging.LogRecord) -> dict[str, object]:
    return {
        "time": format_time(record.created),
        "level": record.levelname.lower(),
        "logger": record.name,
    }


class TextFormatter(logging.Formatter):
    """Formats a record as text: time of day, level, logger, event, `field=value` ..."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line."""
        clock = time.strftime("%H:%M:%S", time.localtime(record.created))
        head = f"{clock} {record.levelname:<7} {record.name}"
        if isinstance(record.msg, dict):
            fields = dict(record.msg)
            event = fields.pop("event", "")
            return f"{head}: {event}{''.join(map(_format_field, fields.items()))}"
        text = f"{head}: {record.getMessage()}"
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return text


def _format_field(field: tuple[str, object]) -> str:
    name, value = field
    if isinstance(value, str) and value.isprintable() and " " not in value:
        return f" {name}={value}"
    # Encoded, so that a line break in a request id cannot forge a log line.
    return f" {name}={msgspec.json.encode(value, enc_hook=repr).decode()}"


def configure_logs(
    *,
    level: str = "info",
    log_format: LogFormat = LogFormat.AUTO,
    debug: Collection[Category] = (),
    descriptor: int = STDERR,
) -> LineHandler:
    """Send all lines to `descriptor` and return the handler that writes them.

    `level` applies to this package's loggers; those of libraries are set to warning.
    Each category in `debug` is set to debug level. For programs only, not for code
    that embeds the library; a second call replaces the first. The handler's
    `n_dropped` should be exported as a metric.
    """
    handler = LineHandler(
        writer=LineWriter(output=open_output(descriptor)),
        formatter=_choose_formatter(log_format, os.isatty(descriptor)),
    )
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)
    logging.captureWarnings(True)
    logging.getLogger(PACKAGE_LOGGER).setLevel(level.upper())
    for category in Category:
        is_debug = category in debug
        get_logger(category).setLevel(logging.DEBUG if is_debug else logging.NOTSET)
    return handler


def _choose_formatter(log_format: LogFormat, is_terminal: bool) -> logging.Formatter:
    match log_format:
        case LogFormat.JSON:
            return JsonFormatter()
        case LogFormat.TEXT:
            return TextFormatter()
        case LogFormat.AUTO:
            return TextFormatter() if is_terminal else JsonFormatter()


async def flush_logs(handler: LineHandler) -> None:
    """Write buffered lines periodically until cancelled.

    Otherwise they would remain buffered until the next line is logged.
    """
    while True:
        await trio.sleep(FLUSH_INTERVAL_S)
        handler.flush()
