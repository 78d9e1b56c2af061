"""Owners are chosen near the servers that they call."""

import pytest
from xxhash import xxh3_64_intdigest

from lavendergap.coordination import placement as placements
from lavendergap.coordination.placement import Placement

HOSTS = {
    "ptl-a-1": "ptl-a",
    "ptl-a-2": "ptl-a",
    "ptl-b-1": "ptl-b",
    "ptl-b-2": "ptl-b",
    "sea-a-1": "sea-a",
}
GROUPS = {f"g{n}": frozenset({"ptl-a", "ptl-b"}) for n in range(20)}


def build_placement(own: str, hosts: dict[str, str] = HOSTS) -> Placement:
    placement = Placement(own_data_centre=own)
    placement.replace_hosts(hosts)
    placement.replace_servers(GROUPS)
    return placement


class TestNearness:
    def test_the_own_data_centre_is_first_if_it_has_servers(self):
        # Guards against traffic between data centres for groups that have a server in
        # the own one.
        for own in ("ptl-a", "ptl-b"):
            owners = {build_placement(own).rank(group)[0] for group in GROUPS}
            assert {HOSTS[owner] for owner in owners} == {own}
            assert len(owners) == 2

    def test_without_local_servers_one_data_centre_is_asked(self):
        placement = build_placement("sea-a")
        owners = {placement.rank(group)[0] for group in GROUPS}
        assert len({HOSTS[owner] for owner in owners}) == 1
        assert {HOSTS[owner] for owner in owners} <= {"ptl-a", "ptl-b"}

    def test_hosts_of_one_data_centre_agree(self):
        first, second = build_placement("ptl-a"), build_placement("ptl-a")
        assert [first.rank(g) for g in GROUPS] == [second.rank(g) for g in GROUPS]


class TestFewOwners:
    def test_one_other_data_centre_serves_all_remaining_groups(self):
        # Each group has servers in two of four data centres. Groups without a server in
        # the own one all have servers in one other, which must be asked alone.
        names = ["ptl-a", "ptl-b", "sea-a", "sea-b"]
        hosts = {f"{name}-1": name for name in names}
        for own in names:
            placement = Placement(own_data_centre=own)
            placement.replace_hosts(hosts)
            placement.replace_servers(
                {
                    f"g{n}": frozenset({names[n % 4], names[(n + 1) % 4]})
                    for n in range(20)
                }
            )
            owners = {placement.rank(f"g{n}")[0] for n in range(20)}
            assert len(owners) == 2
            assert f"{own}-1" in owners


class TestLoss:
    def test_a_lost_owner_is_replaced_in_its_data_centre(self):
        placement = build_placement("ptl-a")
        before = {group: placement.rank(group) for group in GROUPS}
        rest = {name: at for name, at in HOSTS.items() if name != "ptl-a-1"}
        placement.replace_hosts(rest)
        for group, ranked in before.items():
            expected = [host for host in ranked if host != "ptl-a-1"][0]
            assert placement.rank(group)[0] == expected == "ptl-a-2"

    def test_a_lost_data_centre_is_replaced_by_the_other(self):
        rest = {name: at for name, at in HOSTS.items() if at != "ptl-a"}
        placement = build_placement("ptl-a", rest)
        assert all(HOSTS[placement.rank(g)[0]] == "ptl-b" for g in GROUPS)

    def test_without_a_host_near_the_servers_any_host_owns(self):
        placement = build_placement("sea-a", {"sea-a-1": "sea-a"})
        assert placement.rank("g1") == ("sea-a-1",)

    def test_a_group_without_servers_has_owners(self):
        assert build_placement("ptl-a").rank("unknown")


