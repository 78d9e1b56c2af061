"""Tells outages of the platform's store from the silence of hosts that watch it."""

from enum import Enum
from math import inf

from ..state.feeds import StoreContact

# Calls of one host at shorter intervals show that the store answered all the while.
MAX_PAUSE_S = 0.6
# Hosts ask the store before they have been without an answer for as long. If none had
# one for longer, the store is taken to have been down although no call has failed.
MAX_SILENCE_S = 2.3


class Change(Enum):
    """What an answer of the store, or a report of one, shows of the time before it."""

    NONE = "no outage"
    OUTAGE = "outage"
    REFUTED = "outage refuted"


class OutageDetector:
    """Determines from all hosts' calls whether the store was down, and until when.

    A host that gets no answers for others may have lost the hosts that watch the store,
    or its own path to it, while the store is up. An outage is a time in which no host
    is known to have had an answer, in which calls have failed or which is longer than
    `MAX_SILENCE_S`. A later report of a host whose calls were answered throughout
    refutes it. Times are in seconds of one clock.

    >>> detector = OutageDetector()
    >>> detector.record_answer(began=0.0, now=1.5), detector.returned_at
    (<Change.NONE: 'no outage'>, -inf)
    >>> detector.record_report(StoreContact(), now=3.4)  # watching hosts were lost
    <Change.NONE: 'no outage'>
    >>> detector.record_failure(now=4.0)
    >>> detector.record_answer(began=5.0, now=5.0), detector.returned_at
    (<Change.OUTAGE: 'outage'>, 5.0)
    >>> detector.record_report(StoreContact(steady_s=60.0), now=5.5)
    <Change.REFUTED: 'outage refuted'>
    """

    def __init__(self) -> None:
        # The end of the last outage, its length in seconds, and whether calls failed.
        self.returned_at = -inf
        self.outage_s = 0.0
        self.has_failed = False
        # The last answer before it.
        self._lost_at = -inf
        # The last answer that any host is known to have had.
        self._answered_at = -inf
        # This host's unbroken answers, the failures before them and those since.
        self._steady_since = inf
        self._steady_until = -inf
        self._failed_before = inf
        self._failing_since = inf

    def record_failure(self, *, now: float) -> None:
        """Record that a call of this host has failed."""
        self._failing_since = min(self._failing_since, now)

    def record_answer(self, *, began: float, now: float) -> Change:
        """Record an answer to a call of this host that began at `began`."""
        is_broken = self._failing_since < inf
        if is_broken or began - self._steady_until > MAX_PAUSE_S:
            self._steady_since = began
            self._failed_before = self._failing_since
            self._failing_since = inf
        self._steady_until = now
        return self._add(self._steady_since, now, failing_since=self._failed_before)

    def record_report(self, report: StoreContact, *, now: float) -> Change:
        """Record another host's report, which it sent with an answer of the store."""
        failing_since = now - report.failing_s if report.failing_s else inf
        failing_since = min(failing_since, self._failing_since)
        return self._add(now - report.steady_s, now, failing_since=failing_since)

    def make_report(self, *, now: float) -> StoreContact:
        """Return the report to send right after an answer of the store."""
        failing_s = 0.0 if self._failed_before == inf else now - self._failed_before
        return StoreContact(steady_s=now - self._steady_since, failing_s=failing_s)

    def forget_outage(self) -> None:
        """Forget the last outage, so that no report refutes it."""
        self.returned_at = -inf

    def _add(self, since: float, until: float, *, failing_since: float) -> Change:
        """Record that the store answered a host from `since` to `until`.

        Calls had failed before, from `failing_since` on.
        """
        lost_at = self._answered_at
        self._answered_at = max(lost_at, until)
        if self.returned_at > -inf and since <= self._lost_at:
            self.returned_at = -inf
            return Change.REFUTED
        # Calls that have failed since before an answer failed for another reason.
        has_failed = lost_at <= failing_since <= since
        if not has_failed and not -inf < lost_at < since - MAX_SILENCE_S:
            return Change.NONE
        self.returned_at, self._lost_at = since, lost_at
        self.outage_s, self.has_failed = since - lost_at, has_failed
        return Change.OUTAGE
