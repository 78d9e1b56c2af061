"""The headers of forwarded requests, and the validation of servers' answers.

The platform defines the names of the headers; `HeaderNames` maps their meanings to
these names.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

import h11

from ..coordination.calls import ServerReport
from ..state.forwarding import ForwardedRequest, Headers
from ..state.outcome import Answered, Coverage, NotRun, Outcome, Reason, Step, Unknown
from .backend import MAX_REPORTED_CALLS, MIN_NON_SUCCESS_STATUS, Reply, Verdict
from .numbers import read_count

# Not forwarded (RFC 9110, 7.6.1). Content-Length is set anew for the body sent.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
LONGEST_RETRY_AFTER_MS = 10_000
# Above the number of requests that a host usually runs at once.
MAX_CACHED_HEADS = 256
MAX_CACHED_LOADS = 1_024
# Longer reports are not cached, so that a faulty server cannot fill the memory.
MAX_CACHED_LOAD_BYTES = 32
# Longer than any digest. The proofs of all parts of a query share one message between
# hosts, and are separated by commas in the answer.
MAX_PART_PROOF_BYTES = 256
MISDIRECTED_REQUEST_STATUS = 421
MIN_SERVER_ERROR_STATUS = 500
# To a caller, these statuses promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """The platform's names of the headers that are read or written here.

    `attempt` is the caller's id of a request, which an answer repeats. `time_left` is
    the time to the deadline in milliseconds. `proof` is set by a server on each
    complete answer; `proofs` and `n_missing` are for a merged answer.
    `expected_server` is the id of the only server that may run the request, `server`
    that of the answering one. `not_run` marks a refused request. `load` holds the
    numbers of running and waiting requests and of slots. `key` is the caller's key,
    which is never forwarded, and `customer` the name of its customer, set by this host.
    """

    attempt: bytes
    time_left: bytes
    proof: bytes
    proofs: bytes
    n_missing: bytes
    expected_server: bytes
    server: bytes
    not_run: bytes
    load: bytes
    key: bytes
    customer: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class MergedRecords:
    """The greatest records of the shards that `coverage` counts as answered.

    `proofs` holds, by shard, the proof headers that the shard's server sent with its
    part. `wait_ends_at` is the time on the event loop's clock at which the wait for
    stragglers was to end; None if there was nothing left to wait for.
    """

    records: bytes
    proofs: dict[str, Headers]
    coverage: Coverage
    wait_ends_at: float | None = None


def keep_end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the end-to-end headers, with lower-case names.

    >>> keep_end_to_end([(b"Connection", b"x-a"), (b"X-A", b"1"), (b"X-B", b"2")])
    ((b'x-b', b'2'),)
    """
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in lowered:
        if name == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return tuple((name, value) for name, value in lowered if name not in dropped)


def render_request(
    request: ForwardedRequest,
    *,
    names: HeaderNames,
    server: str,
    left_ms: int,
    body: bytes,
) -> bytes:
    """Return the bytes of one attempt at `request` on the server with id `server`.

    The address may have been reassigned to another service since it was registered.
    A server with another id refuses the request without running it.
    """
    head = b"%s%s: %d\r\n%s: %s\r\n" % (
        _last_head.get(request, names),
        names.time_left,
        left_ms,
        names.expected_server,
        server.encode(),
    )
    if body or request.method not in (b"GET", b"HEAD"):
        return b"%scontent-length: %d\r\n\r\n%s" % (head, len(body), body)
    return head + b"\r\n"


class _LastHead:
    """The shared head of the request rendered last.

    The attempts of a query start one after the other. Compared by identity, they share
    the head without a hash of all headers for each.
    """

    __slots__ = ("_request", "_names", "_head")

    def __init__(self) -> None:
        self._request: ForwardedRequest | None = None
        self._names: HeaderNames | None = None
        self._head = b""

    def get(self, request: ForwardedRequest, names: HeaderNames) -> bytes:
        """Return the part of the head that all attempts at `request` share."""
        if request is not self._request or names is not self._names:
            self._head = _render_shared_head(request, names)
            self._request, self._names = request, names
        return self._head


_last_head = _LastHead()


