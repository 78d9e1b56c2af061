"""The kinds of values that options take: how each is checked and described."""

import ipaddress
import math
import re
from dataclasses import dataclass

from .settings import Address, StragglerPolicy

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
"""Names hold no dot, so that a dotted path into the tree has one meaning."""


@dataclass(frozen=True, kw_only=True, slots=True)
class IntegerValue:
    """A whole number from `low` to `high`, both included."""

    low: int
    high: int


@dataclass(frozen=True, kw_only=True, slots=True)
class NumberValue:
    """A finite number from `low` to `high`, both included."""

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
    """An IPv4 number and a port, such as 127.0.0.1:8001."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StragglersValue:
    """What a service does about shards that lag behind the others."""


Kind = (
    IntegerValue | NumberValue | FlagValue | NameValue | AddressValue | StragglersValue
)
Value = int | float | bool | str | Address | StragglerPolicy


def describe_kind(kind: Kind) -> str:
    """Say what a value of `kind` looks like, as the end of "expected ..."."""
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


def check_value(kind: Kind, raw: object) -> Value | None:
    """Return `raw` as a value of `kind`, or None where it is not one.

    `StragglersValue` holds options of its own and is read by `state.branch`.
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
        case StragglersValue():
            return None


def is_name(text: str) -> bool:
    """Tell whether `text` may name a branch."""
    return NAME_PATTERN.fullmatch(text) is not None


def parse_address(text: str) -> Address | None:
    """Return the address that `text` writes as ip:port, or None.

    Only IPv4 numbers of one host are taken: names need a lookup that can fail or
    change, and 0.0.0.0 tells a peer nothing.
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
    # A NaN compares false with everything and an integer may exceed any float.
    if isinstance(raw, float) and not math.isfinite(raw):
        return None
    return float(raw) if low <= raw <= high else None
