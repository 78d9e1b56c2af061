"""Receivers of announcements among hosts of several data centres, and their number."""

from random import Random

import pytest

from lavendergap.coordination.relaying import (
    MAX_DIRECT_BYTES,
    MAX_RELAYED_COMPRESSED_BYTES,
    MIN_HOSTS_FOR_RELAY,
    choose_receivers,
    exceed_direct_limit,
    fit_local_announcement,
    fit_remote_announcement,
    leads_data_centre,
    list_neighbours,
)
from lavendergap.state.feeds import FeedChange

MESSAGE_BYTES = 60
ANNOUNCEMENTS_PER_S = 2 / 1.5  # Two feeds, each announced after its watch.


def make_data_centres(n_hosts: int, n_data_centres: int) -> dict[str, str]:
    return {f"h-{n:03}": f"dc-{n % n_data_centres}" for n in range(n_hosts)}


def collect_receivers(sender: str, data_centres: dict[str, str]) -> list[str]:
    """Return every host that a message reaches, in all its steps."""
    reached = []
    for receiver in choose_receivers(sender, data_centres):
        reached.append(receiver.host)
        if receiver.should_relay:
            reached += list_neighbours(receiver.host, data_centres)
    return reached


class TestReach:
    @pytest.mark.parametrize(
        ("n_hosts", "n_data_centres"), [(7, 4), (77, 4), (550, 10)]
    )
    def test_every_other_host_is_reached_once(self, n_hosts, n_data_centres):
        data_centres = make_data_centres(n_hosts, n_data_centres)
        for sender in ("h-000", "h-003"):
            assert sorted(collect_receivers(sender, data_centres)) == sorted(
                data_centres.keys() - {sender}
            )

    def test_data_centres_with_few_hosts_have_no_relays(self):
        # With few hosts in a data centre, a relay saves too little for the risk that it
        # is frozen.
        data_centres = make_data_centres(4 * (MIN_HOSTS_FOR_RELAY - 1), 4)
        assert not any(h.should_relay for h in choose_receivers("h-000", data_centres))

    def test_senders_seldom_share_a_relay(self):
        data_centres = make_data_centres(77, 4)
        relays = [
            {h.host for h in choose_receivers(sender, data_centres) if h.should_relay}
            for sender in sorted(data_centres)[:20]
        ]
        shared = sum(bool(relays[0] & other) for other in relays[1:])
        assert shared < 6

    def test_a_single_host_has_no_receivers(self):
        assert choose_receivers("h-000", {"h-000": "dc-0"}) == ()


class TestCost:
    @pytest.mark.parametrize(("n_hosts", "n_data_centres"), [(77, 4), (550, 10)])
    def test_each_other_data_centre_is_sent_one_copy(self, n_hosts, n_data_centres):
        data_centres = make_data_centres(n_hosts, n_data_centres)
        remote = [
            h
            for h in choose_receivers("h-000", data_centres)
            if data_centres[h.host] != "dc-0"
        ]
        assert len(remote) == n_data_centres - 1

    def test_the_traffic_of_a_sender_is_within_the_budget(self):
        # The budget of 8 KB a second and host is for all control messages together.
        data_centres = make_data_centres(550, 10)
        sent = (
            len(choose_receivers("h-000", data_centres))
            * ANNOUNCEMENTS_PER_S
            * MESSAGE_BYTES
        )
        assert sent < 5.2 * 1024


class TestLargeChanges:
    # Guards against a large document that is sent once for each host between data
    # centres, or read by every host from the store.

    ROUTES = b",".join(b'{"name": "r%d", "timeout_ms": 400}' % n for n in range(3_000))

    def make(self, body: bytes | None) -> list[FeedChange]:
        return [FeedChange(name="main", body=body)]

    def test_a_large_document_is_announced_with_its_content(self):
        assert len(self.ROUTES) > 100_000
        assert fit_remote_announcement(self.make(self.ROUTES))
        assert fit_local_announcement(self.make(self.ROUTES))

    def test_small_changes_are_sent_to_all_hosts(self):
        for body in (None, b"x" * MAX_DIRECT_BYTES):
            assert not exceed_direct_limit(self.make(body))
            assert fit_remote_announcement(self.make(body))
            assert fit_local_announcement(self.make(body))

    @pytest.mark.parametrize(
        ("n_hosts", "n_data_centres"), [(9, 4), (195, 6), (550, 10)]
    )
    def test_a_large_document_is_sent_once_to_each_data_centre(
        self, n_hosts, n_data_centres
    ):
        data_centres = make_data_centres(n_hosts, n_data_centres)
        assert exceed_direct_limit(self.make(self.ROUTES))
        receivers = choose_receivers("h-000", data_centres, is_relayed=True)
        assert sum(not receiver.is_near for receiver in receivers) == n_data_centres - 1
        reached = [receiver.host for receiver in receivers]
        for receiver in receivers:
            if receiver.should_relay:
                reached += list_neighbours(receiver.host, data_centres)
        assert sorted(reached) == sorted(data_centres.keys() - {"h-000"})

    def test_an_incompressible_document_is_read_from_the_store(self):
        body = Random(1).randbytes(2 * MAX_RELAYED_COMPRESSED_BYTES)
        assert not fit_remote_announcement(self.make(body))
        assert fit_local_announcement(self.make(body))


class TestDataCentreWatchers:
    @pytest.mark.parametrize(
        ("n_hosts", "n_data_centres"), [(9, 4), (195, 6), (550, 10)]
    )
    def test_one_host_watches_for_each_data_centre(self, n_hosts, n_data_centres):
        data_centres = make_data_centres(n_hosts, n_data_centres)
        watchers = [
            host for host in data_centres if leads_data_centre(host, data_centres)
        ]
        assert (
            len({data_centres[host] for host in watchers})
            == len(watchers)
            == n_data_centres
        )
