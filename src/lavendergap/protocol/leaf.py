"""The headers of calls to backend servers, and what their answers prove.

An answer counts only when it names the attempt, the shard and the index version
that were asked for; see docs/design/interfaces.md for the table of statuses.
"""

from dataclasses import dataclass

import msgspec

from ..coordination.calls import Call, ServerReport, ServerState
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown

Headers = list[tuple[bytes, bytes]]

DEFAULT_RETRY_AFTER_MS = 1_000
STATES: dict[bytes, ServerState] = {
    b"serving": "serving",
    b"starting": "starting",
    b"draining": "draining",
}
_check_json = msgspec.json.Decoder(msgspec.Raw).decode


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """One whole HTTP answer of a backend server, as it came."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """What a reply proves about the call, and what the server says of itself."""

    outcome: Outcome
    report: ServerReport | None


def build_headers(call: Call, *, attempt: bytes, host: bytes, left_ms: int) -> Headers:
    """Return the headers of an attempt at `call` with `left_ms` to its deadline."""
    headers = [
        (b"Host", host),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(call.body)),
        (b"Attempt", attempt),
        (b"Request-Id", call.request_id.encode("latin-1", "replace")),
        (b"Deadline-Ms", b"%d" % left_ms),
    ]
    if call.idempotent:
        headers.append((b"Shard", call.shard.encode()))
        headers.append((b"Index-Version", b"%d" % call.version))
    return headers


def judge_reply(reply: Reply, call: Call, *, attempt: bytes, server: str) -> Verdict:
    """Return what the reply proves; nothing is assumed beyond what it states."""
    fields = {name.lower(): value for name, value in reply.headers}
    report = read_report(fields)
    if reply.status == 200:
        return Verdict(
            outcome=_check_answer(reply, fields, call, attempt=attempt, server=server),
            report=report,
        )
    return Verdict(outcome=_read_refusal(reply, fields, server=server), report=report)


def _check_answer(
    reply: Reply,
    fields: dict[bytes, bytes],
    call: Call,
    *,
    attempt: bytes,
    server: str,
) -> Outcome:
    # Connections are reused and servers err: an answer may belong to another
    # attempt, shard or index version. Taken at its word it would be a wrong
    # result that looks right, so each must be stated and must match.
    wrong = Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
    if fields.get(b"attempt") != attempt:
        return wrong
    if call.idempotent:
        if fields.get(b"shard") != call.shard.encode():
            return wrong
        if fields.get(b"index-version") != b"%d" % call.version:
            return wrong
    try:
        _check_json(reply.body)
    except msgspec.DecodeError:
        return wrong
    return Answered(body=reply.body)


def _read_refusal(reply: Reply, fields: dict[bytes, bytes], *, server: str) -> Outcome:
    if fields.get(b"outcome") != b"not-run":
        return Unknown(step=Step.RECEIVE, peer=server, reason=Reason.SERVER_ERROR)
    reason = Reason.SHED
    if reply.status == 409:
        reason = Reason.VERSION_GONE
    elif reply.status == 421:
        reason = Reason.NO_REPLICA
    elif reply.status == 408:
        reason = Reason.DEADLINE
    return NotRun(
        step=Step.RECEIVE,
        peer=server,
        reason=reason,
        retry_after_ms=_read_retry_after(fields),
    )


def _read_retry_after(fields: dict[bytes, bytes]) -> int:
    try:
        return int(float(fields.get(b"retry-after", b"")) * 1_000)
    except ValueError:
        return DEFAULT_RETRY_AFTER_MS


def read_report(fields: dict[bytes, bytes]) -> ServerReport | None:
    """Return what a server states of its load, or None when it states nothing.

    >>> read_report({b"load": b"1/2/0", b"server-state": b"serving",
    ...              b"index-versions": b"6,7"}).versions
    (6, 7)
    """
    try:
        in_use, slots, queued = fields[b"load"].split(b"/")
        versions = fields.get(b"index-versions", b"")
        return ServerReport(
            in_use=int(in_use),
            slots=int(slots),
            queued=int(queued),
            state=STATES[fields.get(b"server-state", b"serving")],
            versions=tuple(int(v) for v in versions.split(b",") if v.strip()),
        )
    except (KeyError, ValueError):
        return None
