"""A bounded load of callers, which checks each answer and sums up what came."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import BinaryIO

import click
import msgspec
import trio
from hdrh.histogram import HdrHistogram

from .answers import (
    Outcome,
    Sent,
    ShardShares,
    Verdict,
    check_booking,
    check_query,
    check_ticket,
)
from .balancer import Balancer, EntryPorts, NoHostError
from .client import Answer, LostConnectionError
from .fleet import read_settings
from .process import run_to_end

DEFAULT_DEADLINE_MS = 280
DEFAULT_GRACE_MS = 1_000
RETRY_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
MAX_REASONS = 50
MAX_SAMPLES = 5
MAX_TRACKED_US = 600_000_000
OTHER = "other"
WITHOUT_OUTCOME = frozenset(
    {Outcome.CUT, Outcome.LOST, Outcome.REFUSED, Outcome.UNKNOWN}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenLoop:
    """Poisson arrivals at `rate` a second, whatever becomes of them."""

    rate: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClosedLoop:
    """Callers of whom each sends its next request after the answer to its last.

    A refused caller waits as long as it was told to.
    """

    n_callers: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Queries:
    """Queries of an idempotent service.

    `shares` gives the shards' shares by index version; without it they are taken
    to be equal.
    """

    shares: ShardShares | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Bookings:
    """Requests against a ticket, each run at most once.

    A caller that got no outcome asks again with its ticket, `n_retries` times.
    """

    n_retries: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """A load: to whom, how much, how fast, and until when.

    It ends after `n_requests` or `duration_s` of sending, whichever comes first,
    once each request has its outcome. A request of an open loop beyond
    `max_in_flight` is skipped and counted as such. Without `deadline_ms` the
    header is not sent and 280 ms are assumed.
    """

    entries: tuple[EntryPorts, ...]
    service: str
    arrivals: OpenLoop | ClosedLoop
    work: Queries | Bookings
    n_requests: int
    duration_s: float
    seed: int = 1
    deadline_ms: int | None = None
    grace_ms: int = DEFAULT_GRACE_MS
    body_bytes: int = 0
    max_in_flight: int = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One request and its outcome; times in seconds from the load's start."""

    query: str
    ticket: str
    outcome: Outcome
    reason: str
    share: float | None
    due_s: float
    ended_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """What a load came to. Latencies are those of answers, whole or in part.

    An open loop counts them from the moment when the request was due, so that a
    slow sender cannot hide them. `mean_share` is over all answers, those that
    cover nothing included. `worst_gap_ms` is the longest stretch of sending time
    without an answer. `reasons` counts all outcomes but whole answers.
    """

    sent: int
    skipped: int
    answered: int
    partly: int
    uncovered: int
    not_run: int
    unknown: int
    wrong: int
    lost: int
    cut: int
    refused: int
    rejected: int
    retries: int
    duration_s: float
    answers_per_s: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float
    refusal_p50_ms: float
    refusal_p99_ms: float
    refusal_max_ms: float
    mean_share: float
    min_share: float
    worst_gap_ms: float
    reasons: dict[str, int]
    wrong_samples: tuple[str, ...]


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TRACKED_US, 3)


