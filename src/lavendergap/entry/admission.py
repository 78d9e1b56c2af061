"""Admission of a service's queries: they start, wait briefly or are refused."""

import trio

from ..coordination.querylimiter import Admitted, QueryLimiter, Queued
from ..state.customers import NO_CUSTOMER, Precedence
from ..state.outcome import NotRun, Reason, Step

# A query still waiting after this share of its time is refused, so that its caller has
# time to retry elsewhere. Slightly more than the limiter's limit of the expected wait.
MAX_WAIT_SHARE = 0.3
TIMEOUT_RETRY_AFTER_MS = 500


class QueryAdmission:
    """A service's query limiter and the queries queued there."""

    def __init__(self) -> None:
        self.limiter = QueryLimiter()
        self._waiting: dict[int, trio.Event] = {}

    async def enter(
        self, *, deadline: float, precedence: Precedence = NO_CUSTOMER
    ) -> NotRun | None:
        """Return None once the query may start, or the reason why it may not."""
        now = trio.current_time()
        verdict = self.limiter.enter(
            now=now, left=deadline - now, precedence=precedence
        )
        match verdict:
            case Admitted():
                return None
            case NotRun():
                return verdict
            case Queued(number=number):
                return await self._wait(number, now + MAX_WAIT_SHARE * (deadline - now))

    async def _wait(self, number: int, until: float) -> NotRun | None:
        ready = trio.Event()
        self._waiting[number] = ready
        try:
            with trio.move_on_at(until):
                await ready.wait()
        except trio.Cancelled:
            # The caller left. Its place in the queue, or the slot it was just given,
            # is released; otherwise each such query would occupy a slot for good.
            self._release(number, ready)
            raise
        if ready.is_set():
            return None
        self._release(number, ready)
        return NotRun(
            step=Step.ADMIT,
            peer="",
            reason=Reason.OVERLOADED,
            retry_after_ms=TIMEOUT_RETRY_AFTER_MS,
        )

    def _release(self, number: int, ready: trio.Event) -> None:
        if ready.is_set():
            now = trio.current_time()
            self.leave(started=now, is_congested=False)
            return
        del self._waiting[number]
        self.limiter.leave_queue(number)

    def leave(self, *, started: float, is_congested: bool) -> None:
        """Record the end of a query admitted at `started`; admit queued ones."""
        self.limiter.leave(
            now=trio.current_time(), started=started, is_congested=is_congested
        )
        while (number := self.limiter.pop_ready()) is not None:
            self._waiting.pop(number).set()
