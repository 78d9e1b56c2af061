"""A limit on the memory of all answers that are being received."""

from typing import Generic, Protocol, TypeVar


class Rejectable(Protocol):
    """A connection whose answer can be given up."""

    def reject(self, problem: str) -> None:
        """Close the connection and discard what was received of the answer."""


R = TypeVar("R", bound=Rejectable)


class AnswerMemory(Generic[R]):
    """Counts the bytes of incomplete answers; rejects the longest ones above a limit.

    Each answer has a limit of its own, but faulty servers may send as many endless
    answers as there are connections to them.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[R, int] = {}
        self._n_bytes = 0

    def count(self, connection: R, n_bytes: int) -> None:
        """Set the length of the answer that is being received on a connection."""
        self._n_bytes += n_bytes - self._sizes.get(connection, 0)
        self._sizes[connection] = n_bytes
        while self._n_bytes > self._max_bytes:
            longest = max(self._sizes, key=self._sizes.__getitem__)
            self.discard(longest)
            longest.reject("the longest of too many long answers")

    def discard(self, connection: R) -> None:
        """Stop counting a connection's answer, which is complete or was given up."""
        if self._sizes:
            self._n_bytes -= self._sizes.pop(connection, 0)
