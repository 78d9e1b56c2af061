"""Merging parts of a library into their greatest records.

A part is an unordered sequence of records of a fixed size; a caller gets the greatest
of all parts together. An owner of several shards passes on only the greatest of its
own: a record that is not among these is not among the greatest of all.
"""

from collections.abc import Iterable
from heapq import nlargest

RECORD_BYTES = 16
"""The size of a record. Fewer bytes at the end of a part are ignored."""


def split_records(part: bytes) -> list[bytes]:
    """Return the records of a part, in its order.

    >>> len(split_records(bytes(40)))
    2
    """
    end = len(part) - len(part) % RECORD_BYTES
    return [part[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


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
    records = [record for part in parts for record in split_records(part)]
    return b"".join(nlargest(n_wanted, records))
