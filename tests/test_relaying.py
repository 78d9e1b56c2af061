"""News of the store in fleets of several data centres: who tells whom, and how often.

The figures are those of a fleet of 77 hosts in four data centres, and of one of 550 in
ten, which is what is planned for.
"""

from random import Random

import pytest

from lavendergap.coordination.relaying import (
    MAX_DIRECT_BYTES,
    MAX_RELAYED_COMPRESSED_BYTES,
    MIN_HOSTS_FOR_RELAY,
    are_long,
    choose_receivers,
    leads_place,
    list_neighbours,
    may_cross,
    may_stay,
)
from lavendergap.state.feeds import FeedChange

MESSAGE_BYTES = 60
TELLS_A_SECOND = 2 / 1.5  # Two feeds, each watch told on.


def make_fleet(n_hosts: int, n_places: int) -> dict[str, str]:
    return {f"h-{n:03}": f"dc-{n % n_places}" for n in range(n_hosts)}


def collect_told(advertiser: str, places: dict[str, str]) -> list[str]:
    """Return every host that a message reaches, in all its steps."""
    told = []
    for receiver in choose_receivers(advertiser, places):
        told.append(receiver.host)
        if receiver.passes_on:
            told += list_neighbours(receiver.host, places)
    return told


class TestReach:
    @pytest.mark.parametrize(("n_hosts", "n_places"), [(7, 4), (77, 4), (550, 10)])
    def test_every_other_host_is_told_once(self, n_hosts, n_places):
        places = make_fleet(n_hosts, n_places)
        for advertiser in ("h-000", "h-003"):
            assert sorted(collect_told(advertiser, places)) == sorted(
                places.keys() - {advertiser}
            )

    def test_small_fleets_have_no_relays(self):
        # A relay that is frozen keeps its neighbours waiting; with two hosts in a data
        # centre nothing is saved by it.
        places = make_fleet(4 * (MIN_HOSTS_FOR_RELAY - 1), 4)
        assert not any(h.passes_on for h in choose_receivers("h-000", places))

    def test_two_tellers_seldom_rely_on_one_relay(self):
        places = make_fleet(77, 4)
        relays = [
            {h.host for h in choose_receivers(advertiser, places) if h.passes_on}
            for advertiser in sorted(places)[:20]
        ]
        shared = sum(bool(relays[0] & other) for other in relays[1:])
        assert shared < 6

    def test_a_lone_host_tells_nobody(self):
        assert choose_receivers("h-000", {"h-000": "dc-0"}) == ()


class TestCost:
    @pytest.mark.parametrize(("n_hosts", "n_places"), [(77, 4), (550, 10)])
    def test_few_copies_cross_between_data_centres(self, n_hosts, n_places):
        places = make_fleet(n_hosts, n_places)
        crossing = [
            h for h in choose_receivers("h-000", places) if places[h.host] != "dc-0"
        ]
        assert len(crossing) == n_places - 1

    def test_a_teller_s_share_stays_within_the_budget_of_control(self):
        # 8 KB a second and host, for all of control together.
        places = make_fleet(550, 10)
        sent = len(choose_receivers("h-000", places)) * TELLS_A_SECOND * MESSAGE_BYTES
        assert sent < 5.2 * 1024


class TestLongNews:
    # An operator changes one of some hundred routes. Sent to each host, the document
    # crosses between data centres 160 times; left to be read, it is 195 calls to the
    # store. Sent packed to a relay of each data centre it is neither.

    ROUTES = b",".join(b'{"name": "r%d", "timeout_ms": 400}' % n for n in range(3_000))

    def make(self, body: bytes | None) -> list[FeedChange]:
        return [FeedChange(name="main", body=body)]

    def test_relays_and_neighbours_get_a_document(self):
        assert len(self.ROUTES) > 100_000
        assert may_cross(self.make(self.ROUTES))
        assert may_stay(self.make(self.ROUTES))

    def test_everybody_gets_what_is_short(self):
        for body in (None, b"x" * MAX_DIRECT_BYTES):
            assert not are_long(self.make(body))
            assert may_cross(self.make(body))
            assert may_stay(self.make(body))

    @pytest.mark.parametrize(("n_hosts", "n_places"), [(9, 4), (195, 6), (550, 10)])
    def test_a_document_crosses_once_to_each_data_centre(self, n_hosts, n_places):
        places = make_fleet(n_hosts, n_places)
        assert are_long(self.make(self.ROUTES))
        receivers = choose_receivers("h-000", places, is_relayed=True)
        assert sum(not receiver.is_near for receiver in receivers) == n_places - 1
        told = [receiver.host for receiver in receivers]
        for receiver in receivers:
            if receiver.passes_on:
                told += list_neighbours(receiver.host, places)
        assert sorted(told) == sorted(places.keys() - {"h-000"})

    def test_what_does_not_pack_is_read_from_the_store(self):
        body = Random(1).randbytes(2 * MAX_RELAYED_COMPRESSED_BYTES)
        assert not may_cross(self.make(body))
        assert may_stay(self.make(body))


class TestLeaders:
    @pytest.mark.parametrize(("n_hosts", "n_places"), [(9, 4), (195, 6), (550, 10)])
    def test_one_host_of_each_data_centre_leads_it(self, n_hosts, n_places):
        places = make_fleet(n_hosts, n_places)
        leaders = [host for host in places if leads_place(host, places)]
        assert len({places[host] for host in leaders}) == len(leaders) == n_places
