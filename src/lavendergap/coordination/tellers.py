"""Which hosts told of a newer version of a document, to be asked one by one."""

from dataclasses import dataclass

from .documents import FetchDocument


@dataclass(frozen=True, kw_only=True, slots=True)
class Teller:
    """A host that said that it has a document at version `at_least`."""

    host: str
    at_least: int


class Tellers:
    """The hosts that were heard to have something newer, each asked once a hearing.

    >>> tellers = Tellers()
    >>> tellers.hear("ptl-a-1", FetchDocument(name="index/scheduler", at_least=7))
    >>> tellers.hear("ptl-a-2", FetchDocument(name="index/scheduler", at_least=8))
    >>> tellers.take("index/scheduler", 6).host
    'ptl-a-2'
    >>> tellers.take("index/scheduler", 8) is None
    True
    """

    def __init__(self) -> None:
        self._told: dict[str, dict[str, int]] = {}

    def hear(self, host: str, want: FetchDocument) -> None:
        """Note that `host` has what is wanted."""
        self._told.setdefault(want.name, {})[host] = want.at_least

    def forget(self, name: str) -> None:
        """Ask nobody for `name` who was heard before."""
        self._told.pop(name, None)

    def take(self, name: str, held: int) -> Teller | None:
        """Return whom to ask next for `name` beyond version `held`, the newest first.

        Those who have nothing newer are forgotten.
        """
        told = {h: v for h, v in self._told.pop(name, {}).items() if v > held}
        if not told:
            return None
        host = max(told, key=told.__getitem__)
        teller = Teller(host=host, at_least=told.pop(host))
        self._told[name] = told
        return teller
