"""The result that the backend stand-in returns, which callers can check."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """The result of a call.

    `query` and `length` are taken from the request's body, so that the caller can
    check that the answer belongs to its request.
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
    """Return the string under "query" in a JSON body, or None if there is none."""
    try:
        return _DECODER.decode(body).query
    except msgspec.DecodeError:
        return None
