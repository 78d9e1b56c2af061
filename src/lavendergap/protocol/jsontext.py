"""Decodes JSON from outside of the process, which may be malformed."""

from typing import TypeVar

import msgspec

T = TypeVar("T")

_decode_raw = msgspec.json.Decoder(msgspec.Raw).decode


def decode_json(body: bytes, expected_type: type[T]) -> T:
    """Decode JSON into `expected_type`; raises ValueError if it does not match.

    >>> decode_json(b"[" * 100_000, list)
    Traceback (most recent call last):
    ...
    ValueError: nested too deeply
    """
    try:
        return msgspec.json.decode(body, type=expected_type)
    except RecursionError:
        # Not a ValueError, so callers would not catch it and the process would end.
        raise ValueError("nested too deeply") from None


def check_json(body: bytes) -> None:
    """Raise ValueError if `body` is not JSON."""
    try:
        _decode_raw(body)
    except RecursionError:
        raise ValueError("nested too deeply") from None
