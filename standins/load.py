"""A load generator with bounded load that checks each answer and prints a summary."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import BinaryIO

import click
import msgspec
import trio

from .answers import (
    Outcome,
    SentRequest,
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
from .tally import Record, Summary, Tally

DEFAULT_DEADLINE_MS = 280
DEFAULT_GRACE_MS = 1_000
RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 5.0
# Outcomes that leave open whether a booking ran; it is retried with its ticket.
RETRIED_OUTCOMES = frozenset(
    {Outcome.CUT, Outcome.LOST, Outcome.REFUSED, Outcome.UNKNOWN}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenLoop:
    """Poisson arrivals at `rate` per second, independent of the answers."""

    rate: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClosedLoop:
    """Callers that each send their next request after the answer to their last.

    After a refusal, a caller waits for the time in its `retry_after_ms`.
    """

    n_callers: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Queries:
    """Queries to an idempotent service.

    `shares` holds the shards' shares by index version; without it, all shards are
    assumed to be of equal size.
    """

    shares: ShardShares | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Bookings:
    """Requests with a ticket, each run at most once.

    A caller without an outcome retries with its ticket, up to `n_retries` times.
    """

    n_retries: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The targets, size, rate and limits of a load.

    Sending stops after `n_requests` or `duration_s`, whichever comes first, and the
    load ends once each request has its outcome. In an open loop, a request that
    would exceed `max_in_flight` is skipped and counted. Without `deadline_ms`, no
    deadline header is sent and a deadline of 280 ms is assumed.
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


@dataclass(kw_only=True, slots=True)
class _Request:
    """A request in flight; `ticket` is kept for a booking's retries."""

    sent: SentRequest
    body: bytes
    ticket: str = ""


Observer = Callable[[Record], None]


async def run_load(plan: Plan, observe: Observer | None = None) -> Summary:
    """Send a load and return its summary; `observe` is called with each record.

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

    def _get_elapsed_s(self) -> float:
        return trio.current_time() - self._start

    async def run(self) -> Summary:
        """Send the load, wait for all outcomes and return the summary."""
        async with trio.open_nursery() as nursery:
            match self._plan.arrivals:
                case OpenLoop(rate=rate):
                    await self._send_open(rate, nursery)
                case ClosedLoop(n_callers=n_callers):
                    await self._run_callers(n_callers)
            sending_s = self._get_elapsed_s()
        self._tally.n_retries += self._balancer.n_retries
        return self._tally.summarise(
            sending_s=sending_s, duration_s=self._get_elapsed_s()
        )

    async def _run_callers(self, n_callers: int) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(n_callers):
                nursery.start_soon(self._send_closed)

    async def _send_open(self, rate: float, nursery: trio.Nursery) -> None:
        rng = random.Random(self._plan.seed)
        due_s = 0.0
        for number in range(self._plan.n_requests):
            due_s += rng.expovariate(rate)
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
            if self._get_elapsed_s() >= plan.duration_s:
                return
            number = self._tally.n_sent
            self._tally.n_sent += 1
            verdict = await self._send_one(number, self._get_elapsed_s())
            pause_s = min(MAX_RETRY_PAUSE_S, verdict.retry_after_ms / 1e3)
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
            ended_s=self._get_elapsed_s(),
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
            if verdict.outcome not in RETRIED_OUTCOMES:
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
    # Trailing spaces do not change the JSON value.
    body = body.ljust(plan.body_bytes)
    sent = SentRequest(
        request_id=query, service=plan.service, query=query, length=len(body)
    )
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
        snapshot["version"]: {
            shard["name"]: shard["share"] for shard in snapshot["shards"]
        }
        for snapshot in tree["snapshots"]
    }


@click.command()
@click.option(
    "--settings",
    type=click.Path(exists=True, path_type=Path),
    required=True,
    help="The settings file, which lists the entry hosts.",
)
@click.option("--service", "name", required=True, help="The service to call.")
@click.option("--rate", type=click.FloatRange(0.001), help="Arrivals per second.")
@click.option("--callers", type=click.IntRange(1, 5_000), help="Closed-loop callers.")
@click.option("--count", type=click.IntRange(1), default=1_000, show_default=True)
@click.option("--duration", type=click.FloatRange(0), default=10.0, show_default=True)
@click.option("--deadline-ms", type=click.IntRange(1))
@click.option("--body-bytes", type=click.IntRange(0, 1_000_000), default=0)
@click.option("--retries", type=click.IntRange(0, 20), default=0, show_default=True)
@click.option("--index", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--records", type=click.Path(path_type=Path), help="Output file, in JSON lines."
)
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
    all shards of a service are assumed to be of equal size. --retries applies to
    bookings, whose callers retry with their ticket.
    """
    if (rate is None) == (callers is None):
        raise click.UsageError("give either --rate or --callers")
    deployment = read_settings(settings)
    service = deployment.get_service(name)
    if service is None:
        raise click.UsageError(f"there is no service {name!r} in {settings}")
    shares = read_shares(index.read_bytes()) if index else None
    plan = Plan(
        entries=tuple(
            EntryPorts(callers=host.callers, admin=host.admin)
            for host in deployment.hosts
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
