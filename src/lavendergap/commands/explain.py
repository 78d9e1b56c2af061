"""`lavendergap explain`: evaluates the hosts' logs to explain how requests ended."""

from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from ..errors import LavendergapError
from ..protocol.loglines import LogLine, read_line
from ..protocol.requeststats import End, RequestStats
from .console import print_json, print_note, print_table
from .options import json_option
from .refusals import LIMIT_EVENT, explain_refusal

MAX_LINES_SHOWN = 10_000
"""The limit for the lines shown; a large search logs a few hundred."""

N_CAUSES_SHOWN = 5
N_SECONDS_SHOWN = 8

_ROUTE_COLUMNS = ("ROUTE", "ASKED", *map(str.upper, End), "PARTIAL", "P50 MS", "P99 MS")


@click.command()
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace", lazy=True))
@click.option(
    "--request", "request_id", metavar="ID", help="Show the lines of this request."
)
@click.option(
    "--content",
    metavar="ID",
    help="Show the requests of this content under which servers ended.",
)
@json_option
def explain(
    logs: tuple[Any, ...], request_id: str | None, content: str | None, as_json: bool
) -> None:
    """Show from LOGS how callers' requests ended, and why.

    LOGS are the JSON lines of any number of hosts, in files or, as `-`, on standard
    input. The output lists, by route, how requests ended and why requests were lost,
    and the seconds with the most lost requests. With --request, it lists the lines of
    one request on all hosts in order of time, and for a 401 or 429 the cause and what
    to do. With --content, an id from `done` lines,
    it lists those of all requests of one content under which servers ended.
    """
    if not logs:
        raise click.UsageError("name the hosts' log files, or - for standard input")
    if request_id is not None:
        _show_lines(logs, "request_id", request_id, as_json=as_json)
        return
    if content is not None:
        _show_lines(logs, "content", content, as_json=as_json)
        return
    stats = RequestStats()
    for line in _read(logs):
        if line is None:
            stats.count_bad_line()
        else:
            stats.count_line(line)
    if not stats.routes:
        raise LavendergapError(
            f"no request has ended in {stats.n_lines} lines, "
            f"{stats.n_bad_lines} others; are these the logs of gateway hosts?"
        )
    if as_json:
        print_json(_describe(stats))
    else:
        _print(stats)


def _read(logs: tuple[Any, ...]) -> Iterator[LogLine | None]:
    for log in logs:
        host = Path(log.name).stem
        for text in log:
            if text.strip():
                yield read_line(text, host=host)


def _show_lines(
    logs: tuple[Any, ...], field: str, wanted: str, *, as_json: bool
) -> None:
    matching = []
    limit_lines: deque[LogLine] = deque(maxlen=MAX_LINES_SHOWN)
    # Lines without the id are skipped before decoding, which is slow.
    for log in logs:
        host = Path(log.name).stem
        found = (
            read_line(text, host=host)
            for text in log
            if wanted in text or LIMIT_EVENT in text
        )
        for line in found:
            if line and line.fields.get(field) == wanted:
                matching.append(line)
            elif line and line.event == LIMIT_EVENT:
                limit_lines.append(line)
        if len(matching) > MAX_LINES_SHOWN:
            raise LavendergapError(
                f"more than {MAX_LINES_SHOWN} lines match {wanted!r}"
            )
    if not matching:
        raise LavendergapError(f"no line matches {wanted!r}")
    matching.sort(key=lambda line: line.time)
    if as_json:
        print_json([{"host": line.host, **line.fields} for line in matching])
        return
    rows = [
        (line.time, line.host, line.event, _format_fields(line, field))
        for line in matching
    ]
    print_table(("TIME", "HOST", "EVENT", "INPUTS"), rows)
    refusal = explain_refusal(matching, limit_lines) if field == "request_id" else None
    if refusal is not None:
        click.echo(f"\nCause: {refusal.cause}\nWhat to do: {refusal.remedy}")


def _format_fields(line: LogLine, wanted_field: str) -> str:
    known = {"time", "level", "logger", "event", wanted_field}
    return " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in known)


def _describe(stats: RequestStats) -> dict[str, Any]:
    return {
        "n_lines": stats.n_lines,
        "n_bad_lines": stats.n_bad_lines,
        "routes": {
            name: {
                "asked": route.n_asked,
                **{end.value: route.ends[end] for end in End},
                "partial": route.n_partial,
                "p50_ms": route.get_quantile_ms(0.5),
                "p99_ms": route.get_quantile_ms(0.99),
                "causes": dict(route.causes.most_common()),
            }
            for name, route in sorted(stats.routes.items())
        },
        "worst_seconds": {
            at: {
                "asked": second.n_asked,
                "lost": second.n_lost,
                "beliefs": dict(second.events.most_common()),
            }
            for at, second in stats.list_worst_seconds(N_SECONDS_SHOWN)
        },
    }


def _print(stats: RequestStats) -> None:
    rows = []
    causes = []
    for name, route in sorted(stats.routes.items()):
        ends = [route.ends[end] for end in End]
        quantiles = (route.get_quantile_ms(0.5), route.get_quantile_ms(0.99))
        rows.append((name, route.n_asked, *ends, route.n_partial, *quantiles))
        for cause, n_times in route.causes.most_common(N_CAUSES_SHOWN):
            causes.append((name, n_times, cause))
    print_table(_ROUTE_COLUMNS, rows)
    if causes:
        print_table(("ROUTE", "TIMES", "CAUSE"), causes)
    seconds = [
        (
            at,
            second.n_asked,
            second.n_lost,
            _format_events(second.events.most_common(4)),
        )
        for at, second in stats.list_worst_seconds(N_SECONDS_SHOWN)
    ]
    if seconds:
        print_table(
            ("WORST SECONDS", "ASKED", "LOST", "EVENTS WITHOUT A REQUEST"), seconds
        )
    if stats.n_bad_lines:
        print_note(f"{stats.n_bad_lines} lines are not log lines")


def _format_events(events: list[tuple[str, int]]) -> str:
    return ", ".join(f"{n_times} x {event}" for event, n_times in events)
