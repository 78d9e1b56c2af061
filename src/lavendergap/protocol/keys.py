"""The key of a caller's request, and the header that names its customer."""

from collections.abc import Iterable
from enum import StrEnum

from ..state.customers import MAX_KEY_BYTES, Customer, CustomerTable
from ..state.forwarding import Headers
from .forwarding import HeaderNames


class KeyProblem(StrEnum):
    """Why a request has no customer."""

    NONE = "none"
    UNKNOWN = "unknown"
    SEVERAL = "several"


def find_customer(
    headers: Iterable[tuple[bytes, bytes]], *, name: bytes, table: CustomerTable
) -> Customer | KeyProblem:
    """Return the customer whose key the headers `name` hold, or why there is none.

    A key may be repeated, in another line or after a comma, since a proxy may join the
    lines of a header. Two different keys are refused even if one of them is valid.

    >>> from ..state.customers import digest_key
    >>> table = CustomerTable(
    ...     customers={"c1": Customer(name="c1")},
    ...     names_by_digest={digest_key(b"k1"): "c1"})
    >>> find_customer([(b"x-key", b"k1, k1")], name=b"x-key", table=table).name
    'c1'
    >>> find_customer([(b"x-key", b"k1, k2")], name=b"x-key", table=table)
    <KeyProblem.SEVERAL: 'several'>
    """
    keys: set[bytes] = set()
    for header, value in headers:
        if header == name:
            keys.update(_split_keys(value.strip(), table))
    keys.discard(b"")
    match list(keys):
        case []:
            return KeyProblem.NONE
        case [key]:
            return table.find_by_key(key) or KeyProblem.UNKNOWN
        case _:
            return KeyProblem.SEVERAL


def _split_keys(value: bytes, table: CustomerTable) -> list[bytes]:
    if b"," not in value or len(value) > MAX_KEY_BYTES:
        return [value]
    if table.find_by_key(value):
        # This key itself contains a comma.
        return [value]
    return [part.strip() for part in value.split(b",")]


def replace_customer(
    headers: Headers, *, names: HeaderNames, customer: Customer | None
) -> Headers:
    """Return the headers without the caller's key and with `customer`'s name, if any.

    Names that differ only in underscores are removed too: many servers (by CGI's rules)
    treat them as the same name, and a caller could pose as another customer.
    """
    own = (names.key, names.customer)
    kept = tuple(each for each in headers if each[0].replace(b"_", b"-") not in own)
    if customer is None:
        return kept
    return (*kept, (names.customer, customer.name.encode("ascii")))
