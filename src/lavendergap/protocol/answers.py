"""The JSON that callers get, built from typed outcomes."""

from dataclasses import dataclass

import msgspec

from ..state.outcome import Coverage, NotRun, Outcome, Unknown

RETRY_AFTER_DEFAULT_MS = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardResult:
    """What one shard answered, as the JSON text that its server sent."""

    shard: str
    result: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchResult:
    """A query's answer: `outcome` is "answered" only when all shards are covered."""

    request_id: str
    service: str
    version: int
    coverage: Coverage
    results: tuple[ShardResult, ...]

    @property
    def is_whole(self) -> bool:
        """Whether every shard of the snapshot has answered."""
        return self.coverage.n_answered == self.coverage.n_asked


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A request that has no answer: `outcome` is NotRun or Unknown."""

    request_id: str
    outcome: NotRun | Unknown


class SnapshotBody(msgspec.Struct):
    """Which snapshot an answer is from."""

    service: str
    version: int


class MissingBody(msgspec.Struct):
    """A shard that is not covered."""

    shard: str
    reason: str
    step: str
    peer: str


class CoverageBody(msgspec.Struct):
    """How much of the snapshot an answer covers."""

    asked: int
    answered: int
    share: float
    missing: list[MissingBody]


class ResultBody(msgspec.Struct):
    """One shard's result."""

    shard: str
    result: msgspec.Raw


class SearchBody(msgspec.Struct):
    """The body of an answer to a query."""

    request_id: str
    outcome: str
    snapshot: SnapshotBody
    coverage: CoverageBody
    results: list[ResultBody]


class RefusalBody(msgspec.Struct):
    """The body of a request that was not run, or of which nothing is known."""

    request_id: str
    outcome: str
    step: str
    peer: str
    reason: str
    retry_after_ms: int


class ErrorBody(msgspec.Struct):
    """The body of an answer to bad input."""

    error: str


_encode = msgspec.json.Encoder().encode


def encode_search(result: SearchResult) -> bytes:
    """Return the JSON body of an answer to a query."""
    coverage = result.coverage
    return _encode(
        SearchBody(
            request_id=result.request_id,
            outcome="answered" if result.is_whole else "partly answered",
            snapshot=SnapshotBody(service=result.service, version=result.version),
            coverage=CoverageBody(
                asked=coverage.n_asked,
                answered=coverage.n_answered,
                share=round(coverage.share, 6),
                missing=[
                    MissingBody(
                        shard=m.shard,
                        reason=m.reason.value,
                        step=m.step.value,
                        peer=m.peer,
                    )
                    for m in coverage.missing
                ],
            ),
            results=[
                ResultBody(shard=r.shard, result=msgspec.Raw(r.result))
                for r in result.results
            ],
        )
    )


def name_outcome(outcome: Outcome) -> str:
    """Return the tag that callers and metrics see."""
    match outcome:
        case NotRun():
            return "not run"
        case Unknown():
            return "unknown"
        case _:
            return "answered"


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the JSON body of a request that has no answer."""
    outcome = refusal.outcome
    return _encode(
        RefusalBody(
            request_id=refusal.request_id,
            outcome=name_outcome(outcome),
            step=outcome.step.value,
            peer=outcome.peer,
            reason=outcome.reason.value,
            retry_after_ms=get_retry_after_ms(outcome),
        )
    )


def get_retry_after_ms(outcome: NotRun | Unknown) -> int:
    """Return when a caller should come back, in milliseconds."""
    match outcome:
        case NotRun(retry_after_ms=after) if after > 0:
            return after
        case _:
            return RETRY_AFTER_DEFAULT_MS


def encode_error(error: str) -> bytes:
    """Return the JSON body of an answer to bad input."""
    return _encode(ErrorBody(error=error))
