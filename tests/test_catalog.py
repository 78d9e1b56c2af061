"""Groups from routes and registry, and the division of the extra call budget."""

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
    return {
        service.name: service for service in catalog.services
    }, catalog.shard_data_centres


class TestGroups:
    def test_a_draining_server_is_left_out(self):
        services, _ = build(
            make_server("i1", "s1", "ptl-a"),
            make_server("i2", "s1", "ptl-b", is_draining=True),
        )
        [group] = services["s1"].groups
        assert [server.name for server in group.servers] == ["i1"]

    def test_an_evacuated_data_centre_has_neither_servers_nor_owners(self):
        """Guards against owners in a data centre whose servers get no calls."""
        services, data_centres = build(
            make_server("i1", "s1", "ptl-a"),
            make_server("i2", "s1", "ptl-b"),
            make_server("i3", "s2", "ptl-a"),
            evacuated={"ptl-a"},
        )
        assert [each.name for each in services["s1"].groups[0].servers] == ["i2"]
        assert services["s2"].groups[0].servers == ()
        assert data_centres == {"s1": {"ptl-b"}, "s2": frozenset()}

    def test_a_group_without_servers_is_kept(self):
        services, _ = build()
        assert services["s2"].groups[0].servers == ()

    def test_the_order_of_the_registry_does_not_matter(self):
        one, two = make_server("i1", "s1", "ptl-a"), make_server("i2", "s1", "ptl-b")
        assert build(one, two) == build(two, one)


class TestSharing:
    def test_owners_share_the_connections_of_a_shard(self):
        # Servers in two data centres have an owner in each, and a third while a group
        # moves: together they must not exceed the connections that a server accepts.
        services, data_centres = build(
            make_server("i1", "s1", "ptl-a"), make_server("i2", "s1", "ptl-b")
        )
        assert data_centres["s1"] == {"ptl-a", "ptl-b"}
        assert 3 * services["s1"].groups[0].servers[0].connections <= 26

    def test_all_hosts_share_the_connections_of_a_group_that_each_may_call(self):
        services, _ = build(make_server("i1", "one", "ptl-a"))
        assert 8 * services["one"].groups[0].servers[0].connections <= 100

    def test_extra_calls_of_all_owners_stay_within_the_budget(self):
        # Every call fails or is slow, so that each owner spends its whole budget. In no
        # window may the owners together exceed the share of the requests plus the
        # slack.
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
        call_times, extra_times = [], []
        for n in range(22 * 60):
            now = n / 22
            call_times.append(now)
            owner = random.choice(owners)
            for budget in owner:
                budget.record_call()
            for budgets in owners:
                extra_times += [now for budget in budgets if budget.try_spend(now=now)]
        for start in range(50):
            n_extra = sum(start <= at < start + 10 for at in extra_times)
            n_calls = sum(start <= at < start + 10 for at in call_times)
            assert n_extra <= BUDGET.share * n_calls + BUDGET.slack


class TestNextCatalog:
    # What a change of a host or server does not affect must stay the same object, so
    # that neither it nor the runner of its group is rebuilt.

    SERVERS = tuple(
        make_server(f"{group}-{letter}", group, f"ptl-{letter}")
        for group in ("s1", "s2", "one")
        for letter in "ab"
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
            previous=before,
        )

    def list_unchanged(self, before: Catalog, after: Catalog) -> set[str]:
        before_by_name = {service.name: service for service in before.services}
        return {
            each.name
            for each in after.services
            if each is before_by_name.get(each.name)
        }

    def test_another_host_changes_only_groups_that_all_hosts_share(self):
        before = self.build()
        after = self.build(n_hosts=10, before=before)
        assert self.list_unchanged(before, after) == {"s1", "s2"}
        assert after == self.build(n_hosts=10)

    def test_a_server_that_leaves_changes_only_its_group(self):
        before = self.build()
        after = self.build(servers=self.SERVERS[1:], before=before)
        assert self.list_unchanged(before, after) == {"s2", "one"}
        assert after == self.build(servers=self.SERVERS[1:])

    def test_groups_with_equal_inputs_in_new_routes_are_kept(self):
        before = self.build()
        connections = {**self.TABLE.connections, "s1": 13}
        table = replace(self.TABLE, version=4, connections=connections)
        after = self.build(table=table, before=before)
        assert self.list_unchanged(before, after) == {"s2", "one"}
        assert after == self.build(table=table)
