"""A caller's request that is forwarded to a backend server unchanged."""

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]
"""Lower-case names with their values, in the order received."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedRequest:
    """The parts of a forwarded request except its body, which the call holds.

    `attempt` is the caller's id of this request. A caller's retry has a different id,
    so a server's answer that repeats the id belongs to this request. `headers` holds
    no hop-by-hop headers.
    """

    method: bytes
    target: bytes
    attempt: bytes
    headers: Headers
