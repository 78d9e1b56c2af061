"""Gateway processes whose store comes back from an older copy."""

import pytest
import trio

from lab.gateways import (
    DRAIN_MS,
    Gateway,
    Platform,
    make_one_route,
    open_platform,
)
from lavendergap.entry.feedpeers import STARTUP_TIME_S

# An accepted change of the routes has to be in force everywhere within this time.
APPLY_LIMIT_S = 3.0
FIRST_VERSION = 10
HOSTS_KIND = "lavendergap-hosts"


@pytest.fixture
async def platform(tmp_path):
    """Yield three hosts past their startup, two of which watch the store."""
    async with open_platform(tmp_path) as platform:
        for zone in ("ptl-a", "ptl-b"):
            await platform.add_leaf("desk", zone)
        write_version(platform, FIRST_VERSION)
        await platform.start("ptl-a", "ptl-b", "sea-a")
        await trio.sleep(STARTUP_TIME_S)
        yield platform


def write_version(platform: Platform, version: int) -> None:
    """Write routes with one path that no other version has."""
    platform.write_routes(version, [make_one_route(f"/v{version}/", "desk")])


async def wait_for_version(platform: Platform, version: int) -> None:
    """Return once the version is in force on all hosts."""

    async def wait_for_host(gateway: Gateway) -> None:
        while (await platform.request(gateway, f"/v{version}/")).status != 200:
            await trio.sleep(0.05)

    with trio.fail_after(APPLY_LIMIT_S):
        async with trio.open_nursery() as nursery:
            for gateway in platform.gateways:
                nursery.start_soon(wait_for_host, gateway)


async def restore_store(platform: Platform, *, n_lost: int) -> int:
    """Lose `n_lost` changes of the routes; return the version in force on all hosts.

    The operator and the servers write again what they had written.
    """
    copy = platform.store.take_copy()
    newest = FIRST_VERSION + n_lost
    for version in range(FIRST_VERSION + 1, newest + 1):
        write_version(platform, version)
    await wait_for_version(platform, newest)
    platform.store.restore(copy)
    write_version(platform, newest)
    for leaf in platform.leaves:
        leaf.register(platform.store, "ready")
    return newest


class TestChanges:
    """Guards against hosts that ignore a restored store until its revisions catch up.

    `n_lost` and `n_changes` make the revisions after the restore stay below those from
    before it, reach them and pass them.
    """

    @pytest.mark.parametrize(
        ("n_lost", "n_changes"), [(5, 1), (3, 2), (1, 1), (1, 3), (2, 4)]
    )
    async def test_a_change_after_a_restore_is_in_force_in_time(
        self, platform, n_lost, n_changes
    ):
        version = await restore_store(platform, n_lost=n_lost)
        for _ in range(n_changes):
            version += 1
            write_version(platform, version)
        await wait_for_version(platform, version)


class TestHosts:
    async def test_hosts_are_registered_again(self, platform):
        """Guards against hosts that cannot be found after the store has lost them."""

        async def wait_for_entries(n_entries: int) -> None:
            with trio.fail_after(10.0):
                while len(platform.store.list_names(HOSTS_KIND)) < n_entries:
                    await trio.sleep(0.1)

        await wait_for_entries(3)
        copy = platform.store.take_copy()
        del copy.kinds[HOSTS_KIND]
        platform.store.restore(copy)
        await wait_for_entries(3)


class TestServers:
    async def test_a_server_that_drains_before_hosts_see_the_restore(self, platform):
        """Guards against a watch that skips changes whose revisions are reused."""
        copy = platform.store.take_copy()
        started = await platform.add_leaf("desk", "sea-a")
        await trio.sleep(0.5)
        platform.store.mode = "busy"
        await trio.sleep(0.5)
        platform.store.restore(copy)
        leaving, *_ = platform.leaves
        leaving.register(platform.store, "draining")
        started.register(platform.store, "ready")
        platform.store.mode = "up"
        await trio.sleep(DRAIN_MS / 1_000)
        n_before = leaving.arrivals.total()
        for _ in range(3):
            for gateway in platform.gateways:
                path = f"/v{FIRST_VERSION}/"
                assert (await platform.request(gateway, path)).status == 200
        assert leaving.arrivals.total() == n_before

    async def test_a_draining_server_that_the_copy_shows_as_ready(self, platform):
        """Guards against calls to a leaving server after a restore."""
        copy = platform.store.take_copy()
        leaving, *_ = platform.leaves
        leaving.register(platform.store, "draining")
        await trio.sleep(1.0)
        platform.store.restore(copy)
        await trio.sleep(1.0)
        n_before = leaving.arrivals.total()
        for _ in range(3):
            for gateway in platform.gateways:
                path = f"/v{FIRST_VERSION}/"
                assert (await platform.request(gateway, path)).status == 200
        assert leaving.arrivals.total() == n_before


class TestCalls:
    async def test_hosts_do_not_flood_a_restored_store(self, platform):
        """Guards against listing and watching in turns without a pause."""
        await restore_store(platform, n_lost=5)
        n_before = platform.store.n_calls
        await trio.sleep(3.0)
        assert platform.store.n_calls - n_before < 60
