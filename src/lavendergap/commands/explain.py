"""`lavendergap explain`: from the hosts' logs to what callers got, and why."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from ..errors import LavendergapError
from ..protocol.account import Account, End
from ..protocol.loglines import LogLine, read_line
from .console import print_json, print_note, print_table
from .options import take_json

MAX_STORY = 10_000
"""Lines of one request that are shown; a search over 500 shards leaves some hundred."""

N_CAUSES = 5
N_SECONDS = 8

_ROUTES = ("ROUTE", "ASKED", *map(str.upper, End), "PARTIAL", "P50 MS", "P99 MS")


@click.command()
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace", lazy=True))
@click.option(
    "--request", "request_id", metavar="ID", help="Tell this request's story."
)
@click.option(
    "--content", metavar="ID", help="Tell what spoke against a content, and when."
)
@take_json
def explain(
    logs: tuple[Any, ...], request_id: str | None, content: str | None, as_json: bool
) -> None:
    """Tell from LOGS what became of callers' requests, and why.

    LOGS are the JSON lines of any number of hosts, in files or, as `-`, on standard
    input. Shown are, by route, how requests ended and where the lost ones lost their
    time; the seconds in which most were lost; with --request the lines of one request
    on all hosts, in their order; with --content, as `done` names it, those of all
    requests of one content under which servers ended.
    """
    if not logs:
        raise click.UsageError("name the hosts' log files, or - for standard input")
    if request_id is not None:
        _tell_story(logs, "request_id", request_id, as_json=as_json)
        return
    if content is not None:
        _tell_story(logs, "content", content, as_json=as_json)
        return
    account = Account()
    for line in _read(logs):
        if line is None:
            account.note_bad()
        else:
            account.note(line)
    if not account.routes:
        raise LavendergapError(
            f"no request has ended in {account.n_lines} lines, {account.n_bad} others; "
            "are these the logs of gateway hosts?"
        )
    if as_json:
        print_json(_describe(account))
    else:
        _print(account)


def _read(logs: tuple[Any, ...]) -> Iterator[LogLine | None]:
    for log in logs:
        host = Path(log.name).stem
        for text in log:
            if text.strip():
                yield read_line(text, host=host)


def _tell_story(
    logs: tuple[Any, ...], field: str, wanted: str, *, as_json: bool
) -> None:
    story = []
    # Most lines are of other requests; those are not decoded.
    for log in logs:
        host = Path(log.name).stem
        found = (read_line(text, host=host) for text in log if wanted in text)
        story += [line for line in found if line and line.fields.get(field) == wanted]
        if len(story) > MAX_STORY:
            raise LavendergapError(f"over {MAX_STORY} lines tell of {wanted!r}")
    if not story:
        raise LavendergapError(f"no line tells of {wanted!r}")
    story.sort(key=lambda line: line.time)
    if as_json:
        print_json([{"host": line.host, **line.fields} for line in story])
        return
    rows = [(line.time, line.host, line.event, _join(line, field)) for line in story]
    print_table(("TIME", "HOST", "EVENT", "INPUTS"), rows)


def _join(line: LogLine, wanted_field: str) -> str:
    known = {"time", "level", "logger", "event", wanted_field}
    return " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in known)


def _describe(account: Account) -> dict[str, Any]:
    return {
        "n_lines": account.n_lines,
        "n_bad_lines": account.n_bad,
        "routes": {
            name: {
                "asked": route.n_asked,
                **{end.value: route.ends[end] for end in End},
                "partial": route.n_partial,
                "p50_ms": route.get_quantile_ms(0.5),
                "p99_ms": route.get_quantile_ms(0.99),
                "causes": dict(route.causes.most_common()),
            }
            for name, route in sorted(account.routes.items())
        },
        "worst_seconds": {
            at: {
                "asked": second.n_asked,
                "lost": second.n_lost,
                "beliefs": dict(second.beliefs.most_common()),
            }
            for at, second in account.list_worst_seconds(N_SECONDS)
        },
    }


def _print(account: Account) -> None:
    rows = []
    causes = []
    for name, route in sorted(account.routes.items()):
        ends = [route.ends[end] for end in End]
        quantiles = (route.get_quantile_ms(0.5), route.get_quantile_ms(0.99))
        rows.append((name, route.n_asked, *ends, route.n_partial, *quantiles))
        for cause, n_times in route.causes.most_common(N_CAUSES):
            causes.append((name, n_times, cause))
    print_table(_ROUTES, rows)
    if causes:
        print_table(("ROUTE", "TIMES", "CAUSE"), causes)
    seconds = [
        (
            at,
            second.n_asked,
            second.n_lost,
            _join_beliefs(second.beliefs.most_common(4)),
        )
        for at, second in account.list_worst_seconds(N_SECONDS)
    ]
    if seconds:
        print_table(("WORST SECONDS", "ASKED", "LOST", "BELIEFS THAT CHANGED"), seconds)
    if account.n_bad:
        print_note(f"{account.n_bad} lines were no log lines")


def _join_beliefs(beliefs: list[tuple[str, int]]) -> str:
    return ", ".join(f"{n_times} x {event}" for event, n_times in beliefs)
