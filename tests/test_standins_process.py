"""The stand-ins as processes: they print `ready` and exit on SIGTERM."""

import json
import signal
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from lab.processes import find_free_ports
from standins import client

LIMIT_S = 30
ROOT = Path(__file__).parents[1]


def write_settings(directory: Path, ports: tuple[int, ...]) -> str:
    """Write a deployment of one entry host and one backend server."""
    at = [f"127.0.0.1:{port}" for port in ports]
    entry = {"callers": at[0], "peers": at[1], "admin": at[2]}
    server = {"address": at[3], "data_centre": "ptl-a"}
    group = {"servers": {"scheduler-00-a": server}}
    service = {"idempotent": True, "groups": {"scheduler-00": group}}
    tree = {
        "deployment": "cedarlight",
        "platform": at[4],
        "data_centres": {"ptl-a": {"hosts": {"ptl-a-1": entry}}},
        "services": {"scheduler": service},
    }
    file = directory / "cedarlight.jsonc"
    file.write_text(f"// A deployment for a test.\n{json.dumps(tree)}")
    return str(file)


@asynccontextmanager
async def run(*arguments: str):
    """Run a stand-in until it is ready; kill it if it outlives the test."""
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, cwd=ROOT
    )
    try:
        with trio.fail_after(LIMIT_S):
            assert process.stdout is not None
            output = b""
            while not output.endswith(b"\n"):
                data = await process.stdout.receive_some(100)
                assert data, "the stand-in ended before it was ready"
                output += data
            assert output == b"ready\n"
            yield process
    finally:
        process.kill()
        await process.wait()


class TestProcesses:
    async def test_servers_get_ready_serve_and_exit_on_sigterm(self, tmp_path):
        ports = find_free_ports(7)
        settings = write_settings(tmp_path, ports[:5])
        control = [f"127.0.0.1:{port}" for port in ports[5:]]
        platform = (
            "standins.platform",
            *("--listen", f"127.0.0.1:{ports[4]}", "--control", control[0]),
            *("--settings", settings),
        )
        backend = (
            "standins.backend",
            *("--settings", settings, "--only", "scheduler-*"),
            *("--control", control[1]),
        )
        async with run(*platform) as one, run(*backend) as other:
            at_platform = await client.connect("127.0.0.1", ports[4])
            hosts = await at_platform.request("GET", "/hosts")
            at_server = await client.connect("127.0.0.1", ports[3])
            health = await at_server.request("GET", "/health")
            at_control = await client.connect("127.0.0.1", ports[6])
            faults = await at_control.request("GET", "/faults")
            for process in (one, other):
                process.send_signal(signal.SIGTERM)
            statuses = [await process.wait() for process in (one, other)]
        assert hosts.json["hosts"][0]["name"] == "ptl-a-1"
        assert health.json == {"state": "serving", "index_versions": [1]}
        assert list(faults.json) == ["scheduler-00-a"]
        assert statuses == [0, 0]

    async def test_invalid_settings_are_refused(self, tmp_path):
        file = tmp_path / "bad.jsonc"
        file.write_text("{")
        command = (
            *(sys.executable, "-m", "standins.backend"),
            *("--settings", str(file), "--control", "127.0.0.1:1"),
        )
        with trio.fail_after(LIMIT_S):
            ended = await trio.run_process(
                command, cwd=ROOT, check=False, capture_stderr=True
            )
        assert ended.returncode == 1
        assert b"bad.jsonc" in ended.stderr

    async def test_load_tool_prints_one_line_of_json(self, tmp_path):
        settings = write_settings(tmp_path, find_free_ports(5))
        command = (
            *(sys.executable, "-m", "standins.load", "--settings", settings),
            *("--service", "scheduler", "--rate", "1000", "--count", "5"),
        )
        with trio.fail_after(LIMIT_S):
            ended = await trio.run_process(command, cwd=ROOT, capture_stdout=True)
        summary = json.loads(ended.stdout)
        assert (summary["sent"], summary["refused"]) == (5, 5)

    async def test_load_tool_exits_on_sigterm(self, tmp_path):
        settings = write_settings(tmp_path, find_free_ports(5))
        records = tmp_path / "records"
        command = [
            *(sys.executable, "-m", "standins.load", "--settings", settings),
            *("--service", "scheduler", "--rate", "10", "--duration", "600"),
            *("--count", "9999", "--records", str(records)),
        ]
        with trio.fail_after(LIMIT_S):
            process = await trio.lowlevel.open_process(command, cwd=ROOT)
            try:
                while not records.exists():
                    await trio.sleep(0.02)
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
            finally:
                process.kill()
