"""Groups whose near server turns slow, at low and high rates of calls.

The near servers turn eleven times slower for eight seconds. Servers take 7.5 ms with a
spread of 0.35 and pause for 100 ms in each 2.4 s; the goal is 82 ms. An owner gets
about 13 calls a second of a group with 20 shards, and one to four with 90.
"""

from dataclasses import dataclass, field, replace
from random import Random

import pytest

from lavendergap.coordination.calls import StartAttempt
from lavendergap.coordination.hedging import KindLatencies
from lavendergap.state.outcome import Reason
from lavendergap.state.settings import Group

from .groups import Owner, lose, make_group, make_owner

SERVICE_TIME_S = 0.0075
SPREAD = 0.35
SLOWDOWN_FACTOR = 11.0
PAUSE_S = 0.1
PAUSE_PERIOD_S = 2.4
GOAL_S = 0.082
SETTLE_S = 10.0
HEDGE_BUDGET = 0.13
N_GROUPS = 30
NEAR, FAR = "a", "bc"


@dataclass(kw_only=True)
class Load:
    """Counts of the calls of all groups, after the time to settle."""

    n_calls: int = 0
    n_far: int = 0
    n_hedges: int = 0
    n_late: int = 0

    @property
    def late_share(self) -> float:
        return self.n_late / self.n_calls

    @property
    def far_share(self) -> float:
        return self.n_far / self.n_calls


@dataclass(kw_only=True)
class GroupLoad:
    """One group's calls at random times, and its simulated servers."""

    owner: Owner
    rng: Random
    rate: float
    is_near_slow: bool
    load: Load
    began: float = 0.0
    n_served: int = 0
    ends: list[tuple[float, int, float]] = field(default_factory=list)
    waiting: dict[int, float] = field(default_factory=dict)
    phases: dict[str, float] = field(default_factory=dict)

    def play(self, seconds: float) -> None:
        self.began = self.owner.now + SETTLE_S
        self.phases = {s: self.rng.random() * PAUSE_PERIOD_S for s in NEAR + FAR}
        stops_at = self.began + seconds
        next_call = self.owner.now
        while True:
            wake = self.owner.scheduler.next_wake() or stops_at
            next_end = min(self.ends)[0] if self.ends else stops_at
            now = min(next_call, wake, next_end, stops_at)
            if now >= stops_at:
                return
            self.owner.now = max(self.owner.now, now)
            if now == next_call:
                self._submit()
                next_call += self.rng.expovariate(self.rate)
            elif now == next_end:
                self._end(*self.ends.pop(self.ends.index(min(self.ends))))
            else:
                self.owner.take(self.owner.scheduler.advance(now=self.owner.now))
            self._serve_started()
            self._count_finished()
            self._serve_started()

    def _submit(self) -> None:
        call = self.owner.submit(kind="search", goal_ms=GOAL_S * 1_000, in_ms=400)
        self.waiting[call.call_id] = self.owner.now

    def _serve_started(self) -> None:
        for start in self.owner.started[self.n_served :]:
            self._serve(start)
        self.n_served = len(self.owner.started)

    def _serve(self, start: StartAttempt) -> None:
        now = self.owner.now
        service_time = SERVICE_TIME_S * self.rng.lognormvariate(0.0, SPREAD)
        if self.is_near_slow and start.server == NEAR and now >= self.began:
            service_time *= SLOWDOWN_FACTOR
        into_pause = (now + self.phases[start.server]) % PAUSE_PERIOD_S
        service_time += max(0.0, PAUSE_S - into_pause)
        self.ends.append((now + service_time, start.attempt_id, service_time))
        if now >= self.began:
            self.load.n_hedges += start.cause == "hedge"
            self.load.n_far += start.cause == "first" and start.server != NEAR

    def _end(self, at: float, attempt_id: int, elapsed: float) -> None:
        if attempt_id in self.owner.open:
            self.owner.end(attempt_id, elapsed=elapsed)

    def _count_finished(self) -> None:
        for call_id in [c for c in self.waiting if c in self.owner.finished]:
            since = self.waiting.pop(call_id)
            if since >= self.began:
                self.load.n_calls += 1
                self.load.n_late += self.owner.now - since > GOAL_S
            for attempt_id, start in list(self.owner.open.items()):
                if start.call.call_id == call_id:
                    self._cancel(attempt_id)

    def _cancel(self, attempt_id: int) -> None:
        [end] = [end for end in self.ends if end[1] == attempt_id]
        self.ends.remove(end)
        elapsed = self.owner.now - (end[0] - end[2])
        self.owner.end(attempt_id, lose(Reason.CANCELLED), elapsed=elapsed)


def play(*, rate: float, is_near_slow: bool, seconds: float) -> Load:
    """Return the counts for `N_GROUPS` groups with `rate` calls a second each."""
    load = Load()
    rng = Random(1)
    kinds = KindLatencies()
    group = Group(
        name="scheduler-00",
        servers=tuple(
            replace(server, data_centre=data_centre)
            for server, data_centre in zip(
                make_group(NEAR + FAR).servers, ("near", "far", "far"), strict=True
            )
        ),
    )
    for number in range(N_GROUPS):
        owner = make_owner(
            group=group,
            data_centre="near",
            kinds=kinds,
            hedge_budget=HEDGE_BUDGET,
            seed=number,
        )
        GroupLoad(
            owner=owner, rng=rng, rate=rate, is_near_slow=is_near_slow, load=load
        ).play(seconds)
    return load


class TestSlowNearServer:
    # Guards against too few or too old samples to detect a slow server.
    @pytest.mark.parametrize(
        ("rate", "most_late"), [(1.0, 0.03), (4.0, 0.06), (13.0, 0.03)]
    )
    def test_few_calls_are_late(self, rate, most_late):
        load = play(rate=rate, is_near_slow=True, seconds=8.0)
        assert load.n_calls > 200
        assert load.late_share <= most_late


class TestCalm:
    @pytest.mark.parametrize("rate", [1.0, 4.0, 13.0])
    def test_pauses_send_few_calls_far(self, rate):
        # Guards against paid traffic between data centres because of pauses that are
        # over by the next call.
        load = play(rate=rate, is_near_slow=False, seconds=16.0)
        assert load.far_share <= 0.05
        assert load.late_share <= 0.005
