"""State that an owner keeps of each replica of a group, and how long it is valid."""

from collections.abc import Callable
from math import exp2
from random import Random

from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import Server
from .calls import ServerReport
from .warmup import WarmupLimit

# A server that was started or has recovered has cold caches. If all its slots were
# filled at once, its first answers would all be late.
SLOW_START_S = 3.0
# Twice the length of a pause for garbage collection, and short enough for another
# attempt within a query's deadline if the failure was transient.
FIRST_EJECTION_S = 0.1
MAX_EJECTION_S = 10.0
# Upper bound on a server's `Retry-After`, so that a wrong value of an hour does not
# remove a replica for an hour.
MAX_BACKOFF_S = 5.0
# For servers that shed load without a `Retry-After`.
DEFAULT_BACKOFF_S = 0.05
# For servers that reject a request although they report free slots: they fail a part of
# their requests and are not short of room, so their `Retry-After` says nothing about
# the next request. Long enough for the other replicas to be tried first.
ROOM_BACKOFF_S = 0.02
# Weight of the last attempt in the share of rejected ones.
REJECTION_GAIN = 0.25
# The share of rejected attempts counts half after this time without an attempt, so that
# a server that has recovered is tried again.
REJECTION_HALF_LIFE_S = 2.0
# Added to the score of a server that rejects everything. A near server that rejects
# half of its requests ranks behind an idle one in another data centre.
REJECTION_PENALTY = 2.5
# After an attempt that found all connections in use. A health probe or a liveness check
# holds one for about a round trip.
FULL_POOL_BACKOFF_S = 0.005
# A load report describes one moment and is ignored once it is older.
REPORT_LIFETIME_S = 1.0
# How long state from an answer takes precedence over the health endpoint.
ANSWER_LIFETIME_S = 5.0
# A server that reported in an answer that it drains is used again after this time if
# its health endpoint has reported "serving" throughout: the drain was called off. Much
# longer than a drain takes, so that a wrong health endpoint does not bring calls to a
# server that is shutting down.
DRAIN_LIFETIME_S = 60.0
# Slowness counts half after this time without an answer, so that a replica that was
# slow is tried again. At 2 s, in a group with one call a second, a server that stays
# slow got every other call.
SLOWNESS_HALF_LIFE_S = 4.0
# Least weight of a new answer in the moving average of slowness.
MIN_SLOWNESS_GAIN = 0.125
# A new answer weighs as much as the average if that is this old. With few calls a fixed
# weight would take too long to detect a slow server: with one call a second and a
# weight of an eighth, it took eight calls.
SLOWNESS_GAIN_HALF_LIFE_S = 0.5
# Slowness and rejections are ignored after this many half-lives. However small, they
# would otherwise always decide between idle replicas, and a slow one would not be tried
# again.
MAX_HALF_LIVES = 4
# One answer counts as at most this many times the fastest replica's slowness, so that
# one pause does not mark a server as slow for seconds.
MAX_SAMPLE_FACTOR = 4.0
# Bounds on the effect of latency on a score, so that one slow answer does not outweigh
# any load on the other replicas.
MIN_SLOWNESS_RATIO = 0.5
# Up to this ratio a replica counts as fast as the fastest. Otherwise the smallest
# difference would decide between idle replicas, and a server that is back from a drain
# would get no calls while its slow first answers are remembered.
SIMILAR_SLOWNESS_RATIO = 1.25
MAX_SLOWNESS_RATIO = 4.0
# How much each failure counts towards an ejection, which happens at 1. A lost or silent
# connection may be the connection's fault, so it counts half, unless the connection was
# new. A refused connection is certainly the server's.
FAILURE_WEIGHTS = {
    Reason.REFUSED_CONNECTION: 1.0,
    Reason.SERVER_ENDED: 1.0,
    Reason.LOST_CONNECTION: 0.5,
    Reason.SILENT_CONNECTION: 0.5,
    Reason.SERVER_ERROR: 0.34,
    Reason.WRONG_ANSWER: 0.34,
    Reason.DEADLINE: 0.34,
}
MISSED_PROBE_WEIGHT = 0.5
NEVER = float("inf")


