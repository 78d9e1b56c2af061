"""The result of a backend stand-in, which its caller can check."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """The result of a call.

    `query` and `length` are those of the request's body, so that a caller can
    verify that the answer belongs to its own request.
    """

    shard: str
    version: int
    server: str
    query: str | None
    length: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Query:
    query: str | None = None


_DECODER = msgspec.json.Decoder(_Query)


def read_query(body: bytes) -> str | None:
    """Return the string under "query" in a body, or None where there is none."""
    try:
        return _DECODER.decode(body).query
    except msgspec.DecodeError:
        return None