class Tally:
    """Counts outcomes as they come and makes the summary of them."""

    def __init__(self) -> None:
        self.n_sent = 0
        self.n_skipped = 0
        self.n_retries = 0
        self._outcomes: Counter[Outcome] = Counter()
        self._reasons: Counter[str] = Counter()
        self._samples: list[str] = []
        self._latencies = _make_histogram()
        self._refusals = _make_histogram()
        self._n_shares = 0
        self._share_sum = 0.0
        self._min_share = 1.0
        self._last_answer_s = 0.0
        self._worst_gap_s = 0.0

    def add(self, record: Record) -> None:
        """Count one request's outcome."""
        self._outcomes[record.outcome] += 1
        took_us = max(1, round((record.ended_s - record.due_s) * 1e6))
        match record.outcome:
            case Outcome.ANSWERED | Outcome.PARTLY:
                self._latencies.record_value(took_us)
                self._close_gap(record.ended_s)
            case Outcome.NOT_RUN:
                self._refusals.record_value(took_us)
            case Outcome.WRONG if len(self._samples) < MAX_SAMPLES:
                self._samples.append(f"{record.query}: {record.reason}")
        if record.outcome is not Outcome.ANSWERED:
            self._add_reason(f"{record.outcome}: {record.reason}")
        if record.share is not None:
            self._n_shares += 1
            self._share_sum += record.share
            self._min_share = min(self._min_share, record.share)

    def _add_reason(self, reason: str) -> None:
        is_full = len(self._reasons) >= MAX_REASONS and reason not in self._reasons
        self._reasons[OTHER if is_full else reason] += 1

    def _close_gap(self, at_s: float) -> None:
        self._worst_gap_s = max(self._worst_gap_s, at_s - self._last_answer_s)
        self._last_answer_s = max(self._last_answer_s, at_s)

    def sum_up(self, *, sending_s: float, duration_s: float) -> Summary:
        """Make the summary; sending ended after `sending_s`, all after `duration_s`."""
        self._close_gap(max(sending_s, self._last_answer_s))
        counts = self._outcomes
        n_answers = counts[Outcome.ANSWERED] + counts[Outcome.PARTLY]
        return Summary(
            sent=self.n_sent,
            skipped=self.n_skipped,
            **{str(outcome): counts[outcome] for outcome in Outcome},
            retries=self.n_retries,
            duration_s=round(duration_s, 3),
            answers_per_s=round(n_answers / duration_s, 2) if duration_s else 0.0,
            p50_ms=_get_ms(self._latencies, 50),
            p90_ms=_get_ms(self._latencies, 90),
            p99_ms=_get_ms(self._latencies, 99),
            max_ms=_get_ms(self._latencies, 100),
            refusal_p50_ms=_get_ms(self._refusals, 50),
            refusal_p99_ms=_get_ms(self._refusals, 99),
            refusal_max_ms=_get_ms(self._refusals, 100),
            mean_share=round(self._share_sum / max(1, self._n_shares), 6),
            min_share=self._min_share if self._n_shares else 0.0,
            worst_gap_ms=round(self._worst_gap_s * 1e3, 1),
            reasons=dict(self._reasons.most_common()),
            wrong_samples=tuple(self._samples),
        )


def _get_ms(histogram: HdrHistogram, percentile: float) -> float:
    return round(float(histogram.get_value_at_percentile(percentile)) / 1e3, 2)


@dataclass(kw_only=True, slots=True)
class _Request:
    """A request on its way; a booking's ticket is kept for its retries."""

    sent: Sent
    body: bytes
    ticket: str = ""


Observer = Callable[[Record], None]


async def run_load(plan: Plan, observe: Observer | None = None) -> Summary:
    """Send a load and return its summary; `observe` is shown each record.

    summary = await run_load(plan)
    assert summary.wrong == 0
    """
    async with trio.open_nursery() as nursery:
        balancer = Balancer(entries=plan.entries)
        await nursery.start(balancer.run)
        load = _Load(plan=plan, balancer=balancer, observe=observe)
        summary = await load.run()
        nursery.cancel_scope.cancel()
    return summary