class Replica:
    """State of one backend server as this owner has observed it.

    Only the owner's calls in flight are exact. All else comes from the server's reports
    and behaviour, and is valid for a time that depends on its source. Answers take
    precedence over health endpoints, which may be late or wrong.
    """

    __slots__ = (
        "server",
        "in_flight",
        "state",
        "state_at",
        "state_from_answer",
        "health_was_not_serving",
        "versions",
        "versions_at",
        "versions_from_answer",
        "backoff_until",
        "ejected_until",
        "n_ejections",
        "failure_score",
        "is_half_open",
        "ramp_starts_at",
        "slowness",
        "slowness_at",
        "other_calls",
        "other_calls_at",
        "rejected_share",
        "rejected_share_at",
        "_warmup",
    )

    def __init__(
        self,
        *,
        server: Server,
        ramp_starts_at: float = -NEVER,
        may_warm: Callable[[], bool] = lambda: True,
    ) -> None:
        self.server = server
        self._warmup = WarmupLimit(may_warm)
        self.in_flight = 0
        self.state = "serving"
        self.state_at = -NEVER
        self.state_from_answer = False
        self.health_was_not_serving = False
        self.versions: tuple[int, ...] = ()
        self.versions_at = -NEVER
        self.versions_from_answer = False
        self.backoff_until = -NEVER
        self.ejected_until = -NEVER
        self.n_ejections = 0
        self.failure_score = 0.0
        self.is_half_open = False
        self.ramp_starts_at = ramp_starts_at
        self.slowness = 0.0
        self.slowness_at = -NEVER
        self.other_calls = 0
        self.other_calls_at = -NEVER
        self.rejected_share = 0.0
        self.rejected_share_at = -NEVER

    @property
    def n_slots(self) -> int:
        """The calls that may run at once: each takes a slot and a connection."""
        server = self.server
        return min(server.slots, server.connections)

    def limit(self, now: float) -> int:
        """Return how many calls may run now; during slow start a part of `n_slots`.

        Returns 0 while the server is cold and this host has sent all it may for now.
        """
        cold_limit = self.server.cold_limit
        if cold_limit is not None and self._warmup.count_left(cold_limit, now) <= 0:
            return 0
        if self.is_half_open or self.state == "starting":
            return 1
        since = now - self.ramp_starts_at
        n_slots = self.server.slots
        if since < SLOW_START_S:
            n_slots = 1 + int((n_slots - 1) * since / SLOW_START_S)
        n_connections = self.server.connections
        return n_slots if n_slots < n_connections else n_connections

    def note_start(self, now: float) -> None:
        """Record that an attempt starts."""
        self.in_flight += 1
        if self.server.cold_limit is not None:
            self._warmup.note_sent(now)

    def may_serve(self, version: int) -> bool:
        """Return whether the server may serve an index version.

        A version newer than all that the server reported may have been loaded since. An
        older one that it did not report has been dropped for good.
        """
        versions = self.versions
        if version == 0 or not versions or version in versions:
            return True
        return version > max(versions)

    def score(self, now: float, fastest_slowness: float) -> float:
        """Return the expected cost of one more call; the lowest score is the best.

        The load is the owner's calls in flight plus other owners' calls from the last
        report, which count less as the report ages. It is weighted by the slowness of
        the server relative to `fastest_slowness`, that of the fastest replica.
        """
        load = self.in_flight + 1.0
        age = now - self.other_calls_at
        if age < REPORT_LIFETIME_S:
            load += self.other_calls * (1.0 - age / REPORT_LIFETIME_S)
        score = load / self.server.slots
        if fastest_slowness > 0.0 and self.slowness > 0.0:
            age = (now - self.slowness_at) / SLOWNESS_HALF_LIFE_S
            weight = 0.5**age if age < MAX_HALF_LIVES else 0.0
            ratio = self.slowness / fastest_slowness
            if ratio > MAX_SLOWNESS_RATIO:
                ratio = MAX_SLOWNESS_RATIO
            elif ratio < MIN_SLOWNESS_RATIO:
                ratio = MIN_SLOWNESS_RATIO
            elif 1.0 < ratio <= SIMILAR_SLOWNESS_RATIO:
                ratio = 1.0
            score *= 1.0 + (ratio - 1.0) * weight
        if now - self.ramp_starts_at < SLOW_START_S or self.is_half_open:
            score += 0.5
        if self.rejected_share > 0.0:
            score += REJECTION_PENALTY * self._get_rejected_share(now)
        return score

    def _get_rejected_share(self, now: float) -> float:
        age = (now - self.rejected_share_at) / REJECTION_HALF_LIFE_S
        return self.rejected_share * exp2(-age) if age < MAX_HALF_LIVES else 0.0

    def _note_rejected(self, is_rejected: bool, now: float) -> None:
        if not is_rejected and self.rejected_share == 0.0:
            return
        share = self._get_rejected_share(now) if self.rejected_share else 0.0
        self.rejected_share = share + (is_rejected - share) * REJECTION_GAIN
        self.rejected_share_at = now

    def note_end(
        self,
        outcome: Outcome,
        *,
        elapsed: float,
        fresh: bool,
        now: float,
        rng: Random,
        fastest_slowness: float = 0.0,
    ) -> None:
        """Update the state from the end of an attempt.

        `elapsed` is in multiples of the median of the call's kind, and so is
        `fastest_slowness`, the slowness of the fastest replica.
        """
        if fastest_slowness > 0.0:
            elapsed = min(elapsed, MAX_SAMPLE_FACTOR * fastest_slowness)
        match outcome:
            case Answered():
                self._note_rejected(False, now)
                self._note_success(elapsed, now)
            case NotRun(reason=Reason.SHED, retry_after_ms=ms):
                wait = min(MAX_BACKOFF_S, ms / 1000) if ms > 0 else DEFAULT_BACKOFF_S
                if self._has_reported_room(now):
                    self._note_rejected(True, now)
                    wait = min(wait, ROOM_BACKOFF_S)
                self.backoff_until = max(self.backoff_until, now + wait)
            case NotRun(step=Step.CONNECT, reason=Reason.OVERLOADED):
                self.backoff_until = max(self.backoff_until, now + FULL_POOL_BACKOFF_S)
            case NotRun(reason=Reason.NO_REPLICA):
                # Another server has taken over the address, and the registry is not up
                # to date yet. Further calls there would add load to the new server
                # beyond its group's budget of extra calls: one owner with a lapsed
                # entry sent 90 of them in 10 s.
                self._set_state("draining", from_answer=True, now=now)
            case Unknown(reason=Reason.CANCELLED):
                self._note_min_latency(elapsed, now)
            case NotRun(reason=reason) | Unknown(reason=reason):
                weight = FAILURE_WEIGHTS.get(reason, 0.0)
                self.count_failure(2 * weight if fresh else weight, now=now, rng=rng)

    def _note_success(self, elapsed: float, now: float) -> None:
        if self.slowness == 0.0:
            self.slowness = elapsed
        else:
            self.slowness += (elapsed - self.slowness) * self._get_gain(now)
        self.slowness_at = now
        self.failure_score = 0.0
        self.is_half_open = False
        if self.n_ejections:
            # The answer ends the ejection early, but the server still starts slowly.
            if now < self.ejected_until or self.ramp_starts_at < self.ejected_until:
                self.ramp_starts_at = now
                self.ejected_until = now
            elif now - self.ramp_starts_at >= SLOW_START_S:
                self.n_ejections = 0

    def _note_min_latency(self, elapsed: float, now: float) -> None:
        # A cancelled attempt took at least this long. If it were ignored, a server
        # whose attempts are all cancelled would keep the slowness of its last answer
        # and go on getting calls that need a hedge.
        if elapsed > self.slowness:
            self.slowness += (elapsed - self.slowness) * self._get_gain(now)
            self.slowness_at = now

    def _get_gain(self, now: float) -> float:
        """Return the weight of a new answer in the moving average."""
        age = (now - self.slowness_at) / SLOWNESS_GAIN_HALF_LIFE_S
        return max(MIN_SLOWNESS_GAIN, 1.0 - exp2(-age))

    def count_failure(self, weight: float, *, now: float, rng: Random) -> None:
        """Count a failure; at a total of 1, eject the server for a growing time."""
        if weight <= 0.0 or now < self.ejected_until:
            return
        self.failure_score += weight
        if self.failure_score < 1.0 and not self.is_half_open:
            return
        wait = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.n_ejections)
        # Random, so that owners that saw the same failure do not return together.
        self.ejected_until = now + wait * rng.uniform(0.8, 1.2)
        self.ramp_starts_at = self.ejected_until
        self.n_ejections = min(self.n_ejections + 1, 10)
        self.failure_score = 0.0
        # After the ejection the server gets one call at a time, and the first failure
        # ejects it again, so that a hanging server costs one late call each time.
        self.is_half_open = True

    def note_answer(
        self, report: ServerReport, *, started: float, own_in_flight: int, now: float
    ) -> None:
        """Record the report in an answer to an attempt that started at `started`.

        `own_in_flight` counts the owner's calls in flight when the report was made.
        """
        self._note_load(report, own_in_flight=own_in_flight, now=now)
        if report.versions:
            self.versions = report.versions
            self.versions_at = now
            self.versions_from_answer = True
        # Answers may arrive out of order: this one may have been sent before the server
        # began to drain.
        if self.state == "draining" and started <= self.state_at:
            return
        self._set_state(report.state, from_answer=True, now=now)

    def note_health(self, report: ServerReport, *, now: float) -> None:
        """Record a health report; recent answers take precedence over it."""
        if report.versions and not self._has_recent_versions(now):
            self.versions = report.versions
            self.versions_at = now
            self.versions_from_answer = False
        other_calls = report.in_use + report.queued - self.in_flight
        if (
            other_calls > self.other_calls
            or now - self.other_calls_at >= REPORT_LIFETIME_S
        ):
            self._note_load(report, own_in_flight=self.in_flight, now=now)
        if report.state != "serving":
            self.health_was_not_serving = True
            self._note_worse_health(report, now)
        elif self._may_rejoin(now):
            self._set_state("serving", from_answer=False, now=now)

    def note_no_health(self, *, now: float, rng: Random) -> None:
        """Record a health probe without an answer."""
        self.health_was_not_serving = True
        self.count_failure(MISSED_PROBE_WEIGHT, now=now, rng=rng)

    def _note_worse_health(self, report: ServerReport, now: float) -> None:
        if report.state == "draining" or self.state == "draining":
            # "starting" after a drain means a new process, which gets a slow start.
            self._set_state(report.state, from_answer=False, now=now)
        elif not (self.state_from_answer and now - self.state_at < ANSWER_LIFETIME_S):
            self._set_state(report.state, from_answer=False, now=now)

    def _may_rejoin(self, now: float) -> bool:
        if self.state == "serving":
            return False
        if not self.state_from_answer or self.health_was_not_serving:
            return True
        # The health endpoint has only reported "serving" although an answer differed,
        # so it is late or wrong. It takes effect only once the answer has expired.
        lifetime = DRAIN_LIFETIME_S if self.state == "draining" else ANSWER_LIFETIME_S
        return now - self.state_at >= lifetime

    def rejoin(self, now: float) -> None:
        """Reset the state of a server that is back in the settings."""
        self._set_state("serving", from_answer=False, now=now)
        self.ramp_starts_at = now
        self.backoff_until = -NEVER
        self.ejected_until = -NEVER
        self.n_ejections = 0
        self.failure_score = 0.0
        self.is_half_open = False

    def get_reopen_time(self, now: float) -> float:
        """Return the next time at which the server may take more calls than now."""
        closed_until = max(self.backoff_until, self.ejected_until)
        if closed_until > now:
            return closed_until
        cold_limit = self.server.cold_limit
        if cold_limit is not None and self._warmup.count_left(cold_limit, now) <= 0:
            return self._warmup.get_reopen_time(cold_limit, now)
        ramp_ends = self.ramp_starts_at + SLOW_START_S
        return ramp_ends if ramp_ends > now else NEVER

    def _has_recent_versions(self, now: float) -> bool:
        return self.versions_from_answer and now - self.versions_at < ANSWER_LIFETIME_S

    def _note_load(
        self, report: ServerReport, *, own_in_flight: int, now: float
    ) -> None:
        self.other_calls = max(0, report.in_use + report.queued - own_in_flight)
        self.other_calls_at = now

    def _has_reported_room(self, now: float) -> bool:
        """Return whether a report that has just come shows free slots."""
        n_calls = self.in_flight + self.other_calls
        return self.other_calls_at >= now and n_calls < self.server.slots

    def _set_state(self, state: str, *, from_answer: bool, now: float) -> None:
        if state != self.state:
            self.health_was_not_serving = False
            if state == "serving":
                self.ramp_starts_at = now
        self.state = state
        self.state_at = now
        self.state_from_answer = from_answer
