"""Owners stand near the servers that they call."""

from lavendergap.coordination.placement import Placement

HOSTS = {
    "ptl-a-1": "ptl-a",
    "ptl-a-2": "ptl-a",
    "ptl-b-1": "ptl-b",
    "ptl-b-2": "ptl-b",
    "sea-a-1": "sea-a",
}
GROUPS = {f"g{n}": frozenset({"ptl-a", "ptl-b"}) for n in range(20)}


def place(own: str, hosts: dict[str, str] = HOSTS) -> Placement:
    placement = Placement(own_data_centre=own)
    placement.replace_hosts(hosts)
    placement.replace_servers(GROUPS)
    return placement


class TestNearness:
    def test_the_own_data_centre_comes_first_where_servers_stand_there(self):
        # Half of all callers' hosts stand beside a server of each group: their
        # queries need no byte between data centres.
        for own in ("ptl-a", "ptl-b"):
            owners = {place(own).rank(group)[0] for group in GROUPS}
            assert {HOSTS[owner] for owner in owners} == {own}
            assert len(owners) == 2

    def test_elsewhere_one_data_centre_of_the_servers_is_asked(self):
        placement = place("sea-a")
        owners = {placement.rank(group)[0] for group in GROUPS}
        assert len({HOSTS[owner] for owner in owners}) == 1
        assert {HOSTS[owner] for owner in owners} <= {"ptl-a", "ptl-b"}

    def test_hosts_of_one_data_centre_agree(self):
        first, second = place("ptl-a"), place("ptl-a")
        assert [first.rank(g) for g in GROUPS] == [second.rank(g) for g in GROUPS]


class TestFewOwners:
    def test_one_other_data_centre_serves_what_the_own_one_lacks(self):
        # Four data centres, each group in two that follow each other. From any of
        # them the groups without a server there have one in common: a query asks two
        # data centres, and not all four.
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
    def test_a_lost_owner_is_followed_by_its_neighbour(self):
        placement = place("ptl-a")
        before = {group: placement.rank(group) for group in GROUPS}
        rest = {name: at for name, at in HOSTS.items() if name != "ptl-a-1"}
        placement.replace_hosts(rest)
        for group, ranked in before.items():
            expected = [host for host in ranked if host != "ptl-a-1"][0]
            assert placement.rank(group)[0] == expected == "ptl-a-2"

    def test_a_lost_data_centre_leaves_the_other(self):
        rest = {name: at for name, at in HOSTS.items() if at != "ptl-a"}
        placement = place("ptl-a", rest)
        assert all(HOSTS[placement.rank(g)[0]] == "ptl-b" for g in GROUPS)

    def test_without_a_host_near_the_servers_anyone_owns(self):
        placement = place("sea-a", {"sea-a-1": "sea-a"})
        assert placement.rank("g1") == ("sea-a-1",)

    def test_a_group_without_servers_has_owners_all_the_same(self):
        assert place("ptl-a").rank("unknown")


class TestBuckets:
    NAMES = ("ptl-a", "ptl-b", "sea-a", "sea-b")
    HOSTS = {f"{name}-{n}": name for name in NAMES for n in range(19)}
    GROUPS = tuple(f"g{n:03}" for n in range(90))

    def place(self, own: str, lost: str = "") -> Placement:
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
        # 76 hosts and 90 shards with servers in three of four data centres. A weak
        # host takes 10 ms to send to 25 owners, and a quick query has 36.
        for own in self.NAMES:
            placement = self.place(own)
            owners = {placement.rank(group)[0] for group in self.GROUPS}
            assert len(owners) <= 8

    def test_hosts_everywhere_agree_on_the_owner_in_a_data_centre(self):
        first, second = self.place("ptl-a"), self.place("ptl-b")
        for group in self.GROUPS:
            mine = first.rank(group)[0]
            assert mine in second.rank(group) or self.HOSTS[mine] == "ptl-a"

    def test_a_lost_server_moves_its_own_group_only(self):
        before, after = self.place("ptl-a"), self.place("ptl-a", lost="g007")
        moved = [g for g in self.GROUPS if before.rank(g)[0] != after.rank(g)[0]]
        assert set(moved) <= {"g007"}
