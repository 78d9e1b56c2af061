"""Short ids of the content of requests, equal for repeats of a request."""

import hashlib

from ..state.forwarding import ForwardedRequest

HOST_HEADER = b"host"
CONTENT_ID_BYTES = 16
ATTEMPT_ID_BYTES = 4


def identify_content(request: ForwardedRequest, body: bytes) -> str:
    """Return the id of the content of a request: 32 hexadecimal digits.

    A caller's repeat has a new attempt id, may have other headers and may reach another
    host. The id depends only on what determines the server's work: method, host, target
    and body. The hash is cryptographic, so that nobody can construct a request with the
    id of another caller's.

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
    # The lengths keep fields with shifted boundaries from giving equal texts.
    text = b"".join(b"%d:%s" % (len(field), field) for field in fields)
    return hashlib.blake2b(text, digest_size=CONTENT_ID_BYTES).hexdigest()


def identify_attempt(request: ForwardedRequest) -> str:
    """Return a short id of one caller's attempt, for use with the id of its content."""
    hashed = hashlib.blake2b(request.attempt, digest_size=ATTEMPT_ID_BYTES)
    return hashed.hexdigest()
