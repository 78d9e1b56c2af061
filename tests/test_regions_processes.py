"""Gateway processes in two regions, with routes that are restricted to one region."""

import pytest

from lab.gateways import (
    make_one_route,
    make_search_route,
    open_platform,
)

SHARDS = [f"shard{n}" for n in range(6)]
REGIONS = {"ptl-a": "cascadia", "ptl-b": "cascadia", "cle-a": "erie"}
HOME = ["cascadia"]


@pytest.fixture
async def platform(tmp_path):
    async with open_platform(tmp_path, regions=REGIONS) as platform:
        for group in (*SHARDS, "desk"):
            for data_centre in ("ptl-a", "cle-a"):
                await platform.add_leaf(group, data_centre)
        platform.write_routes(
            3,
            [
                make_search_route("/all/", SHARDS),
                make_search_route("/home/", SHARDS, allowed_regions=HOME),
                make_one_route("/one/", "desk", allowed_regions=HOME),
                make_one_route("/lost/", "desk", allowed_regions=["nowhere"]),
            ],
        )
        yield platform


class TestAllowedRegions:
    async def test_no_server_outside_the_allowed_regions_runs_a_request(self, platform):
        """Guards against nearer replicas, hedges and owners in a forbidden region."""
        gateways = await platform.start(*REGIONS)
        for leaf in platform.leaves:
            leaf.faults.work_s = 0.25 if leaf.zone == "ptl-a" else 0.005
        for gateway in gateways:
            for _ in range(3):
                found = await platform.request(gateway, "/home/x")
                assert found.status == 200
                assert found.get("lavendergap-missing-parts") == "0"
                assert (await platform.request(gateway, "/one/y")).status == 200
        assert platform.count_arrivals("cle-a") == 0

    async def test_no_host_outside_the_allowed_regions_owns_a_part(self, platform):
        """Guards against a body that is sent to a host outside the allowed regions."""
        home, abroad = await platform.start("ptl-a", "cle-a")
        for _ in range(3):
            assert (await platform.request(home, "/home/x")).status == 200
        assert not abroad.read_events("plan")

    async def test_routes_without_allowed_regions_use_all(self, platform):
        """Guards against a restriction of routes without allowed regions."""
        gateways = await platform.start(*REGIONS)
        for gateway in gateways:
            assert (await platform.request(gateway, "/all/x")).status == 200
        assert platform.count_arrivals("cle-a") > 0

    async def test_requests_without_servers_in_the_allowed_regions_are_refused_at_once(
        self, platform
    ):
        """Guards against requests that are held, or run in another region."""
        [gateway] = await platform.start("ptl-a")
        answer = await platform.request(gateway, "/lost/x", attempt="lost")
        assert answer.status == 503
        assert all("lost" not in leaf.arrivals for leaf in platform.leaves)
