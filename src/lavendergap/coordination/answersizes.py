"""A limit on the bytes of answers that are kept for repeated requests."""

from collections.abc import Hashable
from typing import Generic, TypeVar

from ..state.outcome import Answered, Outcome

# Room for 20,000 tickets with answers of 200 bytes each, at issuer and witness.
MAX_KEPT_ANSWER_BYTES = 4 * 1024 * 1024

K = TypeVar("K", bound=Hashable)


class AnswerSizes(Generic[K]):
    """Counts the bytes of kept answers and selects the oldest ones to drop.

    >>> bodies = AnswerSizes[int](max_bytes=10)
    >>> bodies.add(1, Answered(body=b"12345678"))
    ()
    >>> bodies.add(2, Answered(body=b"12345678"))
    (1,)
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._sizes: dict[K, int] = {}
        self._n_bytes = 0

    def add(self, key: K, outcome: Outcome) -> tuple[K, ...]:
        """Count an outcome; return the keys whose answers must be dropped for it."""
        self.discard(key)
        if isinstance(outcome, Answered):
            self._sizes[key] = len(outcome.body)
            self._n_bytes += len(outcome.body)
        dropped = []
        while self._n_bytes > self.max_bytes:
            oldest = next(iter(self._sizes))
            self.discard(oldest)
            dropped.append(oldest)
        return tuple(dropped)

    def discard(self, key: K) -> None:
        """Stop counting the answer kept under `key`, if any."""
        self._n_bytes -= self._sizes.pop(key, 0)
