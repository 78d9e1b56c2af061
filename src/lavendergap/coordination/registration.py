"""Which hosts say in the platform's store where they are, for those who start."""

from collections.abc import Mapping

from .ranking import rank_hosts
from .relaying import list_neighbours

REGISTERED_A_PLACE = 3
"""How many hosts of each data centre are to be found in the store.

Whoever starts needs to reach one of them. Were all 195 registered, a start of the fleet
were 195 calls and a loss of power 390 more. With three, a data centre is found until
three hosts are lost within the seconds that it takes the next in rank to register.
"""

_KEY = "registered"


def is_to_register(own: str, places: Mapping[str, str]) -> bool:
    """Tell whether `own` is one of those; `places` holds the live hosts.

    Who sees nobody else is: it may be on the far side of a cut, or the first to start.

    >>> is_to_register("a-1", {"a-1": "a", "b-1": "b"})
    True
    >>> places = {f"a-{n}": "a" for n in range(9)}
    >>> sum(is_to_register(host, places) for host in places)
    3
    """
    ranked = rank_hosts(_KEY, (own, *list_neighbours(own, places)))
    return own in ranked[:REGISTERED_A_PLACE]
