"""Whether a connection to a backend server may carry another request."""

# A server may reject a longer request before it has read it. The next request on the
# connection would wait behind the rest of it, or be lost if the server closes.
LONG_REQUEST_BYTES = 16_384
FIRST_NON_SUCCESS_STATUS = 300


def has_read_request(*, n_bytes: int, n_sent: int, status: int) -> bool:
    """Return whether a server that has answered can be taken to have read its request.

    `n_bytes` is the length of the request, of which the kernel has accepted `n_sent`.
    If the rest is not sent, a server that keeps the connection reads the next request
    in its place.

    >>> has_read_request(n_bytes=260_000, n_sent=81_088, status=503)
    False
    """
    if n_sent < n_bytes:
        return False
    return n_bytes <= LONG_REQUEST_BYTES or status < FIRST_NON_SUCCESS_STATUS
