"""Which entry hosts are live, where they are, and how they rank for a group."""

from ..coordination.ranking import Ranking
from ..state.settings import Address, Settings


class Fleet:
    """This host's view of all entry hosts; changes as settings and members do."""

    def __init__(self, *, own_name: str, settings: Settings) -> None:
        self.own_name = own_name
        self._addresses = {host.name: host.peers for host in settings.hosts}
        self._ranking = Ranking(hosts=frozenset({own_name}))

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the first live hosts for a group, its owner first.

        Never empty: a host that knows of no other owns everything itself.
        """
        return self._ranking.rank(group) or (self.own_name,)

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
