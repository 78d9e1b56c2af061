"""Tests of the log lines, and of readers that stop."""

import json
import logging
import os
import select
import socket
from dataclasses import dataclass

import pytest
import trio

from lavendergap.logs import (
    Category,
    JsonFormatter,
    LineHandler,
    LineWriter,
    LogFormat,
    TextFormatter,
    configure_logs,
    flush_logs,
    get_logger,
    log_decision,
    open_output,
)

ROUTE = get_logger(Category.ROUTE)


@pytest.fixture(autouse=True)
def restored_loggers():
    """Restore what `configure_logs` changes for the whole process."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)
    logging.captureWarnings(False)
    for name in ["lavendergap", *(f"lavendergap.{each}" for each in Category)]:
        logging.getLogger(name).setLevel(logging.NOTSET)


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_all(descriptor):
    data = b""
    while True:
        try:
            part = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return data.decode()
        data += part


def read_lines(descriptor):
    return [json.loads(line) for line in read_all(descriptor).splitlines()]


def configure(pipe, **options):
    options.setdefault("log_format", LogFormat.JSON)
    return configure_logs(descriptor=pipe[1], **options)


def is_stuck(pipe):
    """Return whether a write(2) of a line would block."""
    return not select.select([], [pipe[1]], [], 0)[1]


class TestDecisions:
    def test_one_json_object_with_the_fields_in_order(self, pipe):
        configure(pipe)
        log_decision(ROUTE, "plan", request_id="q\n1", name="n", among={"s0": "a"})
        (line,) = read_lines(pipe[0])
        assert line.pop("time").endswith("Z")
        assert list(line.items()) == [
            ("level", "info"),
            ("logger", "lavendergap.route"),
            ("event", "plan"),
            ("request_id", "q\n1"),
            ("name", "n"),
            ("among", {"s0": "a"}),
        ]

    def test_data_classes_are_encoded(self, pipe):
        @dataclass(frozen=True, kw_only=True, slots=True)
        class Choice:
            server: str

        configure(pipe)
        log_decision(ROUTE, "plan", request_id=None, choice=Choice(server="a"))
        assert read_lines(pipe[0])[0]["choice"] == {"server": "a"}

    def test_a_field_that_cannot_be_encoded_loses_only_that_line(self, pipe):
        endless: list[object] = []
        endless.append(endless)
        configure(pipe)
        log_decision(ROUTE, "plan", request_id="q-1", bad=endless)
        log_decision(ROUTE, "plan", request_id="q-2")
        first, second = read_lines(pipe[0])
        assert first["event"] == "log line not written"
        assert second["request_id"] == "q-2"

    def test_debug_lines_of_the_named_categories_only(self, pipe):
        configure(pipe, debug=[Category.HEDGE])
        for category in (Category.HEDGE, Category.ROUTE):
            logger = get_logger(category)
            log_decision(logger, "weighed", request_id="q-1", level=logging.DEBUG)
        assert [line["logger"] for line in read_lines(pipe[0])] == ["lavendergap.hedge"]

    def test_the_level_applies_to_the_project_and_warnings_to_libraries(self, pipe):
        configure(pipe, level="error")
        log_decision(ROUTE, "plan", request_id="q-1")
        logging.getLogger("httpcore").info("quiet")
        logging.getLogger("httpcore").warning("heard %d", 1)
        assert [line["event"] for line in read_lines(pipe[0])] == ["heard 1"]

    def test_a_traceback_stays_on_the_line(self, pipe):
        configure(pipe)
        try:
            raise ZeroDivisionError
        except ZeroDivisionError:
            ROUTE.exception("failed")
        (line,) = read_lines(pipe[0])
        assert line["event"] == "failed"
        assert line["exc_info"].endswith("ZeroDivisionError")


class TestText:
    def test_readable_and_safe_against_forged_lines(self, pipe):
        configure(pipe, log_format=LogFormat.TEXT)
        log_decision(ROUTE, "plan", request_id="q\nERROR: forged", service="scheduler")
        text = read_all(pipe[0])
        assert text.count("\n") == 1
        assert text.endswith(
            'lavendergap.route: plan request_id="q\\nERROR: forged" service=scheduler\n'
        )

    def test_auto_is_text_at_a_terminal_and_json_elsewhere(self, pipe):
        controller, terminal = os.openpty()
        at_terminal = configure_logs(descriptor=terminal)
        assert isinstance(at_terminal.formatter, TextFormatter)
        assert isinstance(configure_logs(descriptor=pipe[1]).formatter, JsonFormatter)
        os.close(controller)
        os.close(terminal)


class TestReaderStops:
    """The log's reader stops reading, and the pipe fills.

    A blocking write(2) would stop the event loop and every query on the host.
    """

    def test_writing_never_blocks_and_a_gap_is_logged(self, pipe):
        # With blocking writes, this test would hang in its first loop.
        handler = configure(pipe)
        handler.writer.max_pending = 100_000
        n_sent = 0
        while handler.n_dropped < 10:
            log_decision(ROUTE, "plan", request_id=str(n_sent), padding="x" * 1_000)
            n_sent += 1
        assert is_stuck(pipe)
        lines = read_lines_until_written(pipe, handler)
        log_decision(ROUTE, "plan", request_id="after")
        *_, gap, after = lines + read_lines(pipe[0])
        assert [line["request_id"] for line in lines] == [
            str(n) for n in range(n_sent - 10)
        ]
        assert gap["event"] == "log lines dropped"
        assert gap["n_lines"] == 10
        assert after["request_id"] == "after"

    def test_a_line_longer_than_the_pipe_is_written_completely(self, pipe):
        handler = configure(pipe)
        log_decision(ROUTE, "plan", request_id="long", padding="x" * 300_000)
        log_decision(ROUTE, "plan", request_id="next")
        lines = read_lines_until_written(pipe, handler)
        assert [line["request_id"] for line in lines] == ["long", "next"]

    def test_the_inherited_descriptor_keeps_its_mode(self, pipe):
        # O_NONBLOCK on the inherited descriptor would make writes of the shell and of
        # other programs at the same terminal fail.
        configure(pipe)
        assert os.get_blocking(pipe[1])

    def test_a_socket_does_not_block(self):
        # Some service managers use a socket for stderr, which cannot be reopened.
        ours, theirs = socket.socketpair()
        with ours, theirs:
            writer = LineWriter(output=open_output(ours.fileno()), max_pending=1_000)
            line = b"x" * 999 + b"\n"
            while writer.write(line):
                pass
            assert writer.n_pending_bytes
            assert ours.getblocking()

    def test_a_closed_reader_raises_no_error(self):
        read_end, write_end = os.pipe()
        writer = LineWriter(output=open_output(write_end), max_pending=100)
        handler = LineHandler(writer=writer, formatter=JsonFormatter())
        os.close(read_end)
        for _ in range(3):
            handler.handle(logging.makeLogRecord({"msg": {"event": "plan"}}))
        assert handler.n_dropped == 2
        os.close(write_end)

    async def test_buffered_lines_are_written_without_another_line(
        self, pipe, autojump_clock
    ):
        handler = configure(pipe)
        log_decision(ROUTE, "plan", request_id="long", padding="x" * 100_000)
        assert handler.writer.n_pending_bytes
        text = read_all(pipe[0])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(flush_logs, handler)
            while handler.writer.n_pending_bytes:
                await trio.sleep(1)
            nursery.cancel_scope.cancel()
        assert json.loads(text + read_all(pipe[0]))["request_id"] == "long"


def read_lines_until_written(pipe, handler):
    text = read_all(pipe[0])
    while not handler.writer.flush():
        text += read_all(pipe[0])
    text += read_all(pipe[0])
    return [json.loads(line) for line in text.splitlines()]


class TestDescriptors:
    def test_a_descriptor_that_cannot_be_reopened_is_used_itself(
        self, monkeypatch, pipe
    ):
        # A platform may capture only the standard descriptors, by number. Lines written
        # to a duplicate would be lost.
        def refuse(*arguments, **options):
            raise OSError

        monkeypatch.setattr(os, "open", refuse)
        assert open_output(pipe[1]).fileno() == pipe[1]
