"""What a request asks for, as one short id that repeats of it share."""

from xxhash import xxh3_128_hexdigest

from ..state.forwarding import ForwardedRequest

HOST_HEADER = b"host"


def identify_content(request: ForwardedRequest, body: bytes) -> str:
    """Return the id of what a request asks for: 32 hexadecimal digits.

    A caller's repeat comes under a new attempt id, at another host, perhaps with other
    headers; what a server does for it depends on these four.

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
    return xxh3_128_hexdigest(b"".join(b"%d:%s" % (len(f), f) for f in fields))
