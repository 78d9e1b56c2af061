"""The command line: output, exit codes and error messages."""

import copy
import hashlib
import io
import json
import logging
import math
import socket
import subprocess
import sys
import threading

import msgspec
import pytest
import trio

from lab.processes import DeploymentShape, ServiceShape, write_deployment
from lavendergap import __version__
from lavendergap.commands.main import run
from lavendergap.entry.status import HostStatus, SettingsStatus
from lavendergap.protocol.objects import decode_settings_object
from lavendergap.protocol.resolved import decode_settings
from standins.faults import PlatformFaults
from standins.http import HttpServer, Reply, make_json_reply
from standins.platform import Platform
from tests.test_tree import SERVER_A, TREE

APPLY = ["settings", "apply", "--author", "kim", "--message", "More slots."]


class FakeHost:
    """An entry host with scripted answers on its admin and callers ports."""

    def __init__(self, name):
        self.name = name
        self.versions = [1]
        self.problem = None
        self.answers = []
        self.requests = []
        self.on_status_request = lambda: None

    async def handle_admin(self, _request, _connection):
        """Report each version in turn, and then always the last one."""
        self.on_status_request()
        version = self.versions.pop(0) if len(self.versions) > 1 else self.versions[0]
        status = HostStatus(
            host=self.name,
            data_centre="dc-1",
            incarnation=1,
            state="live",
            unready="",
            settings=SettingsStatus(
                version=version, source="platform", problem=self.problem
            ),
            members=[],
            services=[],
        )
        return make_json_reply(status)

    async def handle_callers(self, request, _connection):
        self.requests.append(request)
        return self.answers.pop(0)


class Deployment:
    """A platform and two entry hosts in a thread, with their settings file."""

    def __init__(self, path):
        self.path = path
        self.hosts = {name: FakeHost(name) for name in ("host-1", "host-2")}
        self.tree = copy.deepcopy(TREE)
        self.ready = threading.Event()

    def run(self):
        trio.run(self._serve)

    async def _serve(self):
        self.token = trio.lowlevel.current_trio_token()
        self.stopping = trio.Event()
        self.platform = Platform(faults=PlatformFaults())
        async with trio.open_nursery() as nursery:

            async def start(handle):
                server = HttpServer(ip="127.0.0.1", port=0, handle=handle)
                return f"127.0.0.1:{await nursery.start(server.run)}"

            self.tree["platform"] = await start(self.platform.handle)
            hosts = self.tree["data_centres"]["dc-1"]["hosts"]
            for number, host in enumerate(self.hosts.values()):
                hosts[host.name] = {
                    "admin": await start(host.handle_admin),
                    "callers": await start(host.handle_callers),
                    "peers": f"127.0.0.1:{number + 1}",
                }
            self.write()
            text = self.path.read_bytes()
            value = msgspec.json.encode({"text": text.decode(), "edits": []})
            self.platform.store.put("settings/small", value, 0.0)
            self.ready.set()
            await self.stopping.wait()
            nursery.cancel_scope.cancel()

    def stop(self):
        self.token.run_sync_soon(self.stopping.set)

    def write(self, **options):
        """Write the settings file with additional top-level options."""
        self.path.write_text(json.dumps(self.tree | options, indent=2))
        return str(self.path)

    def read_settings(self):
        """Return the settings in the platform's resolved form."""
        entry = self.platform.store.get("settings/small", math.inf)
        assert entry is not None
        value = decode_settings_object(entry.value, key=entry.key)
        assert value.resolved is not None
        return decode_settings(value.resolved.data)

    def write_once_more(self):
        """Write the platform's object again, like a later edit; only once."""
        entry = self.platform.store.get("settings/small", math.inf)
        assert entry is not None
        if entry.version == 2:
            self.platform.store.put("settings/small", entry.value, 0.0)

    def set_faults(self, **faults):
        self.token.run_sync_soon(
            self.platform.set_faults, PlatformFaults(**faults), idempotent=True
        )


