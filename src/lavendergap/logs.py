"""Writes what the program decides: one line for each decision, never blocking.

Lines go to stderr through `logging`: one JSON object a line, or readable text when
stderr is a terminal. A decision is logged with `log_decision` on the logger of its
category::

    route = get_logger(Category.ROUTE)
    log_decision(route, "plan", request_id="q-1", service="scheduler", n_shards=20)

The measurement behind the choices made here is in docs/design/logging.md.
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

# What may wait for a reader that has stopped reading: about 200 plans of 85 shards.
# It bridges a reader's short pause; a longer one costs lines, not answers.
MAX_PENDING_BYTES = 1 << 20

CLOSE_S = 1.0
FLUSH_INTERVAL_S = 0.2


class Category(StrEnum):
    """What a decision is about; each can be switched to debug level by its name."""

    ROUTE = "route"
    QUEUE = "queue"
    HEDGE = "hedge"
    SETTINGS = "settings"
    MEMBERS = "members"
    ONCE = "once"
    CONNECTIONS = "connections"


class LogFormat(StrEnum):
    """How a line looks. `AUTO` is text at a terminal and JSON everywhere else."""

    AUTO = "auto"
    JSON = "json"
    TEXT = "text"


def get_logger(category: Category) -> logging.Logger:
    """Return the logger on which decisions of this category are written."""
    return logging.getLogger(f"{PACKAGE_LOGGER}.{category}")


def log_decision(
    logger: logging.Logger,
    event: str,
    *,
    request_id: str | None,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Write one line that tells a decision: `event`, its request and its `fields`.

    Fields may be anything that msgspec encodes, data classes included; they are
    encoded at once, and not at all when the level is off. `request_id` is None for
    decisions that no request asked for, such as a member declared dead.
    """
    if not logger.isEnabledFor(level):
        return
    decision = {"event": event, "request_id": request_id, **fields}
    # Built without logger.info(): that walks the stack to find the caller's line,
    # and its `extra` forbids fields such as `name`.
    logger.handle(_make_record(logger.name, level, decision))


class Output(Protocol):
    """A place for bytes that takes what it can without waiting."""

    def fileno(self) -> int:
        """Return the descriptor to wait on."""

    def write(self, data: bytes | memoryview) -> int:
        """Take some of `data`, or none, and return how many bytes were taken."""


class DescriptorOutput:
    """Writes to a descriptor that is in non-blocking mode, or is a plain file."""

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
    """Writes to a socket, as stderr is under some service managers.

    The mode belongs to each call: the socket may be shared with other processes.
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
    """Open what `descriptor` refers to for writing without waiting.

    A pipe or terminal is opened anew, because O_NONBLOCK belongs to the open file
    and not to the descriptor: set on the inherited one, it would also reach every
    other process that shares it, such as the shell. Where it cannot be opened anew
    (its permissions belong to another user), the descriptor is used as it is, and a
    reader that stops can then stop this process.
    """
    if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
        return SocketOutput(stream=socket.socket(fileno=os.dup(descriptor)))
    flags = os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
    try:
        descriptor = os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        # Not a duplicate of it either: a platform that takes what is written to
        # the standard descriptors may know them by their numbers, and every line
        # would be lost without a sign.
        return DescriptorOutput(descriptor=descriptor)
    return DescriptorOutput(descriptor=descriptor)


class LineWriter:
    """Writes whole lines in order, and refuses new ones rather than wait.

    Failure: whoever reads the log (a shipper, a pager, a terminal held with Ctrl-S)
    stops reading and the pipe fills. Symptom with a plain write: the one loop stops
    in write(2), so every query on this host hangs and its peers declare it dead.
    Here lines wait in memory up to `max_pending` bytes, and what comes after is
    refused. A line that was written in part is always finished first, so no line is
    ever torn. A reader that is gone for good, or a full disk, is treated the same:
    a daemon does not end for its log.
    """

    def __init__(self, *, output: Output, max_pending: int = MAX_PENDING_BYTES) -> None:
        self.output = output
        self.max_pending = max_pending
        self._pending = bytearray()

    @property
    def n_pending_bytes(self) -> int:
        """Bytes that wait for the reader."""
        return len(self._pending)

    def write(self, lines: bytes) -> bool:
        """Write or keep whole lines; False when there is no room for them."""
        if self._pending and not self.flush():
            if len(self._pending) + len(lines) > self.max_pending:
                return False
            self._pending += lines
            return True
        n_taken = self._send(lines)
        if n_taken < len(lines):
            self._pending += lines[n_taken:]
        return True

    def flush(self) -> bool:
        """Write what is pending as far as the reader takes it; True when all went."""
        with memoryview(self._pending) as view:
            n_taken = self._send(view)
        del self._pending[:n_taken]
        return not self._pending

    def flush_within(self, limit_s: float) -> bool:
        """Wait for the reader, at most `limit_s` seconds; for the end of a program."""
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
    """Formats records, writes them without waiting, and counts those dropped.

    The first line that finds room again is preceded by one that tells how many are
    missing, so that a reader of the log never takes a gap for silence.
    """

    def __init__(self, *, writer: LineWriter, formatter: logging.Formatter) -> None:
        super().__init__()
        self.setFormatter(formatter)
        self.writer = writer
        self.n_dropped = 0
        self._n_unannounced = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record's line; one that cannot be formatted says so instead."""
        try:
            lines = self._encode(record)
        except (TypeError, ValueError, RecursionError) as error:
            # logging's own way is a traceback on stderr, through a write that waits.
            lines = self._encode(_describe_failure(record, error))
        if self._n_unannounced:
            lines = self._encode(_describe_gap(self._n_unannounced)) + lines
        if self.writer.write(lines):
            self._n_unannounced = 0
        else:
            self.n_dropped += 1
            self._n_unannounced += 1

    def _encode(self, record: logging.LogRecord) -> bytes:
        return self.format(record).encode(errors="backslashreplace") + b"\n"

    def flush(self) -> None:
        """Write what is pending as far as the reader takes it, without waiting."""
        self.writer.flush()

    def close(self) -> None:
        """Give a slow reader a last, short chance, and say what is missing."""
        if self.writer.flush_within(CLOSE_S) and self._n_unannounced:
            self.writer.write(self._encode(_describe_gap(self._n_unannounced)))
            self._n_unannounced = 0
        super().close()


