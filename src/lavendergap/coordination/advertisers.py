"""Hosts that advertised a newer version of a document, to be asked one by one."""

from dataclasses import dataclass

from .documents import FetchDocument


@dataclass(frozen=True, kw_only=True, slots=True)
class Advertiser:
    """A host that advertised a document at version `at_least`."""

    host: str
    at_least: int


class Advertisers:
    """The hosts that advertised a newer version, each to be asked once for it.

    >>> advertisers = Advertisers()
    >>> advertisers.add("ptl-a-1", FetchDocument(name="index/scheduler", at_least=7))
    >>> advertisers.add("ptl-a-2", FetchDocument(name="index/scheduler", at_least=8))
    >>> advertisers.take("index/scheduler", 6).host
    'ptl-a-2'
    >>> advertisers.take("index/scheduler", 8) is None
    True
    """

    def __init__(self) -> None:
        self._versions: dict[str, dict[str, int]] = {}

    def add(self, host: str, want: FetchDocument) -> None:
        """Record that `host` has the wanted version."""
        self._versions.setdefault(want.name, {})[host] = want.at_least

    def forget(self, name: str) -> None:
        """Drop the hosts recorded for `name`."""
        self._versions.pop(name, None)

    def take(self, name: str, held: int) -> Advertiser | None:
        """Remove and return the host with the newest version of `name`, or None.

        Hosts that have no version newer than `held` are dropped.
        """
        versions = self._versions.pop(name, {})
        newer = {host: at for host, at in versions.items() if at > held}
        if not newer:
            return None
        host = max(newer, key=newer.__getitem__)
        advertiser = Advertiser(host=host, at_least=newer.pop(host))
        self._versions[name] = newer
        return advertiser
