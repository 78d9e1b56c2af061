"""`lavendergap explain`, run on the logs of several hosts."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavendergap.commands.main import run
from lavendergap.protocol.loglines import LogLine, read_line
from lavendergap.protocol.requeststats import MAX_OPEN_REQUESTS, RequestStats


def write(event: str, *, at: str = "2026-03-01T10:00:00.100Z", **fields: Any) -> str:
    return json.dumps({"time": at, "level": "info", "event": event, **fields})


def write_done(request_id: str, **fields: Any) -> str:
    known: dict[str, Any] = {
        "route": "search",
        "outcome": "answered",
        "ms": 80.0,
        "goal_ms": 120,
    }
    return write("done", request_id=request_id, **(known | fields))


COORDINATOR = [
    write_done("in-time"),
    write("owner lost", request_id="late", host="b-1", loss="silent"),
    write_done("late", ms=190.0),
    write_done("queued", ms=150.0),
    write_done(
        "partial",
        outcome="partly answered",
        n_missing=2,
        missing=["s1: straggler at s1", "s2: straggler at s2"],
    ),
    write_done("refused", outcome="not run", reason="shed", step="queue", peer="s1"),
    write_done("failed", outcome="unknown", reason="lost connection", step="receive"),
    write("caller left", request_id="left", route="search", after_ms=12.0),
    write("store unavailable", request_id=None, feed="servers"),
]
OWNER = [
    write("plan", request_id="queued", n_calls=9, n_queued=3),
    write("hedge withheld", request_id="partial", shard="s1", why="no budget"),
    write("plan", request_id="partial", n_calls=2, n_queued=0, at="2026-03-01T10:00"),
]


@pytest.fixture
def logs(tmp_path):
    for name, lines in (("a-1", COORDINATOR), ("b-1", OWNER)):
        (tmp_path / f"{name}.log").write_text("\n".join([*lines, "Traceback"]))
    # The owner's file comes first, so its lines precede the request's final line.
    return [str(tmp_path / "b-1.log"), str(tmp_path / "a-1.log")]


def explain_json(logs, capsys, *options):
    assert run(["explain", *logs, "--json", *options]) == 0
    return json.loads(capsys.readouterr().out)


class TestContent:
    def test_a_held_back_request_is_traced_to_the_server_ends(self, tmp_path, capsys):
        # The final line of a held-back request names its content. The lines of that
        # content show on which hosts servers ended and which hosts were informed.
        held = {"outcome": "not run", "reason": "held back", "content": "c0"}
        lines = {
            "a-1": [
                write("server ended", request_id="r1", content="c0", server="i-1"),
                write("strike", request_id="r1", content="c0", standing="suspect"),
                write("server ended", request_id="r8", content="c9", server="i-2"),
            ],
            "b-1": [
                write("strike received", request_id=None, content="c0", seen_by="a-1"),
                write_done("r2", at="2026-03-01T10:00:09.000Z", **held),
            ],
        }
        for host, host_lines in lines.items():
            (tmp_path / f"{host}.log").write_text("\n".join(host_lines))
        logs = [str(tmp_path / f"{host}.log") for host in lines]
        story = explain_json(logs, capsys, "--content", "c0")
        events = [(line["host"], line["event"], line["request_id"]) for line in story]
        assert events == [
            ("a-1", "server ended", "r1"),
            ("a-1", "strike", "r1"),
            ("b-1", "strike received", None),
            ("b-1", "done", "r2"),
        ]


class TestSummary:
    def test_each_request_is_counted_once_by_its_end(self, logs, capsys):
        route = explain_json(logs, capsys)["routes"]["search"]
        ends = {name: route[name] for name in ("in time", "late", "refused", "failed")}
        assert ends == {"in time": 2, "late": 2, "refused": 1, "failed": 1}
        assert (route["left"], route["partial"], route["asked"]) == (1, 1, 7)

    def test_causes_combine_lines_of_several_hosts(self, logs, capsys):
        causes = explain_json(logs, capsys)["routes"]["search"]["causes"]
        assert causes == {
            "late: owner lost": 1,
            "late: waited for a slot": 1,
            "in time: shards missing: straggler, hedge withheld: no budget": 1,
            "refused: shed in queue": 1,
            "failed: lost connection in receive": 1,
        }

    def test_the_worst_second_lists_events_without_a_request(self, logs, capsys):
        seconds = explain_json(logs, capsys)["worst_seconds"]
        assert seconds == {
            "2026-03-01T10:00:00": {
                "asked": 7,
                "lost": 4,
                "beliefs": {"store unavailable": 1},
            }
        }

    def test_the_tables_are_followed_by_a_count_of_bad_lines(self, logs, capsys):
        assert run(["explain", *logs]) == 0
        shown = capsys.readouterr()
        assert "waited for a slot" in shown.out
        assert "2 lines are not log lines" in shown.err


class TestRequest:
    def test_a_request_s_lines_come_from_all_hosts_in_order(self, logs, capsys):
        story = explain_json(logs, capsys, "--request", "partial")
        assert [(line["host"], line["event"]) for line in story] == [
            ("b-1", "plan"),
            ("b-1", "hedge withheld"),
            ("a-1", "done"),
        ]

    def test_an_unknown_request_is_an_error(self, logs, capsys):
        assert run(["explain", *logs, "--request", "nobody's"]) == 1
        assert "no line matches" in capsys.readouterr().err


DONE = {"outcome": "not run", "reason": "over limit", "customer": "c1", "peer": "b-1"}


def write_limit(n_used, *, at="2026-03-01T10:00:00.050Z", customer="c1"):
    limit = {"customer": customer, "rate_per_s": 4.0, "burst": 8.0, "window_s": 5.0}
    used = {"n_used": n_used, "host": "b-1", "age_ms": 12}
    return write("limit reached", request_id=None, at=at, **limit, **used)


class TestRefusals:
    @pytest.mark.parametrize(
        ("lines", "cause", "remedy"),
        [
            (
                [write("key refused", request_id="r1", route="r", why="none")],
                "route r: the request had no key",
                "has to be `public`",
            ),
            (
                [write("key refused", request_id="r1", why="unknown")],
                "no customer has the key",
                "whether a version removed",
            ),
            (
                [write("key refused", request_id="r1", why="several")],
                "two different keys",
                "has to send one key",
            ),
            (
                # Lines of other customers and later ones say nothing about it.
                [
                    write_limit(1, customer="c2"),
                    write_limit(1, at="2026-03-01T10:00:09.000Z"),
                    write_limit(2, at="2026-03-01T09:59:00.000Z"),
                    write_limit(28),
                    write_done("r1", **DONE),
                ],
                "c1 was over its limit of 4 per second and 8 at once. At "
                "2026-03-01T10:00:00.050Z, b-1 had counted 28 requests in 5 s; a-1 had",
                "an operator raises its",
            ),
            (
                # A refusal below the limit is a fault of the service.
                [write_limit(9), write_done("r1", **DONE)],
                "b-1 had counted 9 requests",
                "b-1 counts in full",
            ),
            (
                [write_done("r1", **(DONE | {"reason": "not ready"}))],
                "a-1: no host that it reached counts in full for c1",
                "who counts: hosts settle",
            ),
            ([write_done("r1", **DONE)], "as counted by b-1", "Compare its use"),
        ],
    )
    def test_the_cause_is_told(self, tmp_path, capsys, lines, cause, remedy):
        log = tmp_path / "a-1.log"
        log.write_text("\n".join(lines))
        assert run(["explain", str(log), "--request", "r1"]) == 0
        shown = capsys.readouterr().out.partition("Cause: ")[2]
        told_cause, _, told_remedy = shown.partition("What to do: ")
        assert "a-1" in told_cause
        assert cause in told_cause
        assert remedy in told_remedy

    def test_requests_without_a_valid_key_are_counted(self, tmp_path, capsys):
        # They have no "done" line, so that the summary would not show them otherwise.
        log = tmp_path / "a-1.log"
        log.write_text(
            write("key refused", request_id="r1", route="search", why="none")
        )
        route = explain_json([str(log)], capsys)["routes"]["search"]
        assert (route["refused"], route["causes"]) == (
            1,
            {"refused: key refused (none)": 1},
        )


class TestMistakes:
    def test_missing_arguments_are_a_usage_error(self, capsys):
        assert run(["explain"]) == 2
        assert "name the hosts' log files" in capsys.readouterr().err

    def test_a_file_without_log_lines_is_an_error(self, tmp_path, capsys):
        path = tmp_path / "notes.txt"
        path.write_text("nothing\n{]\n")
        assert run(["explain", str(path)]) == 1
        assert "no request has ended in 0 lines, 2 others" in capsys.readouterr().err

    def test_a_missing_file_is_an_error_in_one_line(self, tmp_path, capsys):
        assert run(["explain", str(tmp_path / "none.log")]) != 0
        assert "none.log" in capsys.readouterr().err


class TestLines:
    def test_the_host_is_taken_from_the_collector_s_prefix(self):
        line = read_line("  -1.25 lhr-a-7 " + write("started"), host="x")
        assert line is not None
        assert line.host == "lhr-a-7"

    @given(st.text() | st.binary().map(lambda b: b.decode("utf-8", "replace")))
    def test_arbitrary_text_never_raises(self, text):
        line = read_line(text, host="x")
        assert line is None or line.host

    @given(
        st.dictionaries(
            st.sampled_from(["event", "request_id", "time", "ms", "missing", "why"]),
            st.none() | st.text() | st.integers() | st.floats() | st.lists(st.text()),
        )
    )
    def test_arbitrary_fields_never_raise(self, fields):
        line = read_line(json.dumps(fields), host="x")
        if line is not None:
            RequestStats().count_line(line)

    def test_the_number_of_unfinished_requests_is_limited(self):
        stats = RequestStats()
        for number in range(MAX_OPEN_REQUESTS + 10):
            stats.count_line(
                LogLine(
                    host="a-1",
                    time="",
                    event="plan",
                    request_id=str(number),
                    fields={},
                )
            )
        assert len(stats._open_traces) == MAX_OPEN_REQUESTS
