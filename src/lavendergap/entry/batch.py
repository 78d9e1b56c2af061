"""Calls submitted to an owner, and when those of one query may be hedged."""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from msgspec import Struct

from ..coordination.calls import Call, FinishCall
from ..coordination.hedging import LATEST_HEDGE_SHARE
from ..state.outcome import Answered

# Called with the end of a call and the index versions that its server reported.
FinishCallback = Callable[[FinishCall, tuple[int, ...]], None]


class SubmittedCall(Struct, frozen=True, kw_only=True):
    """A call to be made; `finish` is called when it has ended."""

    call: Call
    finish: FinishCallback


@dataclass(kw_only=True, slots=True)
class Batch:
    """The calls of one query that were submitted to this owner together.

    If there is only one, it is not hedged before `single_hedge_at`, a time on the
    loop's clock.
    """

    n_calls: int
    single_hedge_at: float
    n_answered: int = 0

    def may_hedge(self) -> bool:
        """Return whether a slow call may be hedged.

        A request that crashes servers looks slow at first; hedged, it would crash the
        group's second server, too. Once another call of the query has been answered,
        the request is safe. A single call waits instead, as a server that crashes
        does so within milliseconds.
        """
        if self.n_answered > 0:
            return True
        return self.n_calls == 1 and trio.current_time() >= self.single_hedge_at

    def track(self, finish: FinishCallback) -> FinishCallback:
        """Return a `finish` that also counts the call's answer here."""

        def count_and_finish(end: FinishCall, versions: tuple[int, ...]) -> None:
            self.n_answered += isinstance(end.outcome, Answered)
            finish(end, versions)

        return count_and_finish


def make_batch(calls: list[Call]) -> Batch:
    """Return the batch of one query's calls, which are submitted now."""
    [first, *_] = calls
    now = trio.current_time()
    single_hedge_at = now
    if first.no_retry_after_server_end:
        single_hedge_at += LATEST_HEDGE_SHARE * max(0.0, first.goal_at - now)
    return Batch(n_calls=len(calls), single_hedge_at=single_hedge_at)
