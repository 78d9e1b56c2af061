"""Which requests a stopping host still begins."""

from dataclasses import dataclass, replace

NEVER = float("-inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class StopPlan:
    """The times of a planned stop, in seconds on the event loop's clock.

    Until `notice_ends_at` the balancer may still send new callers here, and every
    request is begun. Later ones come over connections that callers keep. They are begun
    only if their deadlines are up to `last_deadline`, as the process ends after that.
    Requests that still run at `gives_up_at` are answered as given up, and the
    connections are closed at `ends_at`.

    >>> plan = StopPlan(
    ...     notice_ends_at=2.6, last_deadline=5.2, gives_up_at=5.4, ends_at=5.6)
    >>> plan.may_begin(deadline=9.0, now=2.0)
    True
    >>> plan.may_begin(deadline=9.0, now=3.0), plan.may_begin(deadline=5.0, now=3.0)
    (False, True)
    """

    notice_ends_at: float
    last_deadline: float
    gives_up_at: float
    ends_at: float

    def may_begin(self, *, deadline: float, now: float) -> bool:
        """Return whether a request with this deadline may begin at `now`."""
        return now < self.notice_ends_at or deadline <= self.last_deadline

    def close(self) -> "StopPlan":
        """Return the plan with which no more requests are begun."""
        return replace(self, notice_ends_at=NEVER, last_deadline=NEVER)


def make_stop_plan(
    *, now: float, within_s: float, notice_s: float, reserve_s: float
) -> StopPlan:
    """Return the plan of a stop that takes up to `within_s` seconds.

    The last `reserve_s` of them are kept for answers, given up requests, closing the
    connections and the end of the process, a quarter for each.
    """
    end = now + within_s
    return StopPlan(
        notice_ends_at=now + min(notice_s, within_s / 2),
        last_deadline=end - reserve_s,
        gives_up_at=end - 0.75 * reserve_s,
        ends_at=end - 0.5 * reserve_s,
    )
