"""The live entry hosts: their addresses, data centres and ranking for a group."""

from collections.abc import Callable, Collection

from ..coordination.placement import Placement
from ..coordination.ranking import Ranking
from ..state.settings import Address, Settings

AVOID_TIME_S = 2.0


def _do_nothing(host: str) -> None:
    pass


class Fleet:
    """This host's view of all entry hosts, updated when settings and members change."""

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
        self._avoided_until: dict[str, float] = {}

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the highest-ranked live hosts for a group, its owner first.

        Never empty: a host that has found no other owns all groups. Hosts that are
        avoided or suspect come last.
        """
        if self._placement is not None:
            ranked = self._placement.rank(group) or (self.own_name,)
        else:
            ranked = self._ranking.rank(group) or (self.own_name,)
        if not self._avoided_until and not self._suspects:
            return ranked
        return tuple(sorted(ranked, key=self.is_doubtful))

    def is_doubtful(self, host: str) -> bool:
        """Return whether a host is avoided or suspected to be down."""
        return host in self._avoided_until or host in self._suspects

    def is_in_data_centre(self, host: str, data_centres: Collection[str]) -> bool:
        """Return whether a host is known to be in one of `data_centres`."""
        if self._placement is None:
            return False
        return self._placement.get_data_centre(host) in data_centres

    def avoid(self, host: str, *, now: float) -> None:
        """Avoid a host for a while after it did not answer or refused a channel.

        Membership needs seconds to detect a dead host; until then each query would lose
        much of its time waiting for it. The host is probed at once, so that other hosts
        avoid it as a suspect and do not each lose a query to it.
        """
        if host not in self._avoided_until:
            self._probe(host)
        self._avoided_until[host] = now + AVOID_TIME_S

    def expire_avoided(self, *, now: float) -> None:
        """Stop avoiding hosts whose time has ended at `now`."""
        self._avoided_until = {h: t for h, t in self._avoided_until.items() if t > now}

    def get_address(self, host: str) -> Address | None:
        """Return the address at which a host accepts channels of peers."""
        return self._addresses.get(host)

    @property
    def live(self) -> frozenset[str]:
        """The names of the hosts that may own groups."""
        return self._ranking.hosts

    def replace_settings(self, settings: Settings) -> None:
        """Add the addresses of the hosts in new settings."""
        self._addresses |= {host.name: host.peers for host in settings.hosts}

    def replace_suspects(self, suspects: frozenset[str]) -> None:
        """Replace the hosts that membership suspects to be down."""
        self._suspects = suspects

    def replace_live(self, live: dict[str, Address]) -> None:
        """Replace the live hosts, given with their addresses."""
        self._addresses |= live
        self._ranking = self._ranking.replace_hosts(frozenset(live))