@lru_cache(maxsize=MAX_CACHED_HEADS)
def _render_shared_head(request: ForwardedRequest, names: HeaderNames) -> bytes:
    """Return the part of the head that all attempts share, validated by h11.

    The attempts of a request differ in two headers only. The result is cached because
    validation by h11 costs as much as the rest of an attempt.
    """
    per_attempt = {names.time_left, names.expected_server}
    headers = [
        (name, value) for name, value in request.headers if name not in per_attempt
    ]
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    rendered = h11.Connection(h11.CLIENT).send(head)
    assert rendered is not None
    return rendered.removesuffix(b"\r\n")


def check_forwarded_reply(
    reply: Reply,
    request: ForwardedRequest,
    *,
    names: HeaderNames,
    server: str,
    is_part: bool = False,
    is_first: bool = True,
) -> Verdict:
    """Return the outcome that a server's reply to `request` proves.

    With `is_part` the answer is merged with others and keeps only its proof header;
    the others, some 200 bytes, would use bandwidth between data centres for nothing.
    `is_first` is whether the connection has carried no other request: a refusal on it
    without an id can only be the answer to this one.
    """
    report = read_load(reply.headers.get(names.load))
    outcome = _check_reply(reply, request, names, server, is_part, is_first)
    return Verdict(outcome=outcome, report=report)


def _strip_part(reply: Reply, names: HeaderNames, server: str) -> Outcome:
    if reply.status >= MIN_NON_SUCCESS_STATUS:
        return Unknown(step=Step.RECEIVE, peer=server, reason=Reason.SERVER_ERROR)
    proof = reply.headers[names.proof]
    if len(proof) > MAX_PART_PROOF_BYTES or b"," in proof:
        return Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
    return Answered(body=reply.body, headers=((names.proof, proof),))


def _check_reply(
    reply: Reply,
    request: ForwardedRequest,
    names: HeaderNames,
    server: str,
    is_part: bool,
    is_first: bool,
) -> Outcome:
    fields = reply.headers
    # A server may answer twice, or late on a reused connection. Such an answer looks
    # valid but belongs to another caller's request; only the id shows it.
    is_own = fields.get(names.attempt) == request.attempt
    is_refusal = names.not_run in fields or reply.status == MISDIRECTED_REQUEST_STATUS
    if is_refusal and is_first and names.attempt not in fields:
        is_own = True
    if not is_own:
        return Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
    if is_refusal:
        return _read_refusal(reply, server)
    if reply.status >= MIN_SERVER_ERROR_STATUS or reply.status in NOT_RUN_STATUSES:
        return Unknown(step=Step.RECEIVE, peer=server, reason=Reason.SERVER_ERROR)
    if reply.status < MIN_NON_SUCCESS_STATUS and names.proof not in fields:
        return Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
    if is_part:
        return _strip_part(reply, names, server)
    return Answered(
        body=reply.body,
        status=reply.status,
        headers=keep_end_to_end(fields.items()),
    )


def _read_refusal(reply: Reply, server: str) -> NotRun:
    reason = Reason.SHED
    if reply.status == MISDIRECTED_REQUEST_STATUS:
        reason = Reason.NO_REPLICA
    elif reply.status == 400:
        reason = Reason.WRONG_ANSWER
    return NotRun(
        step=Step.RECEIVE,
        peer=server,
        reason=reason,
        retry_after_ms=_read_retry_after(reply.headers.get(b"retry-after", b"")),
    )


def _read_retry_after(text: bytes) -> int:
    """Return milliseconds, or 0 if the header is missing or invalid."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if not math.isfinite(seconds) or seconds < 0:
        return 0
    return min(LONGEST_RETRY_AFTER_MS, int(seconds * 1_000))


def read_load(text: bytes | None) -> ServerReport | None:
    """Return the load that a server reports, or None if it is missing or invalid.

    >>> read_load(b"3,0,8").in_use, read_load(b"3,x"), read_load(b"3,0," + b"9" * 400)
    (3, None, None)
    """
    if text is None:
        return None
    if len(text) > MAX_CACHED_LOAD_BYTES:
        return _parse_load(text)
    return _parse_short_load(text)


def _parse_load(text: bytes) -> ServerReport | None:
    try:
        in_use, queued, slots = [
            read_count(number, most=MAX_REPORTED_CALLS)
            for number in text.split(b",", 3)[:3]
        ]
    except ValueError:
        return None
    return ServerReport(
        in_use=in_use, slots=slots, queued=queued, state="serving", versions=()
    )


# Servers of a few slots report the same few loads again and again.
_parse_short_load = lru_cache(maxsize=MAX_CACHED_LOADS)(_parse_load)
