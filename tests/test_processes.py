"""The helper that starts processes for the lab, the demo and the tests."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest
import trio

from lab import processes
from lab.processes import (
    DeploymentShape,
    ServiceShape,
    StartError,
    find_free_ports,
    open_processes,
    read_usage,
    write_deployment,
)
from lavendergap.state.tree import load_settings

# Programs are modules of the temporary directory, found through PYTHONPATH.
SLEEPER = "import time\nprint('ready')\ntime.sleep(600)\n"
STUBBORN = (
    "import signal, time\n"
    "signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
    "print('ready')\ntime.sleep(600)\n"
)
FAILING = "import sys\nsys.exit('no such host')\n"
SILENT = "import time\ntime.sleep(600)\n"

# A program of the lab that is terminated while its process runs.
HARNESS = """
import sys, trio
from lab.processes import open_processes
async def main():
    async with open_processes(stop_s=0.5) as processes:
        running = await processes.start("stubborn")
        print(running.pid, processes.directory, flush=True)
        await trio.sleep_forever()
trio.run(main)
"""


@pytest.fixture
def environment(tmp_path):
    for name, text in {
        "sleeper": SLEEPER,
        "stubborn": STUBBORN,
        "failing": FAILING,
        "silent": SILENT,
    }.items():
        (tmp_path / f"{name}.py").write_text(text)
    return {"PYTHONPATH": f"{tmp_path}{os.pathsep}{os.getcwd()}"}


def is_gone(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return True
    return False


class TestStart:
    async def test_returns_once_ready_and_measures(self, environment):
        async with open_processes() as processes:
            running = await processes.start("sleeper", environment=environment)
            assert running.is_alive()
            assert read_usage(running.pid).rss_bytes > 1_000_000

    async def test_an_early_exit_shows_the_output(self, environment):
        with pytest.raises(StartError, match="no such host"):
            async with open_processes() as processes:
                await processes.start("failing", environment=environment)

    async def test_a_process_that_is_never_ready_is_stopped(self, environment):
        with pytest.raises(StartError, match="not ready"):
            async with open_processes() as processes:
                await processes.start("silent", ready_s=0.1, environment=environment)
        assert is_gone(processes.running[0].pid)


class TestCleanUp:
    async def test_paused_and_running_ones_end_when_the_block_fails(self, environment):
        with pytest.raises(ZeroDivisionError):
            async with open_processes() as processes:
                paused = await processes.start("sleeper", environment=environment)
                await processes.start("sleeper", environment=environment)
                paused.pause()
                raise ZeroDivisionError
        assert all(is_gone(each.pid) for each in processes.running)
        assert not processes.directory.exists()

    async def test_a_process_that_ignores_the_request_is_killed(self, environment):
        async with open_processes() as processes:
            running = await processes.start("stubborn", environment=environment)
            assert await running.stop(limit_s=0.1) == -signal.SIGKILL

    async def test_cancelled_block(self, environment):
        with trio.CancelScope() as scope:
            async with open_processes() as processes:
                await processes.start("sleeper", environment=environment)
                scope.cancel()
                await trio.sleep_forever()
        assert is_gone(processes.running[0].pid)

    def test_terminated_harness(self, environment):
        # Guards against processes that outlive a harness ended by SIGTERM and keep
        # their ports. `timeout` sends the signal twice, the second one in the clean-up.
        harness = subprocess.Popen(
            [sys.executable, "-c", HARNESS],
            env={**os.environ, **environment},
            stdout=subprocess.PIPE,
            text=True,
        )
        with harness:
            assert harness.stdout is not None
            pid, directory = harness.stdout.readline().split()
            harness.terminate()
            time.sleep(0.1)
            harness.terminate()
            assert harness.wait() == 128 + signal.SIGTERM
        assert is_gone(int(pid))
        assert not os.path.exists(directory)


class TestWriteDeployment:
    def test_shape_and_distinct_addresses(self, tmp_path):
        services = (
            ServiceShape(name="scheduler", n_groups=3, options={"deadline_ms": 90}),
            ServiceShape(name="sponsor-ledger", n_servers=4, idempotent=False),
        )
        shape = DeploymentShape(n_hosts=3, services=services, options={"slots": 6})
        deployment = write_deployment(shape=shape, directory=tmp_path)
        tree = json.loads(deployment.settings.read_text())
        assert [each.name for each in deployment.hosts] == ["dc0-0", "dc1-0", "dc0-1"]
        assert list(tree["data_centres"]["dc0"]["hosts"]) == ["dc0-0", "dc0-1"]
        assert tree["slots"] == 6
        assert tree["services"]["scheduler"]["deadline_ms"] == 90
        assert len(tree["services"]["scheduler"]["groups"]) == 3
        ledger = tree["services"]["sponsor-ledger"]
        assert len(ledger["groups"]["sponsor-ledger-00"]["servers"]) == 4
        assert len(load_settings(deployment.settings).hosts) == 3
        addresses = deployment.settings.read_text().count("127.0.0.1:")
        assert addresses == 1 + 3 * 3 + 3 * 2 + 4

    def test_a_single_host_leaves_one_data_centre(self, tmp_path):
        shape = DeploymentShape(n_hosts=1, services=(ServiceShape(name="scheduler"),))
        deployment = write_deployment(shape=shape, directory=tmp_path)
        assert len(load_settings(deployment.settings).hosts) == 1

    def test_free_ports_are_distinct(self):
        assert len(set(find_free_ports(50))) == 50

    def test_a_port_is_assigned_once(self, monkeypatch):
        # Guards against a port that is assigned to two programs, the second of which
        # then fails to start.
        monkeypatch.setattr(processes, "FIRST_PORT", 31_800)
        dealt = [*find_free_ports(40), *find_free_ports(40), *find_free_ports(40)]
        assert len(set(dealt)) == 120


class TestStartsAtOnce:
    async def test_each_waits_for_its_own_ready(self, tmp_path):
        # Guards against an output file shared by two processes of one name: the second
        # one would count as ready when the first one is.
        quick = "print('ready', flush=True); import time; time.sleep(60)"
        never = "import time; time.sleep(60)"
        async with open_processes(directory=tmp_path) as processes:

            async def start(program: str) -> None:
                command = [sys.executable, "-c", program]
                await processes.start_program(command, name="same", ready_s=3.0)

            with pytest.raises(ExceptionGroup) as caught:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(start, quick)
                    nursery.start_soon(start, never)
            assert caught.group_contains(StartError, match="not ready")
