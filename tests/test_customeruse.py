"""What a host reports of its customers' use."""

from types import SimpleNamespace
from typing import Any

import pytest

from lavendergap.coordination.limits.counts import CountStatus
from lavendergap.entry.customeruse import CustomerUse, find_role
from lavendergap.state.customers import Customer, CustomerTable
from lavendergap.state.outcome import NotRun, Reason, Step


def make_count(name="c1", **fields):
    known = {"is_counting": True, "is_first": True, "share": 1.0, "n_used": 3}
    return CountStatus(customer=name, tokens=0.0, **(known | fields))


class TestRole:
    @pytest.mark.parametrize(
        ("fields", "role"),
        [
            ({}, "full"),
            ({"share": 0.5}, "share"),
            ({"is_counting": False}, "settling"),
            ({"is_counting": False, "is_first": False}, "substitute"),
            # It was asked, but granted nothing.
            ({"is_counting": False, "is_first": False, "n_used": 0}, ""),
        ],
    )
    def test_it_follows_from_how_the_host_counts(self, fields, role):
        assert find_role(make_count(**fields)) == role


class TestUse:
    async def test_counts_and_refusals_are_listed_by_customer(self):
        customers = {
            "c1": Customer(name="c1", rate_per_s=4.0, burst=8.0),
            "c2": Customer(name="c2", rate_per_s=1.0, burst=1.0),
            "free": Customer(name="free"),
        }
        counting: Any = SimpleNamespace(
            table=CustomerTable(customers=customers, names_by_digest={}),
            view=SimpleNamespace(window_s=1e6, rank=lambda name: ("a-1", "b-1")),
            # A version removed "gone", or its limit.
            list_counts=lambda: [make_count(), make_count("gone"), make_count("free")],
        )
        refusal = NotRun(step=Step.ADMIT, peer="a-1", reason=Reason.OVER_LIMIT)

        async def admit(request):
            return None if request.customer.name == "c1" else refusal

        use = CustomerUse(admit=admit, counting=counting)
        for name in ("c1", "c2", "c2"):
            request: Any = SimpleNamespace(customer=customers[name])
            assert await use.admit(request) is (None if name == "c1" else refusal)
        listed = [
            (each.name, each.n_used, each.n_refused, each.counted_by, each.role)
            for each in use.list_customers()
        ]
        assert listed == [("c1", 3, 0, "a-1", "full"), ("c2", 0, 2, "a-1", "")]
        assert use.count_customers() == 2
