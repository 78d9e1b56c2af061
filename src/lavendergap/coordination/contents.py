"""What a request asks for, as one short id that repeats of it share."""

import hashlib

from ..state.forwarding import ForwardedRequest

HOST_HEADER = b"host"
CONTENT_ID_BYTES = 16
ATTEMPT_ID_BYTES = 4


def identify_content(request: ForwardedRequest, body: bytes) -> str:
    """Return the id of what a request asks for: 32 hexadecimal digits.

    A caller's repeat comes under a new attempt id, at another host, perhaps with other
    headers; what a server does for it depends on these four. The hash is cryptographic,
    so that nobody can make a request that passes for another caller's.

    >>> first = ForwardedRequest(
    ...     method=b"GET", target=b"/a", attempt=b"1", headers=((b"host", b"x"),))
    >>> again = ForwardedRequest(
    ...     method=b"GET", target=b"/a", attempt=b"2", headers=((b"host", b"x"),))
    >>> identify_content(first, b"") == identify_content(again, b"")
    True
    >>> identify_content(first, b"") == identify_content(first, b"{}")
    False
    """
    host = dict(request.headers).get(HOST_HEADER, b"").lower()
    fields = (request.method, host, request.target, body)
    # With their lengths, so that no two requests are alike by where a field ends.
    text = b"".join(b"%d:%s" % (len(field), field) for field in fields)
    return hashlib.blake2b(text, digest_size=CONTENT_ID_BYTES).hexdigest()


def identify_attempt(request: ForwardedRequest) -> str:
    """Return a short name of one caller's attempt, for use beside its content's id."""
    hashed = hashlib.blake2b(request.attempt, digest_size=ATTEMPT_ID_BYTES)
    return hashed.hexdigest()
