"""`lavendergap customers`, with scripted hosts."""

import json

import msgspec
import pytest

from lavendergap.commands import hosts
from lavendergap.commands.main import run
from lavendergap.entry.status import (
    MAX_CUSTOMERS,
    CustomerStatus,
    GatewayStatus,
    list_most_used,
)
from lavendergap.state.outcome import Reason, Step
from lavendergap.transport.httpclient import FailedCall, HttpReply


def make_customer(name, counted_by, **fields):
    known = {"rate_per_s": 4, "burst": 8, "n_used": 3, "n_refused": 0}
    return CustomerStatus(name=name, counted_by=counted_by, **(known | fields))


def make_status(host, *customers, version=7):
    return GatewayStatus(
        host=host,
        data_centre="dc-1",
        unready="",
        routes_version=version,
        n_servers=2,
        members=["a-1", "b-1"],
        limit_window_s=5.0,
        n_customers=40,
        customers=list(customers),
    )


@pytest.fixture
def ask(monkeypatch, capsys):
    """Run the command on these answers; return its exit code, stdout and stderr."""

    def run_on(statuses, *options):
        class FakeClient:
            def __init__(self, *, address):
                self.status = statuses[address.port - 1]

            async def call(self, _method, _path, *, limit_s):
                if self.status is None:
                    return FailedCall(
                        step=Step.CONNECT, reason=Reason.REFUSED_CONNECTION, sent=False
                    )
                body = msgspec.json.encode(self.status)
                return HttpReply(status=200, headers={}, body=body)

            async def aclose(self):
                pass

        monkeypatch.setattr(hosts, "HttpClient", FakeClient)
        addresses = [f"127.0.0.1:{n + 1}" for n in range(len(statuses))]
        code = run(["customers", *addresses, *options])
        shown = capsys.readouterr()
        return code, shown.out, shown.err

    return run_on


STATUSES = [
    make_status(
        "a-1",
        make_customer("c1", "a-1", role="settling", n_refused=2),
        make_customer("c2", "b-1"),
        version=6,
    ),
    make_status(
        "b-1",
        make_customer("c1", "a-1", rate_per_s=2, n_used=10),
        make_customer("c3", "", rate_per_s=0),
    ),
    None,
]


class TestCustomers:
    def test_hosts_are_added_up_and_the_newest_limit_is_shown(self, ask):
        code, out, err = ask(STATUSES)
        assert code == 0
        rows = [line.split("  ") for line in out.splitlines()]
        assert [[cell.strip() for cell in row if cell.strip()] for row in rows] == [
            ["CUSTOMER", "PER SECOND", "BURST", "USED", "REFUSED", "COUNTED BY"],
            ["c1", "2", "8", "13", "2", "a-1 (settling)"],
            # No host reports that it counts for this one, though b-1 is asked.
            ["c2", "4", "8", "3", "0", "b-1 (?)"],
            ["c3", "no limit", "3", "0"],
        ]
        assert err.splitlines() == [
            "version 7 of the manifest on 1 of 3 hosts, window 5 s",
            "version 6 on a-1",
            "127.0.0.1:3 does not answer: connect: refused connection",
            "3 of 40 customers shown, the most used ones",
        ]

    def test_programs_get_the_same_as_json(self, ask):
        shown = json.loads(ask(STATUSES, "--json")[1])
        assert shown["hosts"]["127.0.0.1:1"]["routes_version"] == 6
        assert shown["hosts"]["127.0.0.1:3"] == {
            "reason": "connect: refused connection"
        }
        assert [each["n_used"] for each in shown["customers"]] == [13, 3, 3]
        assert shown["customers"][0]["roles"] == {"a-1": "settling"}
        assert shown["customers"][0]["asked"] == {"a-1": 2}

    def test_mistakes_are_told_in_one_line(self, ask, capsys):
        code, _, err = ask([None])
        assert code == 3
        assert "none of 1 hosts answers (connect: refused connection); give the" in err
        assert run(["customers", "a-1"]) == 2
        assert "expected IP:PORT, found 'a-1'" in capsys.readouterr().err


class TestStatus:
    def test_the_most_used_customers_are_listed(self):
        # A response without a bound would grow with the manifest.
        customers = [make_customer(f"c{n}", "", n_used=n) for n in range(5_000)]
        listed = list_most_used(customers)
        assert [each.name for each in listed[:2]] == ["c4999", "c4998"]
        assert len(listed) == MAX_CUSTOMERS
