"""Groups from routes and registry, and how the budget of extra calls is divided."""

from dataclasses import replace
from random import Random

from lavendergap.coordination.budget import Budget
from lavendergap.coordination.catalog import Catalog, ExtraCallBudget, build_catalog
from lavendergap.state.registry import RegisteredServer
from lavendergap.state.routes import (
    GreatestOfAll,
    OneOf,
    Route,
    RouteTable,
    WeightedGroup,
)
from lavendergap.state.settings import Address

BUDGET = ExtraCallBudget(share=0.2, slack=54.0, window_s=10.0)


def make_route(target, name: str = "r1") -> Route:
    return Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        target=target,
        idempotent=True,
        max_attempts=2,
        timeout_ms=400,
        goal_ms=90,
        priority=1,
    )


def make_server(name: str, group: str, data_centre: str, *, is_draining=False):
    return RegisteredServer(
        server_id=name,
        group=group,
        address=Address(ip="127.0.0.1", port=9_000),
        data_centre=data_centre,
        slots=2,
        is_draining=is_draining,
    )


def build(*servers: RegisteredServer, n_hosts: int = 7, evacuated=()):
    table = RouteTable(
        version=3,
        routes=(
            make_route(GreatestOfAll(groups=("s1", "s2"), n_records=5, min_share=0.5)),
            make_route(
                OneOf(groups=(WeightedGroup(group="one", weight=1.0),)), name="r2"
            ),
        ),
        connections={"s1": 26, "s2": 26, "one": 100},
    )
    catalog = build_catalog(
        table=table,
        servers=servers,
        budget=BUDGET,
        n_hosts=n_hosts,
        evacuated=evacuated,
    )
    return {service.name: service for service in catalog.services}, catalog.places


class TestGroups:
    def test_a_draining_server_is_left_out(self):
        services, _ = build(
            make_server("i1", "s1", "ptl-a"),
            make_server("i2", "s1", "ptl-b", is_draining=True),
        )
        [group] = services["s1"].groups
        assert [server.name for server in group.servers] == ["i1"]

    def test_an_evacuated_data_centre_has_neither_servers_nor_owners(self):
        """Guards against owners that stay beside servers which get nothing."""
        services, places = build(
            make_server("i1", "s1", "ptl-a"),
            make_server("i2", "s1", "ptl-b"),
            make_server("i3", "s2", "ptl-a"),
            evacuated={"ptl-a"},
        )
        assert [each.name for each in services["s1"].groups[0].servers] == ["i2"]
        assert services["s2"].groups[0].servers == ()
        assert places == {"s1": {"ptl-b"}, "s2": frozenset()}

    def test_a_group_without_servers_is_there_to_be_refused(self):
        services, _ = build()
        assert services["s2"].groups[0].servers == ()

    def test_the_order_of_the_registry_changes_nothing(self):
        one, two = make_server("i1", "s1", "ptl-a"), make_server("i2", "s1", "ptl-b")
        assert build(one, two) == build(two, one)


class TestSharing:
    def test_owners_share_the_connections_of_a_shard(self):
        # Servers in two data centres have an owner in each, and one more while a
        # group moves: together they stay within what a server accepts.
        services, places = build(
            make_server("i1", "s1", "ptl-a"), make_server("i2", "s1", "ptl-b")
        )
        assert places["s1"] == {"ptl-a", "ptl-b"}
        assert 3 * services["s1"].groups[0].servers[0].connections <= 26

    def test_all_hosts_share_those_of_a_group_that_each_may_call(self):
        services, _ = build(make_server("i1", "one", "ptl-a"))
        assert 8 * services["one"].groups[0].servers[0].connections <= 100

    def test_extra_calls_of_all_owners_stay_within_the_budget(self):
        # Every call fails or is slow, so each owner spends all that it may, for a
        # minute at 22 calls a second to one shard (45 queries a second that go to
        # one of two sets of shards). In no window of 10 s do the owners together
        # send more than a fifth of the requests and the slack.
        services, _ = build(
            make_server("i1", "s1", "ptl-a"), make_server("i2", "s1", "ptl-b")
        )
        service = services["s1"]
        owners = [
            [
                Budget(
                    share=service.hedge_budget,
                    burst=service.extra.hedge_burst,
                    per_second=service.extra.hedges_per_second,
                ),
                Budget(
                    share=service.retry_budget,
                    burst=service.extra.retry_burst,
                    per_second=service.extra.retries_per_second,
                ),
            ]
            for _ in range(3)
        ]
        random = Random(1)
        times, extra = [], []
        for n in range(22 * 60):
            now = n / 22
            times.append(now)
            owner = random.choice(owners)
            for budget in owner:
                budget.earn()
            for budgets in owners:
                extra += [now for budget in budgets if budget.spend(now=now)]
        for start in range(50):
            n_extra = sum(start <= at < start + 10 for at in extra)
            n_calls = sum(start <= at < start + 10 for at in times)
            assert n_extra <= BUDGET.share * n_calls + BUDGET.slack


class TestNextCatalog:
    # Hosts and servers come and go one by one, and a host has hundreds of groups. What
    # a change does not touch must be the very object that it was: then neither it nor
    # the group's runner is looked at again.

    SERVERS = tuple(
        make_server(f"{group}-{place}", group, f"ptl-{place}")
        for group in ("s1", "s2", "one")
        for place in "ab"
    )
    TABLE = RouteTable(
        version=3,
        routes=(
            make_route(GreatestOfAll(groups=("s1", "s2"), n_records=5, min_share=0.5)),
        ),
        connections={"s1": 26, "s2": 26, "one": 100},
    )

    def build(self, *, table=TABLE, servers=SERVERS, n_hosts=9, before=None):
        return build_catalog(
            table=table,
            servers=servers,
            budget=BUDGET,
            n_hosts=n_hosts,
            before=before,
        )

    def list_kept(self, before: Catalog, after: Catalog) -> set[str]:
        found = {service.name: service for service in before.services}
        return {each.name for each in after.services if each is found.get(each.name)}

    def test_a_host_more_changes_only_what_all_hosts_share(self):
        before = self.build()
        after = self.build(n_hosts=10, before=before)
        assert self.list_kept(before, after) == {"s1", "s2"}
        assert after == self.build(n_hosts=10)

    def test_a_server_that_leaves_changes_its_group_alone(self):
        before = self.build()
        after = self.build(servers=self.SERVERS[1:], before=before)
        assert self.list_kept(before, after) == {"s2", "one"}
        assert after == self.build(servers=self.SERVERS[1:])

    def test_groups_on_whose_terms_new_routes_agree_are_kept(self):
        before = self.build()
        connections = {**self.TABLE.connections, "s1": 13}
        table = replace(self.TABLE, version=4, connections=connections)
        after = self.build(table=table, before=before)
        assert self.list_kept(before, after) == {"s2", "one"}
        assert after == self.build(table=table)
