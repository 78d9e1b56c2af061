"""The time a host keeps before the goal for joining and writing an answer.

The host has an eighth of a core and joins 87 parts, which takes it 40 to 60 ms, for a
goal of 120 ms.
"""

from lavendergap.coordination.answerreserve import (
    MAX_SAMPLE_AGE_S,
    MIN_SAMPLES,
    AnswerReserve,
)
from lavendergap.coordination.callerdelay import CallerDelay, compute_goal
from lavendergap.state.routes import GreatestOfAll, Route

SLOW_MS = (40.0, 45.0, 50.0, 60.0)
ROUTE = Route(
    name="sweep",
    host="a.example",
    prefix="/",
    target=GreatestOfAll(
        groups=tuple(f"s{number}" for number in range(87)), n_records=50, min_share=0.95
    ),
    idempotent=True,
    max_attempts=2,
    timeout_ms=600,
    goal_ms=120,
    priority=1,
)
CALLER_DELAY = CallerDelay(spent_ms=0.0, round_trip_ms=6.0)


N_PARTS = 87
WEAK_CORES = 0.5


def make_reserve(*samples_ms: float, cores: float = WEAK_CORES) -> AnswerReserve:
    reserve = AnswerReserve(cores=cores)
    for elapsed_ms in samples_ms:
        reserve.note(elapsed_ms=elapsed_ms, now=0.0)
    return reserve


class TestReserve:
    EXPECTED_MS = make_reserve().get_ms(n_parts=N_PARTS, now=0.0)

    def test_a_slow_host_stops_waiting_early_enough(self):
        reserve_ms = make_reserve(*SLOW_MS).get_ms(n_parts=N_PARTS, now=0.0)
        goal_ms = compute_goal(ROUTE, CALLER_DELAY, reserve_ms=reserve_ms)
        late = [
            ms
            for ms in SLOW_MS
            if goal_ms + ms + CALLER_DELAY.round_trip_ms > ROUTE.goal_ms
        ]
        assert len(late) <= len(SLOW_MS) / 4

    def test_a_fast_host_keeps_what_is_known_to_be_good(self):
        # Guards against a shorter reserve, which would be too short on a slow link or
        # at a busy moment.
        for cores in (0.5, 1.0, 2.0):
            reserve = make_reserve(*[2.0] * 8, cores=cores)
            assert reserve.get_ms(n_parts=N_PARTS, now=0.0) == self.EXPECTED_MS

    def test_an_answer_of_many_parts_has_more(self):
        # Guards against a reserve too short to send an answer of many parts on a slow
        # link.
        assert make_reserve().get_ms(n_parts=135, now=0.0) > 18

    def test_one_slow_answer_does_not_decide(self):
        reserve = make_reserve(*[30.0] * 8, 300.0)
        assert reserve.get_ms(n_parts=N_PARTS, now=0.0) == 30.0

    def test_a_host_of_which_nothing_is_known_yet_goes_by_its_strength(self):
        # Guards against late answers of a weak host until it has enough samples.
        for n_samples in range(MIN_SAMPLES):
            reserve = make_reserve(*SLOW_MS[:n_samples], cores=0.12)
            reserve_ms = reserve.get_ms(n_parts=N_PARTS, now=0.0)
            assert min(SLOW_MS) < reserve_ms < 70.0

    def test_an_answer_of_one_server_keeps_no_time_to_join(self):
        # Guards against hedging a call for one server earlier by the time to join 87
        # parts.
        reserve = make_reserve(*SLOW_MS)
        unknown = make_reserve()
        now = 0.0
        assert reserve.get_ms(n_parts=1, now=now) == unknown.get_ms(n_parts=1, now=now)

    def test_a_busy_time_is_forgotten(self):
        reserve = make_reserve(*SLOW_MS)
        assert reserve.get_ms(n_parts=N_PARTS, now=MAX_SAMPLE_AGE_S) > self.EXPECTED_MS
        later = reserve.get_ms(n_parts=N_PARTS, now=MAX_SAMPLE_AGE_S + 1.0)
        assert later == self.EXPECTED_MS
