"""Merging parts of a library into their greatest records.

A part is an unordered sequence of records of a fixed size; a caller gets the greatest
of all parts together. An owner of several shards passes on only the greatest of its
own: a record that is not among these is not among the greatest of all.
"""

from collections.abc import Iterable
from heapq import nlargest
from itertools import chain
from struct import Struct

RECORD_BYTES = 16
"""The size of a record. Fewer bytes at the end of a part are ignored."""


_record = Struct(f"{RECORD_BYTES}s")


def split_records(part: bytes) -> list[bytes]:
    """Return the records of a part, in its order.

    >>> len(split_records(bytes(40)))
    2
    """
    return list(chain.from_iterable(_record.iter_unpack(_trim(part))))


def _trim(part: bytes) -> bytes:
    """Return a part without the bytes after its last whole record."""
    n_extra = len(part) % RECORD_BYTES
    return part[:-n_extra] if n_extra else part


def merge_greatest(parts: Iterable[bytes], *, n_wanted: int) -> bytes:
    """Return the `n_wanted` greatest records of all parts, the greatest first.

    Records are compared byte by byte; equal ones all count. Merging merged parts gives
    the same result as merging all parts at once:

    >>> a, b, c = (bytes([n]) * RECORD_BYTES for n in (1, 2, 3))
    >>> whole = merge_greatest([a + c, b + b], n_wanted=2)
    >>> whole == merge_greatest(
    ...     [merge_greatest([a + c], n_wanted=2), b + b], n_wanted=2)
    True
    >>> whole == c + b
    True
    """
    records = split_records(b"".join(map(_trim, parts)))
    return b"".join(nlargest(n_wanted, records))
