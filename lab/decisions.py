"""Measures what the log line of a query's plan costs, written in several ways.

Each way writes the same decisions to a pipe that `cat` reads. Only the processor
time of making and writing the lines counts; between batches the program waits,
uncounted, until the reader has caught up, so that no line is dropped.
"""

from __future__ import annotations

import array
import fcntl
import logging
import os
import statistics
import subprocess
import termios
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from pythonjsonlogger.json import JsonFormatter as StdlibJsonFormatter
from pythonjsonlogger.msgspec import MsgspecFormatter
from rich.table import Table

from lavendergap.logs import (
    Category,
    JsonFormatter,
    LineHandler,
    LineWriter,
    get_logger,
    log_decision,
    open_output,
)

from .figures import make_figures, report

SIZES = (1, 20, 85, 200)
N_ROUNDS = 7
N_BATCHES = 20
N_LINES = 20
PIPE_BYTES = 1 << 20
LOGGER = get_logger(Category.ROUTE)

# Queries a second of one host at the size of two years: 110,000 over 550 hosts.
QUERIES_PER_S = 200
LEAFS = 85


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """One choice of a plan: the server chosen, among how many, and why."""

    shard: str
    server: str
    n_among: int
    why: str


Write = Callable[[Sequence[Placement]], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class Way:
    """One way of writing the line."""

    name: str
    formatter: logging.Formatter
    write: Write


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """Processor time and length of one line."""

    line_us: float
    n_bytes: int


def make_plan(n_placements: int) -> tuple[Placement, ...]:
    """Make a plan such as a query to the scheduler gets."""
    return tuple(
        Placement(
            shard=f"s{i:02}",
            server=f"scheduler-{i:02}-{'ab'[i % 2]}",
            n_among=2,
            why="least busy",
        )
        for i in range(n_placements)
    )


def write_extra(plan: Sequence[Placement]) -> None:
    """Write as logging suggests: fields in `extra`, each placement as a dict."""
    placements = [
        {"shard": p.shard, "server": p.server, "n_among": p.n_among, "why": p.why}
        for p in plan
    ]
    extra = {"request_id": "q-1", "service": "scheduler", "placements": placements}
    LOGGER.info("plan", extra=extra)


def write_data_classes(plan: Sequence[Placement]) -> None:
    """Hand the data classes over; msgspec encodes them itself."""
    log_decision(LOGGER, "plan", request_id="q-1", service="scheduler", placements=plan)


def write_mapping(plan: Sequence[Placement]) -> None:
    """Write shard to server, and what all have in common once."""
    placements = {p.shard: p.server for p in plan}
    log_decision(
        LOGGER,
        "plan",
        request_id="q-1",
        service="scheduler",
        n_among=2,
        why="least busy",
        placements=placements,
    )


def write_compact(plan: Sequence[Placement]) -> None:
    """Write the placements as one string, each with its reason, as owners do."""
    placements = " ".join([f"{p.shard}={p.server}[{p.why}]" for p in plan])
    log_decision(
        LOGGER,
        "plan",
        request_id="q-1",
        service="scheduler",
        version=7,
        n_calls=len(plan),
        n_queued=0,
        placements=placements,
    )


def write_line_each(plan: Sequence[Placement]) -> None:
    """Write a line for each placement."""
    for p in plan:
        log_decision(
            LOGGER,
            "place",
            request_id="q-1",
            service="scheduler",
            shard=p.shard,
            server=p.server,
            n_among=p.n_among,
            why=p.why,
        )


def write_off(plan: Sequence[Placement]) -> None:
    """Decide and write nothing: the level is off."""
    log_decision(LOGGER, "plan", request_id="q-1", level=logging.DEBUG, placements=plan)


STDLIB = StdlibJsonFormatter(timestamp="time")
LIBRARY = MsgspecFormatter(timestamp="time")
OURS = JsonFormatter()
CHOSEN = "ours, string with reasons"

WAYS = (
    Way(name="stdlib json, extra", formatter=STDLIB, write=write_extra),
    Way(name="msgspec formatter, extra", formatter=LIBRARY, write=write_extra),
    Way(name="ours, data classes", formatter=OURS, write=write_data_classes),
    Way(name="ours, mapping", formatter=OURS, write=write_mapping),
    Way(name=CHOSEN, formatter=OURS, write=write_compact),
    Way(name="ours, a line for each", formatter=OURS, write=write_line_each),
    Way(name="level off", formatter=OURS, write=write_off),
)


@contextmanager
def open_reader() -> Iterator[int]:
    """Yield the write end of a pipe that another process reads."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    with subprocess.Popen(["cat"], stdin=read_end, stdout=subprocess.DEVNULL):
        os.close(read_end)
        try:
            yield write_end
        finally:
            os.close(write_end)


def count_unread(descriptor: int) -> int:
    """Count the bytes in a pipe that its reader has not taken yet."""
    unread = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.FIONREAD, unread)
    return unread[0]


def wait_for_reader(writer: LineWriter) -> None:
    """Wait until the reader has taken everything."""
    while not writer.flush() or count_unread(writer.output.fileno()):
        time.sleep(0.0005)


def measure(way: Way, n_placements: int) -> Cost:
    """Measure one way at one size: the median of several rounds."""
    plan = make_plan(n_placements)
    with open_reader() as descriptor:
        writer = LineWriter(output=open_output(descriptor))
        handler = LineHandler(writer=writer, formatter=way.formatter)
        LOGGER.handlers = [handler]
        rounds = [measure_round(way, plan, writer) for _ in range(N_ROUNDS)]
        if handler.n_dropped:
            raise RuntimeError(f"{handler.n_dropped} lines dropped: no valid figure")
        os.close(writer.output.fileno())
    return Cost(line_us=statistics.median(rounds), n_bytes=count_bytes(way, plan))


def measure_round(way: Way, plan: Sequence[Placement], writer: LineWriter) -> float:
    """Return the microseconds of processor time of one plan's line."""
    used_s = 0.0
    for _ in range(N_BATCHES):
        start_s = time.process_time()
        for _ in range(N_LINES):
            way.write(plan)
        used_s += time.process_time() - start_s
        wait_for_reader(writer)
    return used_s / (N_BATCHES * N_LINES) * 1e6


class Collector(logging.Handler):
    """Counts the bytes of the lines that it is given."""

    def __init__(self, *, formatter: logging.Formatter) -> None:
        super().__init__()
        self.setFormatter(formatter)
        self.n_bytes = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Count the line and its newline."""
        self.n_bytes += len(self.format(record).encode()) + 1


def count_bytes(way: Way, plan: Sequence[Placement]) -> int:
    """Return the bytes that one plan writes."""
    collector = Collector(formatter=way.formatter)
    LOGGER.handlers = [collector]
    way.write(plan)
    return collector.n_bytes


def main() -> None:
    """Measure every way at every size; print a table and one line of figures."""
    LOGGER.setLevel(logging.INFO)
    LOGGER.propagate = False
    table = Table("way", *(f"{n} placements" for n in SIZES), title="us a plan, bytes")
    costs: dict[tuple[str, int], Cost] = {}
    for way in WAYS:
        for n_placements in SIZES:
            costs[way.name, n_placements] = measure(way, n_placements)
        cells = [costs[way.name, n] for n in SIZES]
        table.add_row(way.name, *(f"{c.line_us:.1f}, {c.n_bytes}" for c in cells))
    chosen = costs[CHOSEN, LEAFS]
    figures = {f"line_us_at_{n}": costs[CHOSEN, n].line_us for n in SIZES}
    figures["us_per_leaf_85"] = chosen.line_us / LEAFS
    figures["core_share"] = chosen.line_us * QUERIES_PER_S / 1e6
    figures["bytes_per_s"] = chosen.n_bytes * QUERIES_PER_S
    report(make_figures("decisions", figures), table)


if __name__ == "__main__":
    main()