class TestBuckets:
    NAMES = ("ptl-a", "ptl-b", "sea-a", "sea-b")
    HOSTS = {f"{name}-{n}": name for name in NAMES for n in range(19)}
    GROUPS = tuple(f"g{n:03}" for n in range(90))

    def build_placement(self, own: str, lost: str = "") -> Placement:
        servers = {
            group: frozenset(set(self.NAMES) - {self.NAMES[n % 4]})
            for n, group in enumerate(self.GROUPS)
        }
        if lost:
            servers[lost] = frozenset(list(servers[lost])[:2])
        placement = Placement(own_data_centre=own)
        placement.replace_hosts(self.HOSTS)
        placement.replace_servers(servers, [self.GROUPS])
        return placement

    def test_a_query_over_many_shards_asks_few_hosts(self):
        # Guards against queries over many shards that are sent to many owners.
        for own in self.NAMES:
            placement = self.build_placement(own)
            owners = {placement.rank(group)[0] for group in self.GROUPS}
            assert len(owners) <= 8

    @pytest.mark.parametrize(
        ("capacities", "n_shards", "n_buckets"),
        [
            ({}, 90, 2),
            ({"ptl-a-0": 3}, 90, 2),  # The others are not known.
            (dict.fromkeys(HOSTS, 4), 90, 2),
            (dict.fromkeys(HOSTS, 17), 135, 4),
            (dict.fromkeys(HOSTS, 3), 90, 3),
            (dict.fromkeys(HOSTS, 3) | {"ptl-a-0": 17}, 135, 5),
            (dict.fromkeys(HOSTS, 1), 90, 11),
        ],
    )
    def test_weak_hosts_get_smaller_buckets(self, capacities, n_shards, n_buckets):
        # Guards against a host of a third of a core that makes 45 calls of one query.
        placement = Placement(own_data_centre="ptl-a")
        groups = tuple(f"g{n:03}" for n in range(n_shards))
        placement.replace_servers(dict.fromkeys(groups, frozenset({"ptl-a"})), [groups])
        placement.replace_hosts(self.HOSTS, capacities)
        # Rankings of 19 hosts: two buckets rarely have the same first four.
        assert len({placement.rank(group) for group in groups}) == n_buckets

    def test_hosts_agree_on_the_owner_in_each_data_centre(self):
        first, second = self.build_placement("ptl-a"), self.build_placement("ptl-b")
        for group in self.GROUPS:
            owner = first.rank(group)[0]
            assert owner in second.rank(group) or self.HOSTS[owner] == "ptl-a"

    def test_a_lost_server_moves_only_its_group(self):
        before, after = (
            self.build_placement("ptl-a"),
            self.build_placement("ptl-a", lost="g007"),
        )
        moved = [g for g in self.GROUPS if before.rank(g)[0] != after.rank(g)[0]]
        assert set(moved) <= {"g007"}


class TestManyRoutes:
    GROUPS = tuple(f"g{n:03}" for n in range(300))

    def test_a_changed_server_costs_one_hash_for_each_group(self, monkeypatch):
        # Guards against a host that stalls with each change of a server because many
        # routes name the same groups.
        n_hashes = 0

        def count(text: bytes) -> int:
            nonlocal n_hashes
            n_hashes += 1
            return xxh3_64_intdigest(text)

        monkeypatch.setattr(placements, "xxh3_64_intdigest", count)
        sets = [(*self.GROUPS[n:], *self.GROUPS[:n]) for n in range(200)]
        placement = build_placement("ptl-a")
        placement.replace_servers(dict.fromkeys(self.GROUPS, frozenset()), sets)
        assert n_hashes <= len(self.GROUPS)

    def test_rankings_of_unused_keys_are_dropped(self):
        # Guards against memory, and hashes for each host that joins, which grow with
        # each change of the data centres that serve a group.
        placement = build_placement("ptl-a")
        for n in range(20):
            sets = [tuple(f"{n}-{group}" for group in self.GROUPS)]
            placement.replace_servers(dict.fromkeys(sets[0], frozenset()), ())
            for group in sets[0]:
                placement.rank(group)
        assert len(placement._all_hosts._ranked) <= 1_024 + 2 * len(self.GROUPS)
