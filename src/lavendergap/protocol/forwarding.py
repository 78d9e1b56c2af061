"""What goes with a forwarded request, and what a server's answer to it proves.

The names of the headers belong to the platform; `HeaderNames` says what each one
holds, and all else here speaks of that.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

import h11

from ..coordination.calls import ServerReport
from ..state.forwarding import ForwardedRequest, Headers
from ..state.outcome import Answered, Coverage, NotRun, Outcome, Reason, Step, Unknown
from .leaf import Reply, Verdict

# Headers that concern one connection only (RFC 9110, 7.6.1); each side of a proxy
# has its own. The length is stated anew for the body that is sent.
CONNECTION_HEADERS = frozenset(
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
# Requests under way whose common bytes are kept; a few hundred run on a host at most.
RENDERED_REQUESTS = 256
MISDIRECTED = 421
SUCCESS_END = 300
SERVER_ERRORS = 500


@dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """How the platform names the headers that mean something to this product.

    `attempt` is the caller's id of a request, which an answer repeats. `time_left`
    is in milliseconds. `proof` is what a server puts to its whole answer, and
    `proofs` and `n_missing` are for an answer joined from several. `expected_server`
    names the only server that may run a request, `server` the one that answers.
    `not_run` marks a server's refusal as such; `load` holds running, waiting, slots.
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


@dataclass(frozen=True, kw_only=True, slots=True)
class JoinedRecords:
    """The greatest records of the shards that `coverage` counts as answered.

    `proofs` holds the headers by which each of these shards' servers vouches for its
    part, by shard. `cut_at` is the time on the loop's clock at which waiting for
    stragglers was to end, None where nothing was waited for any more.
    """

    records: bytes
    proofs: dict[str, Headers]
    coverage: Coverage
    cut_at: float | None = None


def keep_end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that go on, with their names in lower case.

    >>> keep_end_to_end([(b"Connection", b"x-a"), (b"X-A", b"1"), (b"X-B", b"2")])
    ((b'x-b', b'2'),)
    """
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = set(CONNECTION_HEADERS)
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
    """Return the bytes of one attempt at `request` on the server of that id.

    An address may have passed to another service since it was learnt; a server that
    is not the one named refuses, and has run nothing.
    """
    lines = [
        _render_common(request, names),
        b"%s: %d\r\n" % (names.time_left, left_ms),
        b"%s: %s\r\n" % (names.expected_server, server.encode()),
    ]
    if body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d\r\n" % len(body))
    return b"".join([*lines, b"\r\n", body])


@lru_cache(maxsize=RENDERED_REQUESTS)
def _render_common(request: ForwardedRequest, names: HeaderNames) -> bytes:
    """Return what all attempts at a request have in common, as h11 writes it.

    The attempts of a query differ in two headers. Rendered and checked for each of
    them, a request took as long as all other work for the attempt.
    """
    own = {names.time_left, names.expected_server}
    headers = [(name, value) for name, value in request.headers if name not in own]
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    rendered = h11.Connection(h11.CLIENT).send(head)
    assert rendered is not None
    return rendered.removesuffix(b"\r\n")


def judge_forwarded(
    reply: Reply,
    request: ForwardedRequest,
    *,
    names: HeaderNames,
    server: str,
    is_part: bool = False,
) -> Verdict:
    """Return what a server's reply to `request` proves.

    Of a part that is joined with others only the proof goes on: the other headers,
    some 200 bytes, would cross between data centres with each part for nothing.
    """
    report = read_load(reply.headers.get(names.load))
    outcome = _judge(reply, request, names, server)
    if is_part and isinstance(outcome, Answered):
        outcome = _take_part(reply, names, server)
    return Verdict(outcome=outcome, report=report)


def _take_part(reply: Reply, names: HeaderNames, server: str) -> Outcome:
    if reply.status >= SUCCESS_END:
        return Unknown(step=Step.RECEIVE, peer=server, reason=Reason.SERVER_ERROR)
    proof = reply.headers[names.proof]
    return Answered(body=reply.body, headers=((names.proof, proof),))


def _judge(
    reply: Reply, request: ForwardedRequest, names: HeaderNames, server: str
) -> Outcome:
    fields = reply.headers
    # A server may answer twice, or late on a connection that was used again since.
    # Such an answer looks whole and is another caller's; only the id tells.
    is_own = fields.get(names.attempt) == request.attempt
    if names.not_run in fields or reply.status == MISDIRECTED:
        if not is_own and names.attempt in fields:
            return Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
        return _read_refusal(reply, server)
    if not is_own:
        return Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
    if reply.status >= SERVER_ERRORS:
        return Unknown(step=Step.RECEIVE, peer=server, reason=Reason.SERVER_ERROR)
    if reply.status < SUCCESS_END and names.proof not in fields:
        return Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
    return Answered(
        body=reply.body,
        status=reply.status,
        headers=keep_end_to_end(fields.items()),
    )


def _read_refusal(reply: Reply, server: str) -> NotRun:
    reason = Reason.SHED
    if reply.status == MISDIRECTED:
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
    """Return milliseconds; 0 for what is missing or makes no sense."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if not math.isfinite(seconds) or seconds < 0:
        return 0
    return min(LONGEST_RETRY_AFTER_MS, int(seconds * 1_000))


def read_load(text: bytes | None) -> ServerReport | None:
    """Return what a server says of its load, or None when it makes no sense.

    >>> read_load(b"3,0,8").in_use, read_load(b"3,x")
    (3, None)
    """
    if text is None:
        return None
    try:
        in_use, queued, slots = (int(field) for field in text.split(b",")[:3])
    except ValueError:
        return None
    return ServerReport(
        in_use=in_use, slots=slots, queued=queued, state="serving", versions=()
    )
