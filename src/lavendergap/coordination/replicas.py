"""What an owner knows of each replica of a group, and for how long it believes it."""

from collections.abc import Callable
from math import exp2
from random import Random

from ..state.outcome import Answered, NotRun, Outcome, Reason, Unknown
from ..state.settings import Server
from .calls import ServerReport
from .warmup import WarmupLimit

# A backend server that was just started, or is back after failures, has cold caches:
# with all its slots filled at once, its first answers would all be late together.
SLOW_START = 3.0
# Twice the pause of a garbage collection; short enough to try again within a
# query's deadline when the failure was a blip.
FIRST_EJECTION = 0.1
LONGEST_EJECTION = 10.0
# A server that names a longer time is asked again after this one all the same: a
# wrong `Retry-After` of an hour must not take a replica away for an hour.
LONGEST_BACKOFF = 5.0
# For servers that shed without saying for how long.
DEFAULT_BACKOFF = 0.05
# A report is about one moment; after this time it says nothing of the load.
REPORT_LIFETIME = 1.0
# How long answers outweigh what a health endpoint says to the contrary.
ANSWER_LIFETIME = 5.0
# A server that said in an answer that it drains is tried again after this time if
# its health endpoint has said "serving" throughout: the drain was called off. Much
# longer than any drain, so that a lying endpoint brings a leaving server no work.
DRAIN_MEMORY = 60.0
# An estimate of slowness is worth half after this time without an answer, so that a
# replica that was slow once is tried again. In a group that is asked once a second, a
# server that stays slow was tried again with every other call at 2 s.
LATENCY_HALF_LIFE = 4.0
LATENCY_GAIN = 0.125
# What was known this many seconds ago weighs as much as a new answer. A group of many
# gets a call a second: at an eighth for each answer it took eight calls to turn from a
# server that is slow.
GAIN_HALF_LIFE = 0.5
# Beyond so many half-lives it is worth nothing. However faint, it would else decide
# between idle replicas for ever, and one that was slow once would never be tried.
LATENCY_MEMORY = 4
# A single answer speaks for at most this many times what a fast one takes. One that
# pauses for a moment would look twice as slow for seconds after one long answer; one
# that is slow shows it in all of them.
LONGEST_SAMPLE = 4.0
# How much a replica's latency may speak for or against it: without bounds one slow
# answer would outweigh any load on the others.
FASTEST_RATIO = 0.5
# Up to this ratio a replica is as fast as the fastest. The least difference would else
# decide between idle ones, and a server that is back from a drain would get nothing
# for as long as its first answers are remembered.
SIMILAR_RATIO = 1.25
SLOWEST_RATIO = 4.0
# How much of an ejection one failure is worth; at 1 the server is ejected. A refused
# connection is beyond doubt. A lost or silent connection says as much of the
# connection as of the server, unless it was a fresh one.
BLAME = {
    Reason.REFUSED_CONNECTION: 1.0,
    Reason.SERVER_ENDED: 1.0,
    Reason.LOST_CONNECTION: 0.5,
    Reason.SILENT_CONNECTION: 0.5,
    Reason.SERVER_ERROR: 0.34,
    Reason.WRONG_ANSWER: 0.34,
    Reason.DEADLINE: 0.34,
}
MISSED_PROBE_BLAME = 0.5
NEVER = float("inf")