@pytest.fixture
def deployment(tmp_path, monkeypatch):
    found = Deployment(tmp_path / "small.jsonc")
    monkeypatch.setenv("LAVENDERGAP_SETTINGS", str(found.path))
    thread = threading.Thread(target=found.run)
    thread.start()
    assert found.ready.wait(10)
    yield found
    found.stop()
    thread.join(10)


@pytest.fixture
def restored_logs():
    """Undo `configure_logs`, which replaces the handlers of the process."""
    root = logging.getLogger()
    kept = (list(root.handlers), root.level)
    package = logging.getLogger("lavendergap")
    level = package.level
    yield
    root.handlers[:], root.level = kept
    package.setLevel(level)
    logging.captureWarnings(False)


@pytest.fixture
def call(capsys):
    """Call the command line; return its exit code, stdout and stderr."""

    def call_line(*arguments):
        capsys.readouterr()
        code = run([str(argument) for argument in arguments])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call_line


def write_tree(path, **options):
    path.write_text(json.dumps(TREE | options))
    return path


class TestUsage:
    def test_version_and_help(self, call):
        assert call("--version") == (0, f"lavendergap, version {__version__}\n", "")
        code, out, _ = call("--help")
        assert code == 0
        assert "Exit codes: 0 done, 1 failed, 2 bad settings" in out

    @pytest.mark.parametrize(
        ("arguments", "words"),
        [
            (["sttings"], "No such command 'sttings'"),
            (["--debug", "route,hope", "status"], "known: all, route, queue"),
            (["status"], "Missing option '--settings'"),
            (["settings", "apply", "x"], "Missing option"),
            ([*APPLY, "x", "--base", "-1"], "-1 is not in the range x>=0"),
            (["query", "search", "--body", "{", "--settings", "x"], "not JSON"),
        ],
    )
    def test_wrong_usage_shows_what_is_expected(self, call, arguments, words):
        code, out, err = call(*arguments)
        assert (code, out) == (2, "")
        assert words in err


class TestCheckAndShow:
    def test_a_good_file(self, call, tmp_path):
        path = write_tree(tmp_path / "s.jsonc")
        wanted = "deployment small, 1 entry hosts, 2 services, 3 backend servers"
        code, out, err = call("settings", "check", path)
        assert (code, err) == (0, "")
        assert wanted in out

    def test_a_bad_file_shows_every_problem_and_its_path(self, call, tmp_path):
        path = write_tree(tmp_path / "s.jsonc", slots=0, platfrom="x")
        code, out, err = call("settings", "check", path)
        assert (code, out) == (2, "")
        assert err.splitlines() == [
            f"lavendergap: {path}: slots: expected a whole number from 1 to 10000, "
            "found 0",
            f"{path}: platfrom: unknown; did you mean platform?",
        ]

    def test_a_branch_shows_where_its_values_come_from(self, call, tmp_path):
        path = write_tree(tmp_path / "s.jsonc")
        code, out, _ = call("settings", "show", path, SERVER_A)
        rows = [line.split() for line in out.splitlines()]
        assert code == 0
        assert ["slots", "3", "calls", "(top)"] in rows
        assert ["connections", "25", "connections", "default"] in rows
        assert ["data_centre", "dc-1", SERVER_A] in rows

    @pytest.mark.parametrize(
        ("key", "code"),
        [("My-Key", 0), ("My-Key\n", 0), ("", 2), (" My-Key", 2), ("My-Key" * 50, 2)],
    )
    def test_only_the_digest_of_a_key_is_shown(
        self, call, key, code, tmp_path, monkeypatch
    ):
        """Guards against a key in a terminal, a file or the shell's history."""
        monkeypatch.setattr("sys.stdin", io.TextIOWrapper(io.BytesIO(key.encode())))
        found, out, err = call("settings", "hash-key")
        assert (found, "My-Key" in out + err) == (code, False)
        if code == 0:
            assert out == hashlib.sha256(b"My-Key").hexdigest() + "\n"
            customers = {"acme": {"key_sha256": [out.strip()]}}
            path = write_tree(tmp_path / "s.jsonc", customers=customers)
            assert "1 customers with 1 keys" in call("settings", "check", path)[1]
            shown = call("settings", "show", path, "customers.acme")[1]
            assert out.strip() in shown

    def test_a_branch_as_json(self, call, tmp_path):
        path = write_tree(tmp_path / "s.jsonc", stragglers={"kind": "give up"})
        _, out, _ = call("settings", "show", path, "services.search", "--json")
        shown = json.loads(out)
        options = {option["name"]: option for option in shown["options"]}
        assert shown["level"] == "service"
        assert options["stragglers"]["from"] == "(top)"
        assert options["stragglers"]["value"]["min_share"] == 0.95

    def test_an_unknown_branch_suggests_the_nearest(self, call, tmp_path):
        path = write_tree(tmp_path / "s.jsonc")
        code, _, err = call("settings", "show", path, "services.serch")
        assert code == 2
        assert "did you mean services.search?" in err


