"""Budgets of extra attempts."""

from lavendergap.coordination.budget import Budget


class TestBudget:
    def test_calls_earn_their_share(self):
        budget = Budget(share=0.05, burst=3.0, per_second=0.0)
        n_spent = 0
        for _ in range(1_000):
            budget.record_call()
            n_spent += budget.try_spend(now=0.0)
        assert n_spent == 3 + 50 - 1 or n_spent == 3 + 50

    def test_a_quiet_time_saves_no_more_than_the_burst(self):
        # Guards against tokens saved in a quiet time being spent in one burst of extra
        # calls.
        budget = Budget(share=0.5, burst=2.0, per_second=1.0)
        for _ in range(1_000):
            budget.record_call()
        budget.try_spend(now=0.0)
        assert [budget.try_spend(now=9_999.0) for _ in range(3)] == [True, True, False]

    def test_time_pays_for_a_group_with_few_calls(self):
        budget = Budget(share=0.01, burst=1.0, per_second=1.0)
        assert budget.try_spend(now=0.0)
        assert not budget.try_spend(now=0.5)
        assert budget.try_spend(now=1.1)

    def test_no_share_means_no_extra_attempt(self):
        budget = Budget(share=0.0, burst=10.0, per_second=1.0)
        budget.record_call()
        assert not budget.try_spend(now=100.0)