class _Load:
    def __init__(self, *, plan: Plan, balancer: Balancer, observe: Observer | None):
        self._plan = plan
        self._balancer = balancer
        self._observe = observe
        self._tally = Tally()
        self._start = trio.current_time()
        self._n_in_flight = 0

    def _get_time(self) -> float:
        return trio.current_time() - self._start

    async def run(self) -> Summary:
        """Send everything, wait for all outcomes, sum up."""
        async with trio.open_nursery() as nursery:
            match self._plan.arrivals:
                case OpenLoop(rate=rate):
                    await self._send_open(rate, nursery)
                case ClosedLoop(n_callers=n_callers):
                    await self._run_callers(n_callers)
            sending_s = self._get_time()
        self._tally.n_retries += self._balancer.n_retries
        return self._tally.sum_up(sending_s=sending_s, duration_s=self._get_time())

    async def _run_callers(self, n_callers: int) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(n_callers):
                nursery.start_soon(self._send_closed)

    async def _send_open(self, rate: float, nursery: trio.Nursery) -> None:
        chance = random.Random(self._plan.seed)
        due_s = 0.0
        for number in range(self._plan.n_requests):
            due_s += chance.expovariate(rate)
            if due_s > self._plan.duration_s:
                await trio.sleep_until(self._start + self._plan.duration_s)
                return
            await trio.sleep_until(self._start + due_s)
            if self._n_in_flight >= self._plan.max_in_flight:
                self._tally.n_skipped += 1
                continue
            self._tally.n_sent += 1
            nursery.start_soon(self._send_one, number, due_s)

    async def _send_closed(self) -> None:
        plan = self._plan
        while self._tally.n_sent < plan.n_requests:
            if self._get_time() >= plan.duration_s:
                return
            number = self._tally.n_sent
            self._tally.n_sent += 1
            verdict = await self._send_one(number, self._get_time())
            pause_s = min(MAX_PAUSE_S, verdict.retry_after_ms / 1e3)
            if verdict.outcome is Outcome.REFUSED:
                pause_s = RETRY_PAUSE_S
            await trio.sleep(pause_s)

    async def _send_one(self, number: int, due_s: float) -> Verdict:
        self._n_in_flight += 1
        try:
            request = _make_request(self._plan, number)
            match self._plan.work:
                case Queries(shares=shares):
                    verdict = await self._query(request, shares)
                case Bookings(n_retries=n_retries):
                    verdict = await self._book(request, n_retries)
        finally:
            self._n_in_flight -= 1
        record = Record(
            query=request.sent.query,
            ticket=request.ticket,
            outcome=verdict.outcome,
            reason=verdict.reason,
            share=verdict.share,
            due_s=due_s,
            ended_s=self._get_time(),
        )
        self._tally.add(record)
        if self._observe is not None:
            self._observe(record)
        return verdict

    async def _query(self, request: _Request, shares: ShardShares | None) -> Verdict:
        answer = await self._post(request, "query", may_repeat=True)
        if isinstance(answer, Verdict):
            return answer
        return check_query(answer, request.sent, shares)

    async def _book(self, request: _Request, n_retries: int) -> Verdict:
        verdict = await self._try_booking(request)
        for _ in range(n_retries):
            if verdict.outcome not in WITHOUT_OUTCOME:
                break
            self._tally.n_retries += 1
            await trio.sleep(RETRY_PAUSE_S)
            verdict = await self._try_booking(request)
        return verdict

    async def _try_booking(self, request: _Request) -> Verdict:
        if not request.ticket:
            answer = await self._post(request, "tickets")
            if isinstance(answer, Verdict):
                return answer
            ticket = check_ticket(answer, request.sent)
            if isinstance(ticket, Verdict):
                return ticket
            request.ticket = ticket
        answer = await self._post(request, "requests")
        if isinstance(answer, Verdict):
            return answer
        return check_booking(answer, request.sent)

    async def _post(
        self, request: _Request, call: str, *, may_repeat: bool = False
    ) -> Answer | Verdict:
        plan = self._plan
        deadline_ms = plan.deadline_ms or DEFAULT_DEADLINE_MS
        with trio.move_on_after((deadline_ms + plan.grace_ms) / 1e3):
            try:
                return await self._balancer.send(
                    "POST",
                    f"/v1/services/{plan.service}/{call}",
                    headers=_make_headers(plan, request),
                    body=request.body,
                    may_repeat=may_repeat,
                )
            except NoHostError:
                return Verdict(outcome=Outcome.REFUSED, reason=f"{call}: no host")
            except LostConnectionError as error:
                when = "in the answer" if error.has_answer_bytes else "before it"
                return Verdict(outcome=Outcome.CUT, reason=f"{call}: {when}")
        return Verdict(outcome=Outcome.LOST, reason=f"{call}: no answer in time")


