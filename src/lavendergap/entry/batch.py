"""Calls that somebody wants made, and what those of one query tell of each other."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..coordination.calls import Call, FinishCall
from ..coordination.hedging import LATEST_HEDGE_SHARE
from ..state.outcome import Answered

# Told how a call ended, and which index versions the server said it has.
Finish = Callable[[FinishCall, tuple[int, ...]], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class Wanted:
    """A call that somebody wants made, and who is told how it ended."""

    call: Call
    finish: Finish


@dataclass(kw_only=True, slots=True)
class Batch:
    """The calls of one query that came to this owner together.

    The only call of a search here is not hedged before `alone_until`, a time on the
    loop's clock.
    """

    n_calls: int
    alone_until: float
    n_answered: int = 0

    def may_hedge(self) -> bool:
        """Tell whether a call that is slow may go to a second server.

        A request that ends servers looks slow until its first server has ended. Hedged
        meanwhile, each of its calls took the group's second server, and no caller had
        any left. Where another call of the query was answered it ends no servers, and
        of nearly all queries one was by the time at which hedges are due. For a call
        without others, time has to tell: servers end within milliseconds.
        """
        if self.n_answered > 0:
            return True
        return self.n_calls == 1 and trio.current_time() >= self.alone_until

    def follow(self, wanted: Wanted) -> Wanted:
        """Return the same, counted here when it is answered."""

        def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
            self.n_answered += isinstance(end.outcome, Answered)
            wanted.finish(end, versions)

        return Wanted(call=wanted.call, finish=finish)


def make_batch(calls: list[Call]) -> Batch:
    """Return the batch of calls that are submitted now, of one query."""
    [first, *_] = calls
    now = trio.current_time()
    alone_until = now
    if first.ends_with_server:
        alone_until += LATEST_HEDGE_SHARE * max(0.0, first.wanted_by - now)
    return Batch(n_calls=len(calls), alone_until=alone_until)
