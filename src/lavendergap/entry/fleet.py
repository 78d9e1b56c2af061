"""Which entry hosts are live, where they are, and how they rank for a group."""

from collections.abc import Collection

from ..coordination.placement import Placement
from ..coordination.ranking import Ranking
from ..state.settings import Address, Settings

SHUN_TIME = 2.0


class Fleet:
    """This host's view of all entry hosts; changes as settings and members do."""

    def __init__(
        self,
        *,
        own_name: str,
        settings: Settings,
        placement: Placement | None = None,
    ) -> None:
        self.own_name = own_name
        self._placement = placement
        self._addresses = {host.name: host.peers for host in settings.hosts}
        self._ranking = Ranking(hosts=frozenset({own_name}))
        self._shunned: dict[str, float] = {}

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the first live hosts for a group, its owner first.

        Never empty: a host that knows of no other owns everything itself. Hosts
        that are shunned come last.
        """
        if self._placement is not None:
            ranked = self._placement.rank(group) or (self.own_name,)
        else:
            ranked = self._ranking.rank(group) or (self.own_name,)
        if not self._shunned:
            return ranked
        return tuple(sorted(ranked, key=self._shunned.__contains__))

    def stands_in(self, host: str, data_centres: Collection[str]) -> bool:
        """Tell whether a host is known to stand in one of some data centres."""
        if self._placement is None:
            return False
        return self._placement.get_data_centre(host) in data_centres

    def shun(self, host: str, *, now: float) -> None:
        """Pass over a host that was found silent or refused a channel.

        Membership takes seconds to tell a dead host from a slow one; until then
        each query would lose half of its time on it.
        """
        self._shunned[host] = now + SHUN_TIME

    def forgive(self, *, now: float) -> None:
        """Try hosts again whose time of being passed over has ended at `now`."""
        self._shunned = {h: t for h, t in self._shunned.items() if t > now}

    def get_address(self, host: str) -> Address | None:
        """Return where a host takes peers' channels."""
        return self._addresses.get(host)

    @property
    def live(self) -> frozenset[str]:
        """The names of the hosts that may own groups."""
        return self._ranking.hosts

    def replace_settings(self, settings: Settings) -> None:
        """Learn the addresses of hosts that new settings name."""
        self._addresses |= {host.name: host.peers for host in settings.hosts}

    def replace_live(self, live: dict[str, Address]) -> None:
        """Learn who is live now, and where."""
        self._addresses |= live
        self._ranking = self._ranking.replace_hosts(frozenset(live))
