"""The stand-ins' customers, and the soak test's bound on what they may run."""

import os

import pytest
import trio

from lab.proxy import Proxy, list_ports
from lab.soakcustomers import (
    APPLY_LIMIT_S,
    DISTURBANCE_S,
    OVERAGE,
    SLACK,
    WINDOW_S,
    LimitHistory,
)
from standins.client import LostConnectionError, connect
from standins.customers import CUSTOMER_HEADER, KEY_HEADER, CustomerEntry, make_key
from standins.leafservers import Leaf
from standins.objectstore import ObjectStore


class TestServers:
    @pytest.mark.parametrize(
        ("headers", "body", "has_key"),
        [
            ({}, b"", False),
            ({KEY_HEADER: "any"}, b"", True),
            # A host that forwards the key under another name reveals it all the same.
            ({"Cookie": f"k={make_key()}"}, b"", True),
            ({}, make_key().encode(), True),
        ],
    )
    async def test_they_record_the_customer_and_any_key(self, headers, body, has_key):
        leaf = Leaf(service="desk", zone="ptl-a")
        sent = {CUSTOMER_HEADER: "c1", "Lavendergap-Attempt-Id": "a1", **headers}
        async with trio.open_nursery() as nursery:
            await nursery.start(leaf.run, ObjectStore())
            client = await connect("127.0.0.1", int(leaf.address.rpartition(":")[2]))
            await client.request("GET", "/", headers=sent, body=body)
            await client.aclose()
            nursery.cancel_scope.cancel()
        [received] = leaf.received
        assert (received.attempt, received.customer) == ("a1", "c1")
        assert (received.has_key, received.is_run) == (has_key, True)


class TestBound:
    def test_a_lowered_limit_binds_once_it_must_be_in_force(self):
        customer = CustomerEntry(name="c1", rate_per_s=8, burst=16)
        history = LimitHistory()
        history.append(0.0, customer)
        customer.rate_per_s, customer.burst = 2, 4
        history.append(10.0, customer)
        high, low = (each * (1 + OVERAGE) + SLACK for each in (56, 14))
        binds_after = 10.0 + WINDOW_S + APPLY_LIMIT_S + DISTURBANCE_S
        assert history.get_bound(9.0) == pytest.approx(high)
        assert history.get_bound(binds_after) == pytest.approx(high)
        assert history.get_bound(binds_after + 0.1) == pytest.approx(low)
        # A host that starts from the restored store may use the old limit again.
        history.append_again(30.0)
        assert history.get_bound(31.0) == pytest.approx(high)

    def test_only_runs_within_one_window_are_counted(self):
        history = LimitHistory()
        history.append(0.0, CustomerEntry(name="c1", rate_per_s=1, burst=0))
        counted = [history.count_run(at)[0] for at in (0.0, 4.0, 4.9, 5.0, 12.0)]
        assert counted == [1, 2, 3, 3, 1]
        assert history.most == 3


class TestProxy:
    async def test_one_process_is_cut_off_from_the_store(self):
        # Hosts with another address of the store would be another deployment, so that
        # all reach it through one proxy.
        async with trio.open_nursery() as nursery:
            server = ObjectStore().make_server(ip="127.0.0.1", port=0)
            proxy = Proxy(target=await nursery.start(server.run))
            await nursery.start(proxy.run)
            client = await connect("127.0.0.1", proxy.port)
            assert (await client.request("GET", "/objects/a")).status == 200
            proxy.cut_off(lambda port: port in list_ports(os.getpid()))
            for cut_client in (client, await connect("127.0.0.1", proxy.port)):
                with pytest.raises(LostConnectionError):
                    await cut_client.request("GET", "/objects/a")
                await cut_client.aclose()
            nursery.cancel_scope.cancel()
        assert list_ports(2**22 + 1) == set()
