"""A caller's request that goes to a backend server unchanged."""

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]
"""Names in lower case with their values, in the order in which they came."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedRequest:
    """What goes on the wire beside the body, which the call itself holds.

    `attempt` is the caller's own id of this request: a caller's retry has another,
    so that a server's answer that names it belongs to no other request. `headers`
    holds no header that concerns one connection only.
    """

    method: bytes
    target: bytes
    attempt: bytes
    headers: Headers
