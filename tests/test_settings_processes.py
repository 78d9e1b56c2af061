"""Edits of the settings with real processes while hosts or the platform fail."""

import msgspec
import pytest
import trio

from lab.bookers import call
from lab.processes import (
    DeploymentShape,
    ServiceShape,
    find_free_address,
    open_processes,
    write_deployment,
)
from lavendergap.coordination.watchers import choose_watch_holders
from lavendergap.protocol.objects import SettingsObject, encode_settings_object
from lavendergap.state.customers import digest_key
from lavendergap.state.member import Member
from lavendergap.transport.platform import Found, PlatformClient, Stored
from standins.fleet import parse_address

# Turns a hang into a failure; well above the duration of any test.
HANG_LIMIT = 30.0
CONTROL = {"probe_interval_ms": 100, "probe_timeout_ms": 50, "suspect_ms": 1_000}
SHAPE = DeploymentShape(
    n_hosts=4,
    services=(ServiceShape(name="scheduler"),),
    control=CONTROL,
)
KEY = "settings/lab"
N_HOLDERS = 2


class Bench:
    """Four entry hosts and the platform; no backend server is needed."""

    def __init__(self, processes, deployment):
        self.processes = processes
        self.deployment = deployment
        self.hosts = {host.name: host for host in deployment.hosts}
        self.entries = {}
        self.control = find_free_address()
        members = [
            Member(
                name=host.name,
                data_centre=host.data_centre,
                peers=parse_address(host.peers),
                incarnation=1,
            )
            for host in deployment.hosts
        ]
        self.holders = choose_watch_holders(members, N_HOLDERS)
        self.others = [name for name in self.hosts if name not in self.holders]

    async def start_host(self, name):
        self.entries[name] = await self.processes.start_entry(
            self.deployment, host=name
        )

    async def set_platform(self, **faults):
        body = msgspec.json.encode(faults)
        answer = await call(self.control, "POST", "/faults", body=body)
        assert answer is not None and answer.status == 200

    async def edit(self, deadline_ms, **options):
        """Store an operator's edit; return its version."""
        address = parse_address(self.deployment.platform)
        async with PlatformClient(address=address) as client:
            found = await client.get(KEY)
            assert isinstance(found, Found)
            text = self.deployment.settings.read_text()
            edited = msgspec.json.encode(options | {"deadline_ms": deadline_ms})
            text = text.replace("{", edited.decode().removesuffix("}") + ",", 1)
            value = encode_settings_object(SettingsObject(text=text))
            stored = await client.put(KEY, value, base=found.version)
            assert isinstance(stored, Stored)
            return stored.version

    async def get_status(self, name):
        answer = await call(self.hosts[name].admin, "GET", "/status")
        return answer.json if answer is not None else None

    async def wait_for(self, version, names):
        """Wait until `version` is active on all of `names`; none may go back."""
        for name in names:
            seen = 0
            while seen < version:
                status = await self.get_status(name)
                assert status is not None
                assert status["settings"]["version"] >= seen
                seen = status["settings"]["version"]
                await trio.sleep(0.02)


@pytest.fixture
async def bench():
    with trio.fail_after(2 * HANG_LIMIT):
        async with open_processes() as processes:
            deployment = write_deployment(shape=SHAPE, directory=processes.directory)
            bench = Bench(processes, deployment)
            await processes.start_platform(deployment, control=bench.control)
            async with trio.open_nursery() as nursery:
                for name in bench.hosts:
                    nursery.start_soon(bench.start_host, name)
            yield bench


class TestAcceptedEdit:
    async def test_is_activated_when_a_watch_holder_dies_at_that_moment(self, bench):
        # A watch holder dies without having read an accepted edit. The other hosts get
        # it from the second holder, and the first one before it is ready again.
        victim = bench.holders[0]
        bench.entries[victim].pause()
        version = await bench.edit(250)
        await bench.entries[victim].kill()
        with trio.fail_after(HANG_LIMIT):
            await bench.wait_for(version, [bench.holders[1], *bench.others])
            await bench.start_host(victim)
            status = await bench.get_status(victim)
        assert status["settings"]["version"] == version

    async def test_is_activated_when_all_watch_holders_die(self, bench):
        # No watch holder has read the edit. The hosts ranked next take over once the
        # dead ones are detected, and have to read it.
        for name in bench.holders:
            bench.entries[name].pause()
        version = await bench.edit(250)
        for name in bench.holders:
            await bench.entries[name].kill()
        with trio.fail_after(HANG_LIMIT):
            await bench.wait_for(version, bench.others)


class TestCustomers:
    async def test_a_removed_key_is_refused_by_all_hosts(self, bench):
        """Guards against a host that learns of keys, but not from its peers."""
        keys = [b"key-that-leaked", b"key-that-stays"]
        digests = [digest_key(key).hex() for key in keys]
        found = []
        with trio.fail_after(HANG_LIMIT):
            for kept in (digests, digests[1:]):
                customers = {"acme": {"key_sha256": kept}}
                version = await bench.edit(250, customers=customers)
                await bench.wait_for(version, bench.hosts)
                for host in bench.hosts.values():
                    for key in (b"", *keys):
                        headers = {"Customer-Key": key.decode()}
                        path = "/v1/services/scheduler/query"
                        answer = await call(
                            host.callers, "POST", path, headers=headers, body=b"{}"
                        )
                        found.append(answer is not None and answer.status == 401)
        refused = [True, False, False] * 4 + [True, True, False] * 4
        assert found == refused
        for running in bench.entries.values():
            assert "key-that" not in running.read_log()


class TestPlatformDown:
    async def test_a_restarted_host_gets_the_newest_version_from_its_peers(self, bench):
        # Guards against serving with the old file after a restart during an outage of
        # the platform.
        version = await bench.edit(250)
        await bench.wait_for(version, bench.hosts)
        await bench.set_platform(down=True)
        name = bench.others[0]
        assert await bench.entries[name].stop() == 0
        with trio.fail_after(HANG_LIMIT):
            await bench.start_host(name)
        status = await bench.get_status(name)
        assert status["settings"]["version"] == version
        assert status["settings"]["source"] == "peer"
        await bench.set_platform(down=False)
        newer = await bench.edit(260)
        with trio.fail_after(HANG_LIMIT):
            await bench.wait_for(newer, bench.hosts)

    async def test_a_restarted_host_and_a_platform_that_lags(self, bench):
        # The platform's reads lag behind while a host restarts. Guards against serving
        # with the version before the edit.
        version = await bench.edit(250)
        await bench.wait_for(version, bench.hosts)
        await bench.set_platform(stale_reads_ms=60_000)
        name = bench.others[0]
        await bench.entries[name].kill()
        with trio.fail_after(HANG_LIMIT):
            await bench.start_host(name)
        status = await bench.get_status(name)
        assert status["settings"]["version"] == version