class TestApply:
    def test_get_edit_apply_and_history(self, call, deployment, tmp_path):
        copied = tmp_path / "copied.jsonc"
        code, out, err = call("settings", "get", "--output", copied)
        assert (code, out) == (0, "")
        assert "version 1; apply an edit of it with --base 1" in err
        assert copied.read_text() == deployment.path.read_text()
        file = deployment.write(slots=4)
        code, out, _ = call(*APPLY, file, "--base", 1)
        assert (code, out) == (0, "version 2\n")
        _, out, _ = call("settings", "history", "--json")
        (edit,) = json.loads(out)["edits"]
        assert (edit["author"], edit["base"], edit["changed"]) == ("kim", 1, ["slots"])
        settings = deployment.read_settings()
        assert {server.slots for server in settings.services[1].groups[0].servers} == {
            4
        }
        code, out, _ = call("settings", "history")
        assert "More slots." in out
        deployment.write(slots=5)
        _, out, _ = call("settings", "show", file, "--live", "--json")
        options = {o["name"]: o["value"] for o in json.loads(out)["options"]}
        assert options["slots"] == 4

    def test_a_file_that_cannot_be_written_is_reported_in_one_line(
        self, call, deployment
    ):
        code, out, err = call("settings", "get", "--output", "/nowhere/x")
        assert (code, out) == (1, "")
        assert err == "lavendergap: [Errno 2] No such file or directory: '/nowhere/x'\n"

    def test_a_stale_edit_shows_what_the_other_operator_changed(self, call, deployment):
        file = deployment.write(slots=4, deadline_ms=100)
        assert call(*APPLY, file, "--base", 1)[0] == 0
        file = deployment.write(slots=5)
        code, out, err = call(*APPLY, file, "--base", 1)
        assert (code, out) == (4, "")
        assert "version 2 is in place; nothing was written" in err
        assert "kim, " in err
        assert "    slots: theirs 4, yours 5\n" in err
        assert "    deadline_ms: theirs 100, yours (not set)\n" in err
        assert "apply it with --base 2" in err

    def test_bad_settings_write_nothing(self, call, deployment):
        file = deployment.write(slots=0)
        assert call(*APPLY, file, "--base", 1)[0] == 2
        assert deployment.platform.counts["put"] == 0

    def test_a_lost_reply_is_resolved(self, call, deployment):
        deployment.set_faults(lose_replies=1)
        code, out, _ = call(*APPLY, deployment.write(slots=4), "--base", 1, "--json")
        assert (code, json.loads(out)["version"]) == (0, 2)

    def test_wait_until_all_have_it_in_force(self, call, deployment):
        deployment.hosts["host-1"].versions = [2]
        deployment.hosts["host-2"].versions = [1, 1, 3]
        deployment.hosts["host-2"].on_status_request = deployment.write_once_more
        file = deployment.write(slots=4)
        code, out, err = call(*APPLY, file, "--base", 1, "--wait", 9)
        assert (code, out) == (0, "version 2 in force on 2 of 2\n")
        assert err.splitlines()[1:] == [
            "version 2 in force on 1 of 2; not on host-2 (version 1)",
            "version 2 in force on 2 of 2",
        ]

    def test_hosts_ahead_of_the_platform_do_not_have_it(self, call, deployment):
        """After a restore from a backup, hosts keep their newer settings.

        An edit with a lower version must not be reported as in force there.
        """
        for host in deployment.hosts.values():
            host.versions = [5]
        file = deployment.write(slots=4)
        code, _, err = call(*APPLY, file, "--base", 1, "--wait", "0.3")
        assert code == 5
        assert "version 2 in force on 0 of 2" in err
        assert "host-1 (version 5, newer than the platform's 2" in err

    def test_hosts_without_the_edit_are_named(self, call, deployment):
        """An accepted edit that a host rejects is neither done nor failed.

        The operator has to see which hosts still use the old settings, and why.
        """
        deployment.hosts["host-1"].versions = [2]
        deployment.hosts["host-2"].problem = "version 2: too new"
        file = deployment.write(slots=4)
        code, out, err = call(*APPLY, file, "--base", 1, "--wait", "0.3", "--json")
        assert code == 5
        shown = json.loads(out)
        assert shown["in_force"] == ["host-1"]
        assert shown["not_in_force"] == {"host-2": "version 1; version 2: too new"}
        assert "in force on 1 of 2; not on host-2 (version 1" in err
        assert "the edit stays accepted" in err


