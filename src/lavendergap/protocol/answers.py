"""The JSON bodies sent to callers, built from typed outcomes."""

from dataclasses import dataclass

import msgspec

from ..state.outcome import Coverage, NotRun, Outcome, Unknown

DEFAULT_RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardResult:
    """The answer of one shard, as the JSON text that its server sent."""

    shard: str
    result: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class SearchResult:
    """The answer to a query, which may lack some shards."""

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
    """A request without an answer."""

    request_id: str
    outcome: NotRun | Unknown


class SnapshotBody(msgspec.Struct):
    """The snapshot that an answer is based on."""

    service: str
    version: int


class MissingBody(msgspec.Struct):
    """A shard that the answer does not cover."""

    shard: str
    reason: str
    step: str
    peer: str


class CoverageBody(msgspec.Struct):
    """The part of the snapshot that an answer covers."""

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
    """The body of the response to a request without an answer."""

    request_id: str
    outcome: str
    step: str
    peer: str
    reason: str
    retry_after_ms: int


class ErrorBody(msgspec.Struct):
    """The body of the response to invalid input."""

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
    """Return the outcome's name in bodies and metrics."""
    match outcome:
        case NotRun():
            return "not run"
        case Unknown():
            return "unknown"
        case _:
            return "answered"


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the JSON body of the response to a request without an answer."""
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
    """Return how long a caller should wait before a retry, in milliseconds."""
    match outcome:
        case NotRun(retry_after_ms=after) if after > 0:
            return after
        case _:
            return DEFAULT_RETRY_AFTER_MS


def encode_error(error: str) -> bytes:
    """Return the JSON body of the response to invalid input."""
    return _encode(ErrorBody(error=error))
