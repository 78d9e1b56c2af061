"""Statistics of callers' requests from the hosts' logs: results, latency, causes.

Lines of different hosts may come in any order. Memory use depends on the number of
requests in progress, not on the length of the logs.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from .loglines import LogLine

MAX_OPEN_REQUESTS = 50_000
"""Traces kept of requests without a final line. Hosts' files are read one after the
other, so an owner's lines may come long before the coordinator's final one."""

MAX_DURATION_MS = 60_000
"""Longer durations, in milliseconds, are counted as this one."""


class End(StrEnum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


@dataclass(slots=True)
class RequestTrace:
    """The logged events of one request from which its cause is derived."""

    lost_owners: list[str] = field(default_factory=list)
    withheld: Counter[str] = field(default_factory=Counter)
    n_hedges: int = 0
    n_retries: int = 0
    n_queued: int = 0


@dataclass(slots=True)
class RouteStats:
    """The requests of one route."""

    ends: Counter[End] = field(default_factory=Counter)
    n_partial: int = 0
    ms: Counter[int] = field(default_factory=Counter)
    causes: Counter[str] = field(default_factory=Counter)

    @property
    def n_asked(self) -> int:
        """The number of requests that ended."""
        return self.ends.total()

    def get_quantile_ms(self, share: float) -> int:
        """Return the milliseconds within which `share` of the requests ended."""
        wanted = share * self.ms.total()
        n_seen = 0
        for ms in sorted(self.ms):
            n_seen += self.ms[ms]
            if n_seen >= wanted:
                return ms
        return 0


@dataclass(slots=True)
class SecondCounts:
    """One second of all hosts: requests, losses and events without a request."""

    n_asked: int = 0
    n_lost: int = 0
    events: Counter[str] = field(default_factory=Counter)


class RequestStats:
    """Counts requests by route, by cause and by second."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteStats] = {}
        self.seconds: dict[str, SecondCounts] = {}
        self.n_lines = 0
        self.n_bad_lines = 0
        self._open_traces: OrderedDict[str, RequestTrace] = OrderedDict()

    def count_bad_line(self) -> None:
        """Count a line that is not a valid log line."""
        self.n_bad_lines += 1

    def count_line(self, line: LogLine) -> None:
        """Count one line."""
        self.n_lines += 1
        if not line.request_id:
            if line.event:
                self._get_second_counts(line).events[line.event] += 1
            return
        match line.event:
            case "done":
                self._count_end(
                    line, self._open_traces.pop(line.request_id, RequestTrace())
                )
            case "caller left":
                self._open_traces.pop(line.request_id, None)
                self._get_route(line).ends[End.LEFT] += 1
                self._get_second_counts(line).n_asked += 1
            case "key refused":
                self._count_key_refusal(line)
            case _:
                self._update_trace(line)

    def _update_trace(self, line: LogLine) -> None:
        trace = self._open_traces.setdefault(line.request_id, RequestTrace())
        match line.event:
            case "owner lost":
                trace.lost_owners.append(str(line.fields.get("host", "")))
            case "hedge withheld":
                trace.withheld[str(line.fields.get("why", ""))] += 1
            case "hedge":
                trace.n_hedges += 1
            case "retry":
                trace.n_retries += 1
            case "plan":
                trace.n_queued += _read_int(line.fields, "n_queued")
        if len(self._open_traces) > MAX_OPEN_REQUESTS:
            self._open_traces.popitem(last=False)

    def _count_end(self, line: LogLine, trace: RequestTrace) -> None:
        end = classify_end(line)
        route = self._get_route(line)
        route.ends[end] += 1
        route.ms[min(MAX_DURATION_MS, int(_read_number(line.fields, "ms")))] += 1
        is_partial = _read_int(line.fields, "n_missing") > 0
        route.n_partial += is_partial
        second = self._get_second_counts(line)
        second.n_asked += 1
        if end is not End.IN_TIME:
            second.n_lost += 1
        if end is not End.IN_TIME or is_partial:
            route.causes[f"{end}: {find_cause(line, trace)}"] += 1

    def _count_key_refusal(self, line: LogLine) -> None:
        # A request without a valid key ends here; it has no "done" line.
        route = self._get_route(line)
        route.ends[End.REFUSED] += 1
        why = line.fields.get("why", "?")
        route.causes[f"{End.REFUSED}: key refused ({why})"] += 1
        second = self._get_second_counts(line)
        second.n_asked += 1
        second.n_lost += 1

    def _get_route(self, line: LogLine) -> RouteStats:
        return self.routes.setdefault(str(line.fields.get("route", "")), RouteStats())

    def _get_second_counts(self, line: LogLine) -> SecondCounts:
        return self.seconds.setdefault(line.time[:19], SecondCounts())

    def list_worst_seconds(self, n_wanted: int) -> list[tuple[str, SecondCounts]]:
        """Return the `n_wanted` seconds with the most lost requests, in time order."""
        with_losses = [(at, each) for at, each in self.seconds.items() if each.n_lost]
        with_losses.sort(key=lambda pair: (-pair[1].n_lost, pair[0]))
        return sorted(with_losses[:n_wanted], key=lambda pair: pair[0])


def classify_end(line: LogLine) -> End:
    """Return how a request ended, according to its final line."""
    match str(line.fields.get("outcome", "")):
        case "answered" | "partly answered":
            ms = _read_number(line.fields, "ms")
            is_late = ms > _read_number(line.fields, "goal_ms")
            return End.LATE if is_late else End.IN_TIME
        case "not run":
            return End.REFUSED
        case _:
            return End.FAILED


def find_cause(line: LogLine, trace: RequestTrace) -> str:
    """Return the most likely cause of a delay, a failure or missing shards."""
    fields = line.fields
    if fields.get("reason"):
        return f"{fields['reason']} in {fields.get('step', '?')}"
    if trace.lost_owners:
        return "owner lost"
    missing = fields.get("missing")
    reasons = Counter(
        str(each).partition(": ")[2].partition(" at ")[0]
        for each in (missing if isinstance(missing, list) else ())
    )
    if reasons:
        reason = reasons.most_common(1)[0][0]
        if trace.withheld:
            why = trace.withheld.most_common(1)[0][0]
            return f"shards missing: {reason}, hedge withheld: {why}"
        return f"shards missing: {reason}"
    if trace.n_queued:
        return "waited for a slot"
    if trace.n_hedges or trace.n_retries:
        return "slow servers, asked again"
    return "the host itself, or one slow server"


def _read_number(fields: dict[str, Any], name: str) -> float:
    value = fields.get(name, 0)
    return float(value) if isinstance(value, int | float) else 0.0


def _read_int(fields: dict[str, Any], name: str) -> int:
    return int(_read_number(fields, name))
