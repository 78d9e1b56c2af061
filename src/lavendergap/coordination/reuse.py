"""Whether a connection to a backend server may carry another request."""

# A server may reject a longer request before it has read it. The next request on the
# connection would wait behind the rest of it, or be lost if the server closes.
LONG_REQUEST_BYTES = 16_384
# A connection is replaced when it has more of them.
MAX_FAILED_ATTEMPTS = 256


def has_read_request(*, n_bytes: int, n_sent: int, is_success: bool) -> bool:
    """Return whether a server that has answered can be taken to have read its request.

    `n_bytes` is the length of the request, of which the kernel has accepted `n_sent`.
    If the rest is not sent, a server that keeps the connection reads the next request
    in its place.

    >>> has_read_request(n_bytes=260_000, n_sent=81_088, is_success=True)
    False
    """
    if n_sent < n_bytes:
        return False
    return n_bytes <= LONG_REQUEST_BYTES or is_success


class FailedAttempts:
    """The ids of requests that failed on a connection, until their deadlines.

    All attempts at a request have one id. A server may send an answer a second time, at
    the point where the next one is due. If the connection carried another attempt at
    that request, the copy of a rejection would be taken for its answer, while the
    server runs it.

    >>> failed = FailedAttempts()
    >>> failed.add(b"r1", deadline=2.0, now=1.0)
    True
    >>> b"r1" in failed, b"r2" in failed
    (True, False)
    >>> failed.add(b"r2", deadline=9.0, now=2.5)
    True
    >>> b"r1" in failed
    False
    """

    __slots__ = ("_deadlines",)

    def __init__(self) -> None:
        self._deadlines: dict[bytes, float] = {}

    def __contains__(self, attempt: bytes) -> bool:
        return attempt in self._deadlines

    def add(self, attempt: bytes, *, deadline: float, now: float) -> bool:
        """Add an id, or return False if there are too many.

        The oldest ones are dropped once their deadlines have passed.
        """
        deadlines = self._deadlines
        while deadlines and next(iter(deadlines.values())) <= now:
            del deadlines[next(iter(deadlines))]
        if len(deadlines) >= MAX_FAILED_ATTEMPTS:
            return False
        deadlines[attempt] = deadline
        return True
