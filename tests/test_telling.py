"""News of the store in fleets of several data centres: who tells whom, and how often.

The figures are those of a fleet of 77 hosts in four data centres, and of one of 550 in
ten, which is what is planned for.
"""

import pytest

from lavendergap.coordination.telling import (
    RELAY_FROM,
    choose_hearers,
    list_neighbours,
)

MESSAGE_BYTES = 60
TELLS_A_SECOND = 2 / 1.5  # Two feeds, each watch told on.


def make_fleet(n_hosts: int, n_places: int) -> dict[str, str]:
    return {f"h-{n:03}": f"dc-{n % n_places}" for n in range(n_hosts)}


def collect_told(teller: str, places: dict[str, str]) -> list[str]:
    """Return every host that a message reaches, in all its steps."""
    told = []
    for hearer in choose_hearers(teller, places):
        told.append(hearer.host)
        if hearer.passes_on:
            told += list_neighbours(hearer.host, places)
    return told


class TestReach:
    @pytest.mark.parametrize(("n_hosts", "n_places"), [(7, 4), (77, 4), (550, 10)])
    def test_every_other_host_is_told_once(self, n_hosts, n_places):
        places = make_fleet(n_hosts, n_places)
        for teller in ("h-000", "h-003"):
            assert sorted(collect_told(teller, places)) == sorted(
                places.keys() - {teller}
            )

    def test_small_fleets_have_no_relays(self):
        # A relay that is frozen keeps its neighbours waiting; with two hosts in a data
        # centre nothing is saved by it.
        places = make_fleet(4 * (RELAY_FROM - 1), 4)
        assert not any(h.passes_on for h in choose_hearers("h-000", places))

    def test_two_tellers_seldom_rely_on_one_relay(self):
        places = make_fleet(77, 4)
        relays = [
            {h.host for h in choose_hearers(teller, places) if h.passes_on}
            for teller in sorted(places)[:20]
        ]
        shared = sum(bool(relays[0] & other) for other in relays[1:])
        assert shared < 6

    def test_a_lone_host_tells_nobody(self):
        assert choose_hearers("h-000", {"h-000": "dc-0"}) == ()


class TestCost:
    @pytest.mark.parametrize(("n_hosts", "n_places"), [(77, 4), (550, 10)])
    def test_few_copies_cross_between_data_centres(self, n_hosts, n_places):
        places = make_fleet(n_hosts, n_places)
        crossing = [
            h for h in choose_hearers("h-000", places) if places[h.host] != "dc-0"
        ]
        assert len(crossing) == n_places - 1

    def test_a_teller_s_share_stays_within_the_budget_of_control(self):
        # 8 KB a second and host, for all of control together.
        places = make_fleet(550, 10)
        sent = len(choose_hearers("h-000", places)) * TELLS_A_SECOND * MESSAGE_BYTES
        assert sent < 5.2 * 1024
