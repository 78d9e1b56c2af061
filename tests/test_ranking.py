"""Ownership by rendezvous hashing, and which hosts watch the platform."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendergap.coordination.ranking import (
    RANKING_DEPTH,
    Ranking,
    rank_hosts,
    rank_owner,
    select_weights,
)
from lavendergap.coordination.watchers import (
    MAX_READS_PER_S,
    bound_platform_load,
    choose_watch_holders,
    compute_read_interval,
    draw_read_delay,
)
from lavendergap.state.member import Member, MemberState
from lavendergap.state.settings import Address

HOSTS = [f"ptl-a-{number}" for number in range(1, 8)]
KEYS = [f"scheduler-{number:02}" for number in range(200)]
EXPECTED_ORDER = ["ptl-a-2", "ptl-a-3", "ptl-a-1"]
STEADY = settings(derandomize=True, deadline=None, max_examples=100)


class TestRankHosts:
    def test_the_order_of_the_hosts_does_not_matter(self):
        for key in KEYS:
            assert rank_hosts(key, HOSTS) == rank_hosts(key, reversed(HOSTS))

    def test_the_hash_does_not_change(self):
        # Guards against a changed hash: hosts of two releases must agree on owners.
        assert rank_hosts("scheduler-00", HOSTS[:3]) == EXPECTED_ORDER

    def test_only_the_keys_of_a_lost_host_move_to_the_next(self):
        for key in KEYS:
            ranked = rank_hosts(key, HOSTS)
            remaining = [host for host in HOSTS if host != ranked[0]]
            assert rank_owner(key, remaining) == ranked[1]

    def test_keys_are_spread_evenly(self):
        owners = [rank_owner(f"key-{n}", HOSTS) for n in range(7_000)]
        counts = [owners.count(host) for host in HOSTS]
        assert min(counts) > 850
        assert max(counts) < 1_150

    def test_a_key_has_no_owner_without_hosts(self):
        assert rank_owner("scheduler-00", []) is None
        assert Ranking(hosts=frozenset()).rank("scheduler-00") == ()


class TestRanking:
    @STEADY
    @given(
        sets=st.lists(
            st.dictionaries(st.sampled_from(HOSTS), st.sampled_from([3, 3, 3, 17])),
            min_size=1,
            max_size=8,
        )
    )
    def test_changes_carried_over_give_what_a_fresh_ranking_gives(self, sets):
        ranking = Ranking(hosts=frozenset(HOSTS))
        for weights in sets:
            hosts = frozenset(weights)
            for key in KEYS[:20]:
                ranking.rank(key)
            ranking = ranking.replace_hosts(hosts, weights)
            for key in KEYS[:20]:
                known = select_weights(hosts, weights)
                expected = tuple(rank_hosts(key, hosts, known)[:RANKING_DEPTH])
                kept = ranking.rank(key)
                assert kept == expected[: len(kept)]
                assert len(kept) >= min(2, len(hosts))

    def test_an_earlier_ranking_stays_as_it_was(self):
        # Guards against owners that change during a query, which keeps the ranking it
        # started with.
        ranking = Ranking(hosts=frozenset(HOSTS))
        before = ranking.rank(KEYS[0])
        ranking.replace_hosts(frozenset(HOSTS) - {before[0]})
        assert ranking.rank(KEYS[0]) == before

    def test_the_same_hosts_keep_the_ranking(self):
        ranking = Ranking(hosts=frozenset(HOSTS))
        assert ranking.replace_hosts(frozenset(HOSTS)) is ranking


class TestWeights:
    def test_each_host_owns_keys_in_proportion_to_its_weight(self):
        weights = dict(zip(HOSTS, (1, 1, 2, 3, 3, 6, 17), strict=True))
        ranking = Ranking(hosts=frozenset(HOSTS), weights=weights)
        owners = [ranking.rank(f"key-{n}")[0] for n in range(33_000)]
        for host, weight in weights.items():
            assert abs(owners.count(host) / 1_000 - weight) < 0.2 + 0.03 * weight

    @pytest.mark.parametrize("weights", [dict.fromkeys(HOSTS, 3), {HOSTS[0]: 17}, {}])
    def test_equal_or_unknown_weights_change_no_owner(self, weights):
        # Guards against owners that move in fleets of like hosts, or with each host
        # that is upgraded to a release that states its weight.
        plain = Ranking(hosts=frozenset(HOSTS))
        weighted = Ranking(hosts=frozenset(HOSTS), weights=weights)
        for key in KEYS:
            assert weighted.rank(key) == plain.rank(key)

    def test_only_the_keys_of_a_lost_host_move_to_the_next(self):
        weights = {host: 3 + 14 * (n % 3 == 0) for n, host in enumerate(HOSTS)}
        for key in KEYS:
            ranked = rank_hosts(key, HOSTS, weights)
            assert rank_hosts(key, ranked[1:], weights) == ranked[1:]


def build_members(n_hosts: int, n_data_centres: int) -> list[Member]:
    return [
        Member(
            name=f"host-{number}",
            data_centre=f"dc-{number % n_data_centres}",
            peers=Address(ip="10.0.0.1", port=number + 1),
            incarnation=1,
        )
        for number in range(n_hosts)
    ]


class TestWatchHolders:
    @pytest.mark.parametrize(
        ("n_hosts", "n_expected"), [(1, 1), (2, 2), (7, 2), (550, 2)]
    )
    def test_a_constant_number_of_holders_in_different_data_centres(
        self, n_hosts, n_expected
    ):
        members = build_members(n_hosts, 10)
        holders = choose_watch_holders(members, 2)
        assert len(holders) == n_expected
        centres = {m.data_centre for m in members if m.name in holders}
        assert len(centres) == n_expected

    def test_the_loss_of_any_data_centre_leaves_a_watch(self):
        for n_hosts in range(4, 60):
            members = build_members(n_hosts, 2)
            holders = choose_watch_holders(members, 2)
            assert len({m.data_centre for m in members if m.name in holders}) == 2

    def test_one_data_centre_has_two_holders(self):
        assert len(choose_watch_holders(build_members(7, 1), 2)) == 2

    def test_the_next_takes_over_and_the_other_holder_stays(self):
        # Guards against a second change of holders, in which changes could be missed.
        members = build_members(70, 7)
        first, second = choose_watch_holders(members, 2)
        remaining = [m for m in members if m.name != second]
        assert choose_watch_holders(remaining, 2)[0] == first

    @pytest.mark.parametrize("state", [MemberState.LEAVING, MemberState.DEAD])
    def test_leaving_and_dead_hosts_hold_no_watch(self, state):
        members = build_members(7, 7)
        first = choose_watch_holders(members, 2)[0]
        gone = [
            Member(
                name=m.name,
                data_centre=m.data_centre,
                peers=m.peers,
                incarnation=1,
                state=state,
            )
            if m.name == first
            else m
            for m in members
        ]
        assert first not in choose_watch_holders(gone, 2)


class TestPlatformLoad:
    @pytest.mark.parametrize("n_hosts", [7, 25, 50, 100, 200, 550, 5_000])
    def test_reads_are_bounded_for_any_number_of_hosts(self, n_hosts):
        random = Random(1)
        delays = [draw_read_delay(n_hosts, random) for _ in range(20_000)]
        mean = sum(delays) / len(delays)
        assert n_hosts / mean <= MAX_READS_PER_S * 1.02
        assert min(delays) >= compute_read_interval(n_hosts) / 2

    def test_at_550_hosts_and_3300_changes_a_day(self):
        # Guards against a load on the platform that grows with the number of hosts.
        load = bound_platform_load(
            n_hosts=550, n_holders=2, changes_per_s=3_300 / 86_400
        )
        assert load.waiting == 4
        assert load.calls_per_s < 1.3
