"""Which hosts register their address in the platform's store, for hosts that start."""

from collections.abc import Mapping

from .ranking import rank_hosts
from .relaying import list_neighbours

REGISTERED_PER_DATA_CENTRE = 3
"""How many hosts of each data centre are registered in the store.

A host that starts has to reach one of them. With few registered, a start of all hosts
or a power failure causes few calls: with all of 195 hosts registered, they would be 195
and 390 more. A data centre can be found unless all of its registered hosts fail before
the next in rank registers.
"""

_RANKING_KEY = "registered"


def should_register(own: str, data_centres: Mapping[str, str]) -> bool:
    """Return whether `own` has to register; `data_centres` holds the live hosts.

    A host without neighbours registers too: it may be cut off, or the first to start.

    >>> should_register("a-1", {"a-1": "a", "b-1": "b"})
    True
    >>> data_centres = {f"a-{n}": "a" for n in range(9)}
    >>> sum(should_register(host, data_centres) for host in data_centres)
    3
    """
    ranked = rank_hosts(_RANKING_KEY, (own, *list_neighbours(own, data_centres)))
    return own in ranked[:REGISTERED_PER_DATA_CENTRE]