def _make_request(plan: Plan, number: int) -> _Request:
    query = f"q{plan.seed}-{number}"
    body = msgspec.json.encode({"query": query})
    # Spaces after the value leave it the same JSON.
    body = body.ljust(plan.body_bytes)
    sent = Sent(request_id=query, service=plan.service, query=query, length=len(body))
    return _Request(sent=sent, body=body)


def _make_headers(plan: Plan, request: _Request) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        "Request-Id": request.sent.request_id,
    }
    if plan.deadline_ms is not None:
        headers["Deadline-Ms"] = str(plan.deadline_ms)
    if request.ticket:
        headers["Ticket"] = request.ticket
    return headers


def read_shares(index: bytes) -> ShardShares:
    """Return the shards' shares by version from the value of `index/SERVICE`."""
    tree = msgspec.json.decode(index)
    return {
        snapshot["version"]: {one["name"]: one["share"] for one in snapshot["shards"]}
        for snapshot in tree["snapshots"]
    }


@click.command()
@click.option(
    "--settings",
    type=click.Path(exists=True, path_type=Path),
    required=True,
    help="The settings file; its hosts are the balancer's.",
)
@click.option("--service", "name", required=True, help="The service to call.")
@click.option("--rate", type=click.FloatRange(0.001), help="Arrivals a second.")
@click.option("--callers", type=click.IntRange(1, 5_000), help="Closed-loop callers.")
@click.option("--count", type=click.IntRange(1), default=1_000, show_default=True)
@click.option("--duration", type=click.FloatRange(0), default=10.0, show_default=True)
@click.option("--deadline-ms", type=click.IntRange(1))
@click.option("--body-bytes", type=click.IntRange(0, 1_000_000), default=0)
@click.option("--retries", type=click.IntRange(0, 20), default=0, show_default=True)
@click.option("--index", type=click.Path(exists=True, path_type=Path))
@click.option("--records", type=click.Path(path_type=Path), help="JSON lines go here.")
@click.option("--seed", type=int, default=1, show_default=True)
def main(
    settings: Path,
    name: str,
    rate: float | None,
    callers: int | None,
    count: int,
    duration: float,
    deadline_ms: int | None,
    body_bytes: int,
    retries: int,
    index: Path | None,
    records: Path | None,
    seed: int,
) -> None:
    """Send a bounded load to all entry hosts of a settings file; print a summary.

    Give --rate for an open loop or --callers for a closed one. Without --index,
    the shards of a service are taken to be of equal size; --retries is for
    bookings, whose callers ask again with their ticket.
    """
    if (rate is None) == (callers is None):
        raise click.UsageError("give either --rate or --callers")
    read = read_settings(settings)
    service = read.get_service(name)
    if service is None:
        raise click.UsageError(f"there is no service {name!r} in {settings}")
    shares = read_shares(index.read_bytes()) if index else None
    plan = Plan(
        entries=tuple(
            EntryPorts(callers=host.callers, admin=host.admin) for host in read.hosts
        ),
        service=name,
        arrivals=OpenLoop(rate=rate) if rate else ClosedLoop(n_callers=callers or 1),
        work=Queries(shares=shares)
        if service.idempotent
        else Bookings(n_retries=retries),
        n_requests=count,
        duration_s=duration,
        seed=seed,
        deadline_ms=deadline_ms or service.deadline_ms,
        body_bytes=body_bytes,
    )
    run_to_end(_run_and_print, plan, records)


async def _run_and_print(plan: Plan, records: Path | None) -> None:
    if records is None:
        summary = await run_load(plan)
    else:
        with records.open("wb") as file:
            summary = await run_load(plan, partial(_write_record, file))
    print(msgspec.json.encode(summary).decode(), flush=True)


def _write_record(file: BinaryIO, record: Record) -> None:
    file.write(msgspec.json.encode(record) + b"\n")


if __name__ == "__main__":
    main()
