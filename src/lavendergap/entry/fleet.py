"""Which entry hosts are live, where they are, and how they rank for a group."""

from collections.abc import Callable, Collection

from ..coordination.placement import Placement
from ..coordination.ranking import Ranking
from ..state.settings import Address, Settings

SHUN_TIME = 2.0


def _do_nothing(host: str) -> None:
    pass


class Fleet:
    """This host's view of all entry hosts; changes as settings and members do."""

    def __init__(
        self,
        *,
        own_name: str,
        settings: Settings,
        placement: Placement | None = None,
        probe: Callable[[str], None] = _do_nothing,
    ) -> None:
        self.own_name = own_name
        self._probe = probe
        self._suspects: frozenset[str] = frozenset()
        self._placement = placement
        self._addresses = {host.name: host.peers for host in settings.hosts}
        self._ranking = Ranking(hosts=frozenset({own_name}))
        self._shunned: dict[str, float] = {}

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the first live hosts for a group, its owner first.

        Never empty: a host that knows of no other owns everything itself. Hosts
        that are shunned or suspect come last.
        """
        if self._placement is not None:
            ranked = self._placement.rank(group) or (self.own_name,)
        else:
            ranked = self._ranking.rank(group) or (self.own_name,)
        if not self._shunned and not self._suspects:
            return ranked
        return tuple(sorted(ranked, key=self._is_doubtful))

    def _is_doubtful(self, host: str) -> bool:
        return host in self._shunned or host in self._suspects

    def stands_in(self, host: str, data_centres: Collection[str]) -> bool:
        """Tell whether a host is known to stand in one of some data centres."""
        if self._placement is None:
            return False
        return self._placement.get_data_centre(host) in data_centres

    def shun(self, host: str, *, now: float) -> None:
        """Pass over a host that was found silent or refused a channel.

        Membership takes seconds to tell a dead host from a slow one; until then
        each query would lose half of its time on it. The host is probed at once, so
        that the others, too, pass over it as soon as it is a suspect: found silent by
        each by itself, it would cost each a query.
        """
        if host not in self._shunned:
            self._probe(host)
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

    def replace_suspects(self, suspects: frozenset[str]) -> None:
        """Learn which hosts have not answered lately."""
        self._suspects = suspects

    def replace_live(self, live: dict[str, Address]) -> None:
        """Learn who is live now, and where."""
        self._addresses |= live
        self._ranking = self._ranking.replace_hosts(frozenset(live))
