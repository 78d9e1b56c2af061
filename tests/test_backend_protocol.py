"""Headers of calls to backend servers, and validation of answers and load reports."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendergap.coordination.calls import Call
from lavendergap.protocol.backend import (
    DEFAULT_RETRY_AFTER_MS,
    LONGEST_RETRY_AFTER_MS,
    MAX_VERSION,
    Reply,
    build_headers,
    check_reply,
    read_report,
)
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown

CALL = Call(
    call_id=1,
    request_id="r-1",
    service="scheduler",
    group="scheduler-00",
    shard="s03",
    version=7,
    deadline=0.0,
    body=b"{}",
    idempotent=True,
)
MATCHING = {b"attempt": b"a-1", b"shard": b"s03", b"index-version": b"7"}


def judge(status: int, headers: dict[bytes, bytes], body: bytes = b"{}"):
    reply = Reply(status=status, headers=headers, body=body)
    return check_reply(reply, CALL, attempt=b"a-1", server="a").outcome


class TestHeaders:
    def test_a_query_names_its_shard_and_version(self):
        headers = build_headers(CALL, attempt=b"a-1", host=b"127.0.0.1:1", left_ms=180)
        fields = {name.lower(): value for name, value in headers}
        assert fields.items() >= MATCHING.items()
        assert fields[b"deadline-ms"] == b"180"
        assert b"customer" not in fields
        named = replace(CALL, customer="acme")
        headers = build_headers(named, attempt=b"a-1", host=b"h", left_ms=180)
        assert (b"Customer", b"acme") in headers


class TestAnswer:
    def test_a_matching_answer_is_accepted(self):
        assert judge(200, MATCHING) == Answered(body=b"{}")

    @pytest.mark.parametrize("name", list(MATCHING))
    def test_an_answer_without_a_required_header_is_rejected(self, name):
        """Guards against accepting an answer to another attempt, shard or version."""
        headers = {n: v for n, v in MATCHING.items() if n != name}
        wrong = Unknown(step=Step.CHECK, peer="a", reason=Reason.WRONG_ANSWER)
        assert judge(200, headers) == wrong


class TestRefusal:
    @pytest.mark.parametrize(
        ("status", "reason"),
        [
            (503, Reason.SHED),
            (409, Reason.VERSION_GONE),
            (421, Reason.NO_REPLICA),
            (408, Reason.DEADLINE),
        ],
    )
    def test_a_marked_refusal_is_not_run(self, status, reason):
        headers = {b"outcome": b"not-run", b"retry-after": b"2"}
        expected = NotRun(
            step=Step.RECEIVE, peer="a", reason=reason, retry_after_ms=2_000
        )
        assert judge(status, headers) == expected

    @pytest.mark.parametrize("status", [503, 409, 421, 408])
    def test_a_refusal_of_another_attempt_proves_nothing(self, status):
        # Guards against "not run" for a booking that runs.
        headers = {b"outcome": b"not-run", b"attempt": b"a-0"}
        wrong = Unknown(step=Step.CHECK, peer="a", reason=Reason.WRONG_ANSWER)
        assert judge(status, headers) == wrong

    @pytest.mark.parametrize("status", [500, 503, 409, 421, 204, 302])
    def test_an_unmarked_refusal_is_unknown(self, status):
        """Guards against repeating a booking that ran if a proxy answered with 503."""
        expected = Unknown(step=Step.RECEIVE, peer="a", reason=Reason.SERVER_ERROR)
        assert judge(status, MATCHING) == expected

    @pytest.mark.parametrize("text", [b"inf", b"1e300", b"-1", b"nan", b"soon", b""])
    def test_an_invalid_retry_after_is_replaced_by_the_default(self, text):
        """Guards against a process that ends on an infinite or too large number."""
        outcome = judge(503, {b"outcome": b"not-run", b"retry-after": text})
        assert outcome.retry_after_ms == DEFAULT_RETRY_AFTER_MS


class TestReport:
    @pytest.mark.parametrize(
        "headers",
        [
            {},
            {b"load": b"1/2"},
            {b"load": b"a/b/c"},
            {b"load": b"1/2/0", b"server-state": b"asleep"},
            {b"load": b"1/2/0", b"index-versions": b"6,x"},
            {b"load": b"1/2/0", b"index-versions": b"-1"},
            {b"load": b"1/2/0", b"index-versions": b"%d" % 2**64},
        ],
    )
    def test_a_malformed_report_is_none(self, headers):
        assert read_report(headers) is None

    @settings(derandomize=True)
    @given(st.dictionaries(st.sampled_from([b"load", b"index-versions"]), st.binary()))
    def test_any_bytes_are_survived(self, headers):
        report = read_report(headers)
        assert report is None or all(0 <= v <= MAX_VERSION for v in report.versions)

    @settings(derandomize=True)
    @given(st.binary(), st.binary())
    def test_any_refusal_can_be_carried(self, outcome, retry_after):
        for words in (outcome, b"not-run"):
            got = judge(503, {b"outcome": words, b"retry-after": retry_after})
            if isinstance(got, NotRun):
                assert 0 <= got.retry_after_ms <= LONGEST_RETRY_AFTER_MS