def _describe_gap(n_missing: int) -> logging.LogRecord:
    decision = {"event": "log lines dropped", "n_lines": n_missing}
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
    # logging allows any object as a message; its type stubs do not say so.
    return logging.LogRecord(name, level, "", 0, decision, (), None)


def format_time(created: float) -> str:
    """Format seconds since the epoch as RFC 3339 in UTC, with milliseconds."""
    whole_s = int(created)
    return f"{_format_second(whole_s)}.{int((created - whole_s) * 1000):03}Z"


@lru_cache(maxsize=2)
def _format_second(whole_s: int) -> str:
    """Format a second once, and not for each of its lines."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole_s))


class JsonFormatter(MsgspecFormatter):
    """One JSON object a line: time, level, logger, event, then the fields.

    Decisions go straight to msgspec; all other records (the libraries' own, those
    with a traceback) take the usual way of python-json-logger.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line."""
        if isinstance(record.msg, dict) and not record.exc_info:
            return self.jsonify_log_record({**_build_head(record), **record.msg})
        return super().format(record)

    def process_log_record(self, log_data: dict[str, object]) -> dict[str, object]:
        """Put a message under `event`, as in the lines of decisions."""
        if "message" in log_data:
            log_data["event"] = log_data.pop("message")
        return log_data

    def add_fields(
        self,
        log_data: dict[str, object],
        record: logging.LogRecord,
        message_dict: dict[str, object],
    ) -> None:
        """Start each line with its time, level and logger."""
        log_data.update(_build_head(record))
        super().add_fields(log_data, record, message_dict)


def _build_head(record: logging.LogRecord) -> dict[str, object]:
    return {
        "time": format_time(record.created),
        "level": record.levelname.lower(),
        "logger": record.name,
    }


class TextFormatter(logging.Formatter):
    """A line for people: time of day, level, logger, event, `field=value` ..."""

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
    # Encoded, so that a caller's request id cannot forge a second line.
    return f" {name}={msgspec.json.encode(value, enc_hook=repr).decode()}"


def configure_logs(
    *,
    level: str = "info",
    log_format: LogFormat = LogFormat.AUTO,
    debug: Collection[Category] = (),
    descriptor: int = STDERR,
) -> LineHandler:
    """Send all lines to `descriptor` and return the handler that writes them.

    `level` is that of the project's own loggers; the libraries' are kept at
    warnings. Each category in `debug` is set to debug level. To be called once, by
    a program and not by those who embed the library; a second call replaces the
    first. The handler's `n_dropped` belongs into the metrics.
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
    """Write pending lines as the reader takes them, until cancelled.

    Without it they would wait for the next line, on a quiet host for long.
    """
    while True:
        await trio.sleep(FLUSH_INTERVAL_S)
        handler.flush()