class TestStatus:
    def test_hosts_that_answer_and_one_that_does_not(self, call, deployment):
        hosts = deployment.tree["data_centres"]["dc-1"]["hosts"]
        hosts["host-3"] = hosts["host-1"] | {
            "peers": "127.0.0.1:9",
            "callers": "127.0.0.1:10",
            "admin": "127.0.0.1:11",
        }
        deployment.write()
        code, out, _ = call("status")
        assert code == 0
        assert "host-2  dc-1         live         version 1" in out
        assert "connect: refused connection" in out
        _, out, _ = call("status", "--json")
        states = {name: host["state"] for name, host in json.loads(out).items()}
        assert states == {"host-1": "live", "host-2": "live", "host-3": "unreachable"}

    def test_another_host_at_the_address_is_reported(self, call, deployment):
        deployment.hosts["host-2"].name = "host-9"
        _, out, _ = call("status")
        assert "another host, host-9, answers there" in out

    def test_no_host_answers(self, call, tmp_path):
        path = write_tree(tmp_path / "s.jsonc")
        tree = json.loads(path.read_text().replace(":8201", ":11"))
        path.write_text(json.dumps(tree))
        code, _, err = call("status", "--settings", path)
        assert code == 3
        assert "none of 1 entry hosts answers; start them with" in err


