"""Counts the outcomes of a load and measures latencies and gaps between answers."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from .answers import Outcome

MAX_REASONS = 50
MAX_WRONG_SAMPLES = 5
MAX_TRACKED_US = 600_000_000
OTHER_REASONS = "other"


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One request and its outcome; times are in seconds from the load's start."""

    query: str
    ticket: str
    outcome: Outcome
    reason: str
    share: float | None
    due_s: float
    ended_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """The summary of a load. Latencies are of whole and partial answers.

    In an open loop, latencies count from the time when the request was due, so that
    a slow sender cannot hide delays. `mean_share` is over all answers, including
    those that cover no shard. `worst_gap_ms` is the longest time without an answer
    while requests were sent. `reasons` counts all outcomes except whole answers.
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
    """Accumulates the outcomes of requests and summarises them."""

    def __init__(self) -> None:
        self.n_sent = 0
        self.n_skipped = 0
        self.n_retries = 0
        self._outcomes: Counter[Outcome] = Counter()
        self._reasons: Counter[str] = Counter()
        self._wrong_samples: list[str] = []
        self._latencies = _make_histogram()
        self._refusal_latencies = _make_histogram()
        self._n_shares = 0
        self._share_sum = 0.0
        self._min_share = 1.0
        self._last_answer_s = 0.0
        self._worst_gap_s = 0.0

    def add(self, record: Record) -> None:
        """Count one request's outcome."""
        self._outcomes[record.outcome] += 1
        latency_us = max(1, round((record.ended_s - record.due_s) * 1e6))
        match record.outcome:
            case Outcome.ANSWERED | Outcome.PARTLY:
                self._latencies.record_value(latency_us)
                self._update_worst_gap(record.ended_s)
            case Outcome.NOT_RUN:
                self._refusal_latencies.record_value(latency_us)
            case Outcome.WRONG if len(self._wrong_samples) < MAX_WRONG_SAMPLES:
                self._wrong_samples.append(f"{record.query}: {record.reason}")
        if record.outcome is not Outcome.ANSWERED:
            self._add_reason(f"{record.outcome}: {record.reason}")
        if record.share is not None:
            self._n_shares += 1
            self._share_sum += record.share
            self._min_share = min(self._min_share, record.share)

    def _add_reason(self, reason: str) -> None:
        is_full = len(self._reasons) >= MAX_REASONS and reason not in self._reasons
        self._reasons[OTHER_REASONS if is_full else reason] += 1

    def _update_worst_gap(self, at_s: float) -> None:
        self._worst_gap_s = max(self._worst_gap_s, at_s - self._last_answer_s)
        self._last_answer_s = max(self._last_answer_s, at_s)

    def summarise(self, *, sending_s: float, duration_s: float) -> Summary:
        """Return the summary of a load that was sent in `sending_s`.

        Its last outcome came after `duration_s`.
        """
        self._update_worst_gap(max(sending_s, self._last_answer_s))
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
            refusal_p50_ms=_get_ms(self._refusal_latencies, 50),
            refusal_p99_ms=_get_ms(self._refusal_latencies, 99),
            refusal_max_ms=_get_ms(self._refusal_latencies, 100),
            mean_share=round(self._share_sum / max(1, self._n_shares), 6),
            min_share=self._min_share if self._n_shares else 0.0,
            worst_gap_ms=round(self._worst_gap_s * 1e3, 1),
            reasons=dict(self._reasons.most_common()),
            wrong_samples=tuple(self._wrong_samples),
        )


def _get_ms(histogram: HdrHistogram, percentile: float) -> float:
    return round(float(histogram.get_value_at_percentile(percentile)) / 1e3, 2)
