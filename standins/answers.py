"""Checks the answers that callers receive, for the load tool."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from .client import Answer

SHARE_TOLERANCE = 1e-5

ShardShares = Mapping[int, Mapping[str, float]]
"""The share of the library in each shard, by index version and shard name."""


class Outcome(StrEnum):
    """The outcome of a request, as the load tool counts it.

    `UNCOVERED` is an answer that covers no shard, `WRONG` an answer that fails a
    check and `REJECTED` a 4xx or 500 reply. `CUT` means that the connection ended
    before the whole answer, `LOST` that no answer came by the deadline plus the
    grace period, and `REFUSED` that no entry host accepted the connection.
    """

    ANSWERED = "answered"
    PARTLY = "partly"
    UNCOVERED = "uncovered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    LOST = "lost"
    CUT = "cut"
    REFUSED = "refused"
    REJECTED = "rejected"


@dataclass(frozen=True, kw_only=True, slots=True)
class SentRequest:
    """The parts of a request that its answer is checked against."""

    request_id: str
    service: str
    query: str
    length: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """An outcome with its reason and, for an answer, the covered share."""

    outcome: Outcome
    reason: str = ""
    share: float | None = None
    retry_after_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Snapshot:
    service: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Missing:
    shard: str
    reason: str
    step: str
    peer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Coverage:
    asked: int
    answered: int
    share: float
    missing: list[_Missing]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Result:
    """A result of the backend stand-in; see `standins.result.Result`."""

    shard: str
    version: int
    server: str
    query: str | None
    length: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _ShardResult:
    shard: str
    result: _Result


@dataclass(frozen=True, kw_only=True, slots=True)
class _QueryAnswer:
    request_id: str
    outcome: str
    snapshot: _Snapshot
    coverage: _Coverage
    results: list[_ShardResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class _BookingAnswer:
    request_id: str
    outcome: str
    result: _Result


@dataclass(frozen=True, kw_only=True, slots=True)
class _TicketAnswer:
    ticket: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Refusal:
    request_id: str
    outcome: str
    step: str
    peer: str
    reason: str
    retry_after_ms: int


class _WrongAnswerError(Exception):
    """The answer fails a check; the message says which."""


def check_query(
    answer: Answer, sent: SentRequest, shares: ShardShares | None = None
) -> Verdict:
    """Check and classify the answer to a query.

    Without `shares`, all shards of a snapshot are assumed to be of equal size.
    """
    try:
        match answer.status:
            case 200 | 504 if b'"coverage"' in answer.body:
                query_answer = _decode(answer, _QueryAnswer)
                _check_query_answer(query_answer, sent, shares)
                return _classify_coverage(query_answer)
            case 503 | 504:
                return _classify_refusal(answer, sent)
    except _WrongAnswerError as error:
        return Verdict(outcome=Outcome.WRONG, reason=str(error))
    return Verdict(outcome=Outcome.REJECTED, reason=_describe(answer))


def check_ticket(answer: Answer, sent: SentRequest) -> str | Verdict:
    """Return the issued ticket, or the verdict if there is none."""
    try:
        match answer.status:
            case 201:
                ticket: str = _decode(answer, _TicketAnswer).ticket
                return ticket
            case 503:
                return _classify_refusal(answer, sent)
    except _WrongAnswerError as error:
        return Verdict(outcome=Outcome.WRONG, reason=str(error))
    return Verdict(outcome=Outcome.REJECTED, reason=_describe(answer))


def check_booking(answer: Answer, sent: SentRequest) -> Verdict:
    """Check and classify the answer to a booking, which was sent with a ticket."""
    try:
        match answer.status:
            case 200:
                booking = _decode(answer, _BookingAnswer)
                _expect(booking.request_id, sent.request_id, "request_id")
                _expect(booking.outcome, "answered", "outcome")
                _check_result(booking.result, sent)
                return Verdict(outcome=Outcome.ANSWERED)
            case 503 | 504:
                return _classify_refusal(answer, sent)
    except _WrongAnswerError as error:
        return Verdict(outcome=Outcome.WRONG, reason=str(error))
    return Verdict(outcome=Outcome.REJECTED, reason=_describe(answer))


def _decode(answer: Answer, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as error:
        raise _WrongAnswerError(f"malformed answer: {error}") from error


def _expect(found: object, expected: object, what: str) -> None:
    if found != expected:
        raise _WrongAnswerError(f"{what} is {found!r} instead of {expected!r}")


def _check_result(result: _Result, sent: SentRequest) -> None:
    _expect(result.query, sent.query, "a result's query")
    _expect(result.length, sent.length, "a result's body length")


def _check_query_answer(
    answer: _QueryAnswer, sent: SentRequest, shares: ShardShares | None
) -> None:
    _expect(answer.request_id, sent.request_id, "request_id")
    _expect(answer.snapshot.service, sent.service, "the snapshot's service")
    for item in answer.results:
        _check_result(item.result, sent)
        _expect(item.result.shard, item.shard, "a result's shard")
        _expect(item.result.version, answer.snapshot.version, "a result's version")
    _check_coverage(answer, shares)


def _check_coverage(answer: _QueryAnswer, shares: ShardShares | None) -> None:
    coverage = answer.coverage
    answered = {result.shard for result in answer.results}
    missing = {shard.shard for shard in coverage.missing}
    _expect(len(answered), len(answer.results), "the number of distinct shards")
    _expect(len(missing), len(coverage.missing), "the number of missing shards")
    _expect(answered & missing, set(), "the set of shards both answered and missing")
    _expect(coverage.answered, len(answered), "coverage.answered")
    _expect(coverage.asked, len(answered) + len(missing), "coverage.asked")
    is_complete = not missing
    _expect(answer.outcome, "answered" if is_complete else "partly answered", "outcome")
    if shares is None:
        share = len(answered) / max(1, coverage.asked)
    else:
        share = _sum_shares(shares, answer.snapshot.version, answered, missing)
    if abs(coverage.share - share) > SHARE_TOLERANCE:
        raise _WrongAnswerError(f"share is {coverage.share} instead of {share:.6f}")


def _sum_shares(
    shares: ShardShares, version: int, answered: set[str], missing: set[str]
) -> float:
    if version not in shares:
        raise _WrongAnswerError(f"snapshot {version} was never published")
    by_shard = shares[version]
    _expect(answered | missing, set(by_shard), "the set of shards asked")
    return sum(by_shard[shard] for shard in answered)


def _classify_coverage(answer: _QueryAnswer) -> Verdict:
    coverage = answer.coverage
    if coverage.answered == 0:
        outcome = Outcome.UNCOVERED
    elif coverage.missing:
        outcome = Outcome.PARTLY
    else:
        outcome = Outcome.ANSWERED
    reasons = sorted({f"{shard.step}: {shard.reason}" for shard in coverage.missing})
    return Verdict(outcome=outcome, reason=", ".join(reasons), share=coverage.share)


def _classify_refusal(answer: Answer, sent: SentRequest) -> Verdict:
    refusal = _decode(answer, _Refusal)
    _expect(refusal.request_id, sent.request_id, "request_id")
    is_not_run = answer.status == 503
    _expect(refusal.outcome, "not run" if is_not_run else "unknown", "outcome")
    if is_not_run and "retry-after" not in answer.headers:
        raise _WrongAnswerError("a refusal without Retry-After")
    return Verdict(
        outcome=Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN,
        reason=f"{refusal.step}: {refusal.reason}",
        retry_after_ms=refusal.retry_after_ms,
    )


def _describe(answer: Answer) -> str:
    return f"status {answer.status}: {answer.body[:120].decode(errors='replace')}"