class TestQuery:
    ANSWER = {
        "request_id": "r-1",
        "outcome": "partly answered",
        "snapshot": {"service": "search", "version": 7},
        "coverage": {
            "asked": 2,
            "answered": 1,
            "share": 0.5,
            "missing": [
                {"shard": "s01", "reason": "shed", "step": "send", "peer": "x-a"}
            ],
        },
        "results": [{"shard": "s00", "result": {"n": "[red]"}}],
    }
    REFUSAL = {
        "request_id": "r-1",
        "outcome": "not run",
        "step": "admit",
        "peer": "host-1",
        "reason": "overloaded",
        "retry_after_ms": 250,
    }

    def test_the_answer_shows_its_coverage(self, call, deployment, tmp_path):
        host = deployment.hosts["host-1"]
        host.answers = [make_json_reply(self.ANSWER)] * 2
        arguments = ["query", "search", "--host", "host-1", "--body", '{"q": 1}']
        key = tmp_path / "key"
        key.write_text("My-Key\n")
        code, out, _ = call(*arguments, "--deadline-ms", 70, "--key-file", key)
        assert code == 0
        assert "coverage  1 of 2 shards, 50.0% of the library" in out
        assert ["s01", "shed", "send", "x-a"] in [x.split() for x in out.splitlines()]
        assert '{"n":"[red]"}' in out  # Not interpreted as markup.
        (request,) = host.requests
        assert request.path == "/v1/services/search/query"
        assert (request.headers["deadline-ms"], request.body) == ("70", b'{"q": 1}')
        assert request.headers["customer-key"] == "My-Key"
        assert json.loads(call(*arguments, "--json")[1]) == self.ANSWER
        assert "customer-key" not in host.requests[1].headers

    def test_a_refusal_shows_its_origin_and_retry_delay(self, call, deployment):
        host = deployment.hosts["host-2"]
        host.answers = [make_json_reply(self.REFUSAL, status=503)]
        code, out, err = call("query", "search", "--host", "host-2")
        assert (code, out) == (1, "")
        assert "r-1: not run; overloaded at step admit, host-1; retry after" in err

    def test_a_request_that_runs_once_takes_a_ticket(self, call, deployment):
        host = deployment.hosts["host-1"]
        answered = {"request_id": "r-1", "outcome": "answered", "result": {"n": 1}}
        host.answers = [
            make_json_reply({"ticket": "t-1"}, status=201),
            make_json_reply(answered),
        ]
        code, out, err = call("query", "ledger", "--host", "host-1")
        assert code == 0
        assert 'result    {"n":1}' in out
        assert "ticket t-1" in err
        assert host.requests[1].headers["ticket"] == "t-1"

    def test_a_lost_answer_can_be_requested_again(self, call, deployment):
        host = deployment.hosts["host-1"]
        host.answers = [make_json_reply({"ticket": "t-1"}, status=201), None]
        code, _, err = call("query", "ledger", "--host", "host-1")
        assert code == 3
        assert "may have run: ask again with --ticket t-1" in err

    def test_names_are_checked_before_anything_is_sent(self, call, deployment):
        for arguments in (["query", "serch"], ["query", "search", "--host", "x"]):
            code, _, err = call(*arguments)
            assert code == 2
            assert "; known: " in err

    def test_an_invalid_answer(self, call, deployment):
        deployment.hosts["host-1"].answers = [Reply(status=404, body=b'{"error":"?"}')]
        code, _, err = call("query", "search", "--host", "host-1")
        assert code == 1
        assert 'the entry host answers 404: {"error":"?"}' in err


class TestEntry:
    def test_bad_settings_start_nothing(self, call, tmp_path):
        path = write_tree(tmp_path / "s.jsonc", slots=0)
        assert call("entry", "--settings", path, "--host", "host-1")[0] == 2

    def test_the_host_must_be_in_the_settings(self, call, restored_logs, tmp_path):
        path = write_tree(tmp_path / "s.jsonc")
        code, _, err = call("entry", "--settings", path, "--host", "host-9")
        assert code == 2
        assert "host-9" in err

    def test_a_port_in_use_is_reported_in_one_line(self, tmp_path):
        # A second process of the same host has to exit with one line, not with the
        # tracebacks of its tasks.
        shape = DeploymentShape(n_hosts=1, services=(ServiceShape(name="s"),))
        deployment = write_deployment(shape=shape, directory=tmp_path)
        [host] = deployment.hosts
        ip, port = host.peers.split(":")
        with socket.create_server((ip, int(port))):
            arguments = ["entry", "--settings", str(deployment.settings)]
            done = subprocess.run(
                [sys.executable, "-m", "lavendergap", *arguments, "--host", host.name],
                capture_output=True,
                text=True,
                timeout=60,
            )
        assert done.returncode == 1
        [line] = done.stderr.strip().splitlines()
        assert "is another process of this host running?" in line