class Replica:
    """One backend server as this owner sees it.

    Own calls in flight are known for certain. All else is what the server said or
    how it behaved, and is believed for a time that fits its source: answers before
    health endpoints, which may lag or mislead.
    """

    __slots__ = (
        "server",
        "in_flight",
        "state",
        "state_at",
        "state_from_answer",
        "health_left_serving",
        "versions",
        "versions_at",
        "versions_from_answer",
        "backoff_until",
        "ejected_until",
        "n_ejections",
        "blame",
        "is_on_trial",
        "ramp_from",
        "slowness",
        "slowness_at",
        "foreign",
        "foreign_at",
        "_warmup",
    )

    def __init__(
        self,
        *,
        server: Server,
        ramp_from: float = -NEVER,
        may_warm: Callable[[], bool] = lambda: True,
    ) -> None:
        self.server = server
        self._warmup = WarmupLimit(may_warm)
        self.in_flight = 0
        self.state = "serving"
        self.state_at = -NEVER
        self.state_from_answer = False
        self.health_left_serving = False
        self.versions: tuple[int, ...] = ()
        self.versions_at = -NEVER
        self.versions_from_answer = False
        self.backoff_until = -NEVER
        self.ejected_until = -NEVER
        self.n_ejections = 0
        self.blame = 0.0
        self.is_on_trial = False
        self.ramp_from = ramp_from
        self.slowness = 0.0
        self.slowness_at = -NEVER
        self.foreign = 0
        self.foreign_at = -NEVER

    def limit(self, now: float) -> int:
        """Count the slots that may be in use now: few in slow start, then all.

        0 while the server is cold and this host has sent it all that it may.
        """
        cold_limit = self.server.cold_limit
        if cold_limit is not None and self._warmup.count_left(cold_limit, now) <= 0:
            return 0
        if self.is_on_trial or self.state == "starting":
            return 1
        since = now - self.ramp_from
        slots = self.server.slots
        if since >= SLOW_START:
            return slots
        return 1 + int((slots - 1) * since / SLOW_START)

    def note_start(self, now: float) -> None:
        """Count an attempt that starts."""
        self.in_flight += 1
        if self.server.cold_limit is not None:
            self._warmup.note_sent(now)

    def may_serve(self, version: int) -> bool:
        """Tell whether the server may serve an index version.

        A version newer than all it named may have come since; an older one that it
        does not name is gone and does not come back.
        """
        versions = self.versions
        if version == 0 or not versions or version in versions:
            return True
        return version > max(versions)

    def score(self, now: float, typical: float) -> float:
        """Estimate what one more call would meet; the lowest is the best replica.

        The load is own calls in flight plus calls of others that the last report
        showed, which fade as the report grows old. It is weighed by how slow the
        server has been against `typical`, the slowness of the fastest replica.
        """
        load = self.in_flight + 1.0
        age = now - self.foreign_at
        if age < REPORT_LIFETIME:
            load += self.foreign * (1.0 - age / REPORT_LIFETIME)
        score = load / self.server.slots
        if typical > 0.0 and self.slowness > 0.0:
            age = (now - self.slowness_at) / LATENCY_HALF_LIFE
            weight = 0.5**age if age < LATENCY_MEMORY else 0.0
            ratio = self.slowness / typical
            if ratio > SLOWEST_RATIO:
                ratio = SLOWEST_RATIO
            elif ratio < FASTEST_RATIO:
                ratio = FASTEST_RATIO
            elif 1.0 < ratio <= SIMILAR_RATIO:
                ratio = 1.0
            score *= 1.0 + (ratio - 1.0) * weight
        if now - self.ramp_from < SLOW_START or self.is_on_trial:
            score += 0.5
        return score

    def note_end(
        self,
        outcome: Outcome,
        *,
        elapsed: float,
        fresh: bool,
        now: float,
        dice: Random,
        typical: float = 0.0,
    ) -> None:
        """Learn from how an attempt ended.

        `elapsed` is a multiple of what calls of its kind take in the median, and
        `typical` the slowness of the fastest replica, in the same unit.
        """
        if typical > 0.0:
            elapsed = min(elapsed, LONGEST_SAMPLE * typical)
        match outcome:
            case Answered():
                self._note_success(elapsed, now)
            case NotRun(reason=Reason.SHED, retry_after_ms=ms):
                wait = min(LONGEST_BACKOFF, ms / 1000) if ms > 0 else DEFAULT_BACKOFF
                self.backoff_until = max(self.backoff_until, now + wait)
            case NotRun(reason=Reason.NO_REPLICA):
                # Another server has its address and refused the call; this one is gone,
                # whatever the registry still says. Each query would go on calling
                # there, beside its own call to the server that has moved in: an owner
                # of a lapsed entry sent 90 such calls in 10 s, over the extra calls
                # that are allowed for the other server's group.
                self._set_state("draining", from_answer=True, now=now)
            case Unknown(reason=Reason.CANCELLED):
                self._note_at_least(elapsed, now)
            case NotRun(reason=reason) | Unknown(reason=reason):
                blame = BLAME.get(reason, 0.0)
                self.add_blame(2 * blame if fresh else blame, now=now, dice=dice)

    def _note_success(self, elapsed: float, now: float) -> None:
        if self.slowness == 0.0:
            self.slowness = elapsed
        else:
            self.slowness += (elapsed - self.slowness) * self._get_gain(now)
        self.slowness_at = now
        self.blame = 0.0
        self.is_on_trial = False
        if self.n_ejections:
            # The failures were real enough to start over gently, not to wait longer.
            if now < self.ejected_until or self.ramp_from < self.ejected_until:
                self.ramp_from = now
                self.ejected_until = now
            elif now - self.ramp_from >= SLOW_START:
                self.n_ejections = 0

    def _note_at_least(self, elapsed: float, now: float) -> None:
        # A server whose attempts are all cut short would otherwise look as fast as
        # its last answer, and go on getting calls that hedging has to save.
        if elapsed > self.slowness:
            self.slowness += (elapsed - self.slowness) * self._get_gain(now)
            self.slowness_at = now

    def _get_gain(self, now: float) -> float:
        """Return the weight of a new answer against all before it."""
        age = (now - self.slowness_at) / GAIN_HALF_LIFE
        return max(LATENCY_GAIN, 1.0 - exp2(-age))

    def add_blame(self, blame: float, *, now: float, dice: Random) -> None:
        """Count a failure, and eject the server for a growing time at a full one."""
        if blame <= 0.0 or now < self.ejected_until:
            return
        self.blame += blame
        if self.blame < 1.0 and not self.is_on_trial:
            return
        wait = min(LONGEST_EJECTION, FIRST_EJECTION * 2**self.n_ejections)
        # Owners that saw one failure together should not come back together.
        self.ejected_until = now + wait * dice.uniform(0.8, 1.2)
        self.ramp_from = self.ejected_until
        self.n_ejections = min(self.n_ejections + 1, 10)
        self.blame = 0.0
        # Back from here it gets one call at a time, and the first failure ejects it
        # again: a server that hangs would else cost several late calls each time.
        self.is_on_trial = True

    def note_answer(
        self, report: ServerReport, *, started: float, own: int, now: float
    ) -> None:
        """Take in the report of an answer to an attempt that started at `started`.

        `own` counts the own calls in flight when the report was made.
        """
        self._note_load(report, own=own, now=now)
        if report.versions:
            self.versions = report.versions
            self.versions_at = now
            self.versions_from_answer = True
        # Answers may cross: one to an attempt from before the drain was seen may
        # have left the server before it began to drain.
        if self.state == "draining" and started <= self.state_at:
            return
        self._set_state(report.state, from_answer=True, now=now)

    def note_health(self, report: ServerReport, *, now: float) -> None:
        """Take in a health probe: it may count against the server, never for it."""
        if report.versions and not self._has_answered_since(now):
            self.versions = report.versions
            self.versions_at = now
            self.versions_from_answer = False
        foreign = report.in_use + report.queued - self.in_flight
        if foreign > self.foreign or now - self.foreign_at >= REPORT_LIFETIME:
            self._note_load(report, own=self.in_flight, now=now)
        if report.state != "serving":
            self.health_left_serving = True
            self._note_worse_health(report, now)
        elif self._may_rejoin(now):
            self._set_state("serving", from_answer=False, now=now)

    def note_no_health(self, *, now: float, dice: Random) -> None:
        """Take in that a health probe had no answer."""
        self.health_left_serving = True
        self.add_blame(MISSED_PROBE_BLAME, now=now, dice=dice)

    def _note_worse_health(self, report: ServerReport, now: float) -> None:
        if report.state == "draining" or self.state == "draining":
            # After a drain, "starting" is a new process: slow start, not draining.
            self._set_state(report.state, from_answer=False, now=now)
        elif not (self.state_from_answer and now - self.state_at < ANSWER_LIFETIME):
            self._set_state(report.state, from_answer=False, now=now)

    def _may_rejoin(self, now: float) -> bool:
        if self.state == "serving":
            return False
        if not self.state_from_answer or self.health_left_serving:
            return True
        # Nothing but "serving" from the endpoint although an answer said otherwise:
        # it lags or lies, and is believed only when the answer is long past.
        memory = DRAIN_MEMORY if self.state == "draining" else ANSWER_LIFETIME
        return now - self.state_at >= memory

    def rejoin(self, now: float) -> None:
        """Start over with a server that the settings left out for a while."""
        self._set_state("serving", from_answer=False, now=now)
        self.ramp_from = now
        self.backoff_until = -NEVER
        self.ejected_until = -NEVER
        self.n_ejections = 0
        self.blame = 0.0
        self.is_on_trial = False

    def get_opening(self, now: float) -> float:
        """Return the next time at which the server may take more than now."""
        closed_until = max(self.backoff_until, self.ejected_until)
        if closed_until > now:
            return closed_until
        cold_limit = self.server.cold_limit
        if cold_limit is not None and self._warmup.count_left(cold_limit, now) <= 0:
            return self._warmup.get_opening(cold_limit, now)
        ramp_ends = self.ramp_from + SLOW_START
        return ramp_ends if ramp_ends > now else NEVER

    def _has_answered_since(self, now: float) -> bool:
        return self.versions_from_answer and now - self.versions_at < ANSWER_LIFETIME

    def _note_load(self, report: ServerReport, *, own: int, now: float) -> None:
        self.foreign = max(0, report.in_use + report.queued - own)
        self.foreign_at = now

    def _set_state(self, state: str, *, from_answer: bool, now: float) -> None:
        if state != self.state:
            self.health_left_serving = False
            if state == "serving":
                self.ramp_from = now
        self.state = state
        self.state_at = now
        self.state_from_answer = from_answer
