"""The groups of backend servers in force: from the routes and from the registry."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ..state.registry import RegisteredServer
from ..state.routes import GreatestOfAll, OneOf, RouteTable
from ..state.settings import ExtraCalls, Group, Server, Service, WaitForCoverage
from .warmup import WarmupBound

# What a group's servers accept where no route's document says it.
DEFAULT_CONNECTIONS = 16
# Owners of one group at a time, beside one for each data centre of its servers: a
# host that takes over while another still finishes what it has.
N_SPARE_OWNERS = 1
# A queue longer than this is all refused by its deadline whatever the servers' speed.
QUEUE_LIMIT = 64
# A call is hedged once it takes longer than this share of the group's calls. Extra
# calls are allowed for a fifth of all and some more: twice as many stragglers as a
# server's pauses make (4 in 100) find a token.
HEDGE_QUANTILE = 0.85


@dataclass(frozen=True, kw_only=True, slots=True)
class ExtraCallBudget:
    """What the platform allows beyond the first call of each request, for a group.

    In each window of `window_s` seconds all hosts together may send `share` times
    the requests plus `slack` extra calls to one group.
    """

    share: float
    slack: float
    window_s: float

    def divide(self, n_owners: int) -> ExtraCalls:
        """Return one owner's part of the slack; the share counts its own requests.

        Half of the part may be spent at once and half comes with time, so that the
        two together stay within it in any window. Of each half, hedges get two
        thirds and retries one.
        """
        half = self.slack / n_owners / 2
        return ExtraCalls(
            hedge_burst=max(1.0, half * 2 / 3),
            retry_burst=max(1.0, half / 3),
            hedges_per_second=half * 2 / 3 / self.window_s,
            retries_per_second=half / 3 / self.window_s,
            counts_refusals=True,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Terms:
    """All that a group's service is made of: equal terms make equal services."""

    members: tuple[RegisteredServer, ...]
    budget: ExtraCallBudget
    n_owners: int
    n_connections: int
    cold_limit: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Catalog:
    """All groups with their servers, and the data centres of each shard's servers.

    `sets` are the shards that the queries of some route ask together, `named` all
    groups that `table` names. `terms` are what each service was made of, for the next
    catalog.
    """

    table: RouteTable
    named: frozenset[str]
    services: tuple[Service, ...]
    places: Mapping[str, frozenset[str]]
    sets: tuple[tuple[str, ...], ...]
    terms: Mapping[str, _Terms]


def build_catalog(
    *,
    table: RouteTable,
    servers: Iterable[RegisteredServer],
    budget: ExtraCallBudget,
    n_hosts: int,
    evacuated: Collection[str] = (),
    warmup: WarmupBound | None = None,
    before: Catalog | None = None,
) -> Catalog:
    """Return the groups that the routes name, or that have servers.

    Servers that leave, or stand in an evacuated data centre, are left out: they get
    nothing new. A group without servers stays, so that calls to it are refused with
    that as the reason.

    What has not changed since the catalog `before` is taken from it. A host that
    joins changes the few groups whose connections all hosts share, and a server one
    group; made anew each time, 131 groups took 2.4 ms for each of the 195 hosts that
    each of 195 hosts meets when they start together (`python -m lab.memberchanges`).
    """
    if before is not None and before.table is table:
        named, sets = before.named, before.sets
    else:
        named, sets = _list_groups(table), _list_sets(table)
    serving: dict[str, list[RegisteredServer]] = {group: [] for group in named}
    for server in servers:
        if not server.is_draining and server.data_centre not in evacuated:
            serving.setdefault(server.group, []).append(server)
    shards = {group for groups in sets for group in groups}
    made = {} if before is None else {each.name: each for each in before.services}
    services = []
    places = {}
    all_terms = {}
    for group, members in serving.items():
        data_centres = frozenset(member.data_centre for member in members)
        n_owners = n_hosts + N_SPARE_OWNERS
        if group in shards:
            n_owners = min(n_owners, len(data_centres) + N_SPARE_OWNERS)
            places[group] = data_centres
        connections = table.connections.get(group, DEFAULT_CONNECTIONS)
        terms = _Terms(
            members=tuple(sorted(members, key=lambda member: member.server_id)),
            budget=budget,
            n_owners=n_owners,
            n_connections=max(1, connections // n_owners),
            cold_limit=(
                warmup.divide(table.cold_rates[group])
                if warmup is not None and group in table.cold_rates
                else None
            ),
        )
        is_same = before is not None and before.terms.get(group) == terms
        services.append(made[group] if is_same else _make_service(group, terms))
        all_terms[group] = terms
    return Catalog(
        table=table,
        named=named,
        services=tuple(services),
        places=places,
        sets=sets,
        terms=all_terms,
    )


def _make_service(group: str, terms: _Terms) -> Service:
    budget = terms.budget
    servers = tuple(
        Server(
            name=member.server_id,
            address=member.address,
            data_centre=member.data_centre,
            slots=member.slots,
            connections=terms.n_connections,
            incarnation=member.started_at_ms,
            cold_limit=terms.cold_limit if member.is_cold else None,
        )
        for member in terms.members
    )
    return Service(
        name=group,
        idempotent=True,
        groups=(Group(name=group, servers=servers),),
        deadline_ms=0,
        stragglers=WaitForCoverage(),
        hedge_budget=budget.share * 2 / 3,
        hedge_after_quantile=HEDGE_QUANTILE,
        retry_budget=budget.share / 3,
        queue_limit=QUEUE_LIMIT,
        max_body_bytes=0,
        weight=1.0,
        extra=budget.divide(terms.n_owners),
    )


def _list_groups(table: RouteTable) -> frozenset[str]:
    groups: set[str] = set(table.connections)
    for route in table.routes:
        match route.target:
            case OneOf(groups=weighted):
                groups.update(each.group for each in weighted)
            case GreatestOfAll(groups=names):
                groups.update(names)
    return frozenset(groups)


def _list_sets(table: RouteTable) -> tuple[tuple[str, ...], ...]:
    found = {
        route.target.groups: None
        for route in table.routes
        if isinstance(route.target, GreatestOfAll)
    }
    return tuple(found)
