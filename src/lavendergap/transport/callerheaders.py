"""Reads the headers of callers' requests: the id, the time left and the key."""

import math
from http import HTTPStatus

import trio

from .. import metrics
from ..coordination.linelimit import LineLimit
from ..logs import Category, get_logger, log_decision
from ..protocol.forwarding import HeaderNames
from ..protocol.keys import KeyProblem, find_customer
from ..state.customers import Customer, CustomerTable
from .web import BadRequestError, Scope, get_headers

logger = get_logger(Category.ROUTE)

MAX_TIME_LEFT_MS = 600_000
MAX_ATTEMPT_ID_BYTES = 256
# Callers without a key cause these lines; the counter has them all.
REFUSED_KEY_LINES_PER_S = 5
MAX_LOGGED_CHARACTERS = 256

_PROBLEMS = {
    KeyProblem.NONE: "no key",
    KeyProblem.UNKNOWN: "unknown key",
    KeyProblem.SEVERAL: "several keys",
}


def read_attempt(headers: dict[bytes, bytes], names: HeaderNames) -> bytes:
    """Return the caller's id of the request; raises BadRequestError without one."""
    attempt = headers.get(names.attempt, b"")
    if not attempt or len(attempt) > MAX_ATTEMPT_ID_BYTES:
        raise BadRequestError(
            status=HTTPStatus.BAD_REQUEST,
            problem="no request id",
            detail=f"send {names.attempt.decode()}, new for each request",
        )
    return attempt


def read_time_left(headers: dict[bytes, bytes], names: HeaderNames) -> float:
    """Return the time left in ms, infinite if not stated; raises BadRequestError."""
    stated = headers.get(names.time_left)
    if stated is None:
        return math.inf
    try:
        left = float(stated)
    except ValueError:
        left = math.nan
    if not 0 <= left <= MAX_TIME_LEFT_MS:
        raise BadRequestError(
            status=HTTPStatus.BAD_REQUEST,
            problem="impossible deadline",
            detail=f"{names.time_left.decode()} is a number of milliseconds",
        )
    return left


class KeyReader:
    """Finds the customers of requests by their keys, and logs refused ones.

    `key` and `request_id` are the lower-case names of the callers' headers.

    Neither the log nor the error shows a key or a part of one: an unknown key may be
    a valid one with a typing error, or one that was removed here first.
    """

    def __init__(self, *, key: bytes, request_id: bytes) -> None:
        self._key = key
        self._request_id = request_id
        self._line_limit = LineLimit(n_lines=REFUSED_KEY_LINES_PER_S)

    def read(self, scope: Scope, table: CustomerTable, *, route: str) -> Customer:
        """Return the customer of a request; raises BadRequestError if it has none."""
        found = find_customer(scope["headers"], name=self._key, table=table)
        if isinstance(found, Customer):
            return found
        metrics.refused_keys.labels(found.value).inc()
        self._log(scope, found, route=route)
        raise BadRequestError(
            status=HTTPStatus.UNAUTHORIZED,
            problem=_PROBLEMS[found],
            detail=f"{_PROBLEMS[found]}: send one valid key in {self._key.decode()}",
        )

    def _log(self, scope: Scope, problem: KeyProblem, *, route: str) -> None:
        n_dropped = self._line_limit.admit(now=trio.current_time())
        if n_dropped is None:
            return
        headers = get_headers(scope)
        request_id = headers.get(self._request_id, b"")[:MAX_LOGGED_CHARACTERS]
        host = headers.get(b"host", b"")[:MAX_LOGGED_CHARACTERS]
        log_decision(
            logger,
            "key refused",
            request_id=request_id.decode("latin-1"),
            host=host.decode("latin-1"),
            route=route,
            why=problem.value,
            n_dropped=n_dropped,
        )
