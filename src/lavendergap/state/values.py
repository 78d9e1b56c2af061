"""The kinds of option values, with their validation and description."""

import ipaddress
import math
import re
from dataclasses import dataclass

from .settings import Address, StragglerPolicy

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
"""Names have no dots, so that dotted paths into the tree are unambiguous."""

DIGEST_PATTERN = re.compile(r"[0-9A-Fa-f]{64}")


@dataclass(frozen=True, kw_only=True, slots=True)
class IntegerValue:
    """An integer from `low` to `high`, inclusive."""

    low: int
    high: int


@dataclass(frozen=True, kw_only=True, slots=True)
class NumberValue:
    """A finite number from `low` to `high`, inclusive."""

    low: float
    high: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FlagValue:
    """True or false."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NameValue:
    """A name of letters, digits, hyphens and underscores."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressValue:
    """An IPv4 address and a port, such as 127.0.0.1:8001."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StragglersValue:
    """The policy of a service for shards that answer late."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DigestsValue:
    """A list of SHA-256 digests in hexadecimal, one for each of a customer's keys."""


Kind = (
    IntegerValue
    | NumberValue
    | FlagValue
    | NameValue
    | AddressValue
    | StragglersValue
    | DigestsValue
)
Value = int | float | bool | str | Address | StragglerPolicy | tuple[str, ...]


def describe_kind(kind: Kind) -> str:
    """Return a description of valid values, to follow "expected" in a message."""
    match kind:
        case IntegerValue(low=low, high=high):
            return f"a whole number from {low} to {high}"
        case NumberValue(low=low, high=high):
            return f"a number from {low:g} to {high:g}"
        case FlagValue():
            return "true or false"
        case NameValue():
            return "a name of at most 63 letters, digits, hyphens and underscores"
        case AddressValue():
            return "an IPv4 number and a port, such as 127.0.0.1:8001"
        case StragglersValue():
            return '{"kind": "wait"} or {"kind": "give up", ...}'
        case DigestsValue():
            return "a list of SHA-256 digests of 64 hexadecimal digits each"


def check_value(kind: Kind, raw: object) -> Value | None:
    """Return `raw` as a value of `kind`, or None if it is invalid.

    `StragglersValue` has options of its own and is parsed by `state.branch`, as is
    `DigestsValue`, whose problems are reported without the value.
    """
    match kind:
        case IntegerValue(low=low, high=high):
            return raw if type(raw) is int and low <= raw <= high else None
        case NumberValue(low=low, high=high):
            return _check_number(raw, low=low, high=high)
        case FlagValue():
            return raw if isinstance(raw, bool) else None
        case NameValue():
            return raw if isinstance(raw, str) and is_name(raw) else None
        case AddressValue():
            return parse_address(raw) if isinstance(raw, str) else None
        case StragglersValue() | DigestsValue():
            return None


def is_name(text: str) -> bool:
    """Return whether `text` is a valid name of a branch."""
    return NAME_PATTERN.fullmatch(text) is not None


def is_digest(raw: object) -> bool:
    """Return whether `raw` is a SHA-256 digest in hexadecimal."""
    return isinstance(raw, str) and DIGEST_PATTERN.fullmatch(raw) is not None


def parse_address(text: str) -> Address | None:
    """Return the address in `text`, written as ip:port, or None if it is invalid.

    Only the IPv4 address of a single host is accepted: host names need a lookup, which
    may fail or change, and peers cannot connect to 0.0.0.0.
    """
    ip, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > 5:
        return None
    if not 1 <= int(port) <= 65_535:
        return None
    try:
        number = ipaddress.IPv4Address(ip)
    except ValueError:
        return None
    if number.is_unspecified or number.is_multicast:
        return None
    return Address(ip=ip, port=int(port))


def _check_number(raw: object, *, low: float, high: float) -> float | None:
    if isinstance(raw, bool) or not isinstance(raw, (int, float)):
        return None
    # Floats only: math.isfinite() raises OverflowError for huge integers.
    if isinstance(raw, float) and not math.isfinite(raw):
        return None
    return float(raw) if low <= raw <= high else None
