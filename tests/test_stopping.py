"""Which requests a stopping host still begins."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavendergap.coordination.stopping import make_stop_plan

WITHIN_S = st.floats(min_value=0.5, max_value=60.0)
RESERVE_SHARE = st.floats(min_value=0.05, max_value=0.5)


def make_plan(within_s: float = 6.0, reserve_s: float = 0.8):
    return make_stop_plan(
        now=100.0, within_s=within_s, notice_s=2.6, reserve_s=reserve_s
    )


class TestStopPlan:
    @pytest.mark.parametrize(
        ("now", "deadline", "expected"),
        [
            (101.0, 200.0, True),  # the balancer may not have noticed
            (102.5, 105.3, True),
            (102.7, 105.1, True),
            (102.7, 105.3, False),
            (105.1, 105.2, True),
            (105.3, 105.4, False),
        ],
    )
    def test_requests_that_can_end_in_time_are_begun(self, now, deadline, expected):
        assert make_plan().may_begin(deadline=deadline, now=now) is expected

    @given(WITHIN_S, RESERVE_SHARE)
    def test_each_phase_has_its_time(self, within_s, share):
        """Guards against a process that is killed before it has answered."""
        plan = make_plan(within_s, within_s * share)
        times = (100.0, plan.last_deadline, plan.gives_up_at, plan.ends_at)
        assert list(times) == sorted(set(times))
        assert plan.ends_at < 100.0 + within_s
        assert 100.0 < plan.notice_ends_at <= 100.0 + within_s / 2

    @given(st.floats(min_value=0.0, max_value=200.0), st.floats(0.0, 200.0))
    def test_a_closed_plan_begins_nothing(self, now, deadline):
        assert not make_plan().close().may_begin(deadline=deadline, now=now)
