"""The headers of calls to backend servers, and the validation of their answers.

An answer is valid only if it names the attempt, the shard and the index version of
the call; see docs/design/interfaces.md for the table of statuses.
"""

import msgspec

from ..coordination.calls import Call, ServerReport, ServerState
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from .jsontext import check_json
from .numbers import read_count

Headers = list[tuple[bytes, bytes]]

DEFAULT_RETRY_AFTER_MS = 1_000
LONGEST_RETRY_AFTER_MS = 3_600_000
MIN_NON_SUCCESS_STATUS = 300
# The largest version that fits into the messages between peers.
MAX_VERSION = 2**63 - 1
# A server that reports more running or waiting calls, or more slots, is faulty.
MAX_REPORTED_CALLS = 1_000_000
SERVER_STATES: dict[bytes, ServerState] = {
    b"serving": "serving",
    b"starting": "starting",
    b"draining": "draining",
}


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A complete HTTP answer of a backend server, with lower-case header names."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is a 2xx."""
        return self.status < MIN_NON_SUCCESS_STATUS


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a call, and the load that the server reported with it."""

    outcome: Outcome
    report: ServerReport | None


def build_headers(call: Call, *, attempt: bytes, host: bytes, left_ms: int) -> Headers:
    """Return the headers of an attempt at `call`; `left_ms` is the time left."""
    headers = [
        (b"Host", host),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(call.body)),
        (b"Attempt", attempt),
        (b"Request-Id", call.request_id.encode("latin-1", "replace")),
        (b"Deadline-Ms", b"%d" % left_ms),
    ]
    if call.customer:
        headers.append((b"Customer", call.customer.encode()))
    if call.idempotent:
        headers.append((b"Shard", call.shard.encode()))
        headers.append((b"Index-Version", b"%d" % call.version))
    return headers


def check_reply(
    reply: Reply, call: Call, *, attempt: bytes, server: str, is_first: bool = True
) -> Verdict:
    """Return the outcome that the reply proves; a missing header proves nothing.

    `is_first` is whether the connection has carried no other call: a refusal on it that
    does not name its attempt can only be the answer to this one.
    """
    if reply.status == 200:
        outcome = _check_answer(reply, call, attempt=attempt, server=server)
    elif reply.headers.get(b"attempt", attempt if is_first else b"") != attempt:
        # The server may have sent the refusal of an earlier call a second time.
        outcome = Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
    else:
        outcome = _read_refusal(reply, server=server)
    return Verdict(outcome=outcome, report=read_report(reply.headers))


def _check_answer(reply: Reply, call: Call, *, attempt: bytes, server: str) -> Outcome:
    # On reused connections, or by a server's fault, an answer may belong to another
    # attempt, shard or index version. Accepting it would return a wrong result that
    # looks right, so each of them must be present and match.
    wrong_answer = Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
    fields = reply.headers
    if fields.get(b"attempt") != attempt:
        return wrong_answer
    if call.idempotent:
        if fields.get(b"shard") != call.shard.encode():
            return wrong_answer
        if fields.get(b"index-version") != b"%d" % call.version:
            return wrong_answer
    try:
        check_json(reply.body)
    except ValueError:
        return wrong_answer
    return Answered(body=reply.body)


def _read_refusal(reply: Reply, *, server: str) -> Outcome:
    fields = reply.headers
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
        after = float(fields.get(b"retry-after", b"")) * 1_000
    except ValueError:
        return DEFAULT_RETRY_AFTER_MS
    # "inf", or a number too large for a message to a peer, would raise an error that
    # ends the process.
    if not 0 <= after <= LONGEST_RETRY_AFTER_MS:
        return DEFAULT_RETRY_AFTER_MS
    return int(after)


def read_report(fields: dict[bytes, bytes]) -> ServerReport | None:
    """Return the load that a server reports, or None if it is missing or invalid.

    >>> read_report({b"load": b"1/2/0", b"server-state": b"serving",
    ...              b"index-versions": b"6,7"}).versions
    (6, 7)
    """
    try:
        in_use, slots, queued = fields[b"load"].split(b"/")
        versions = _read_versions(fields.get(b"index-versions", b""))
        return ServerReport(
            in_use=read_count(in_use, most=MAX_REPORTED_CALLS),
            slots=read_count(slots, most=MAX_REPORTED_CALLS),
            queued=read_count(queued, most=MAX_REPORTED_CALLS),
            state=SERVER_STATES[fields.get(b"server-state", b"serving")],
            versions=versions,
        )
    except (KeyError, ValueError):
        return None


def _read_versions(text: bytes) -> tuple[int, ...]:
    stated = [each for each in text.split(b",") if each.strip()]
    return tuple([read_count(each, most=MAX_VERSION) for each in stated])
