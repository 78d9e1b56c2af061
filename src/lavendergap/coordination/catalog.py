"""The groups of backend servers in force, built from the routes and the registry."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ..state.registry import RegisteredServer
from ..state.routes import GreatestOfAll, OneOf, RouteTable
from ..state.settings import ExtraCalls, Group, Server, Service, WaitForCoverage
from .warmup import WarmupBound

# Connections that each server of a group accepts if the routes set no number.
DEFAULT_CONNECTIONS = 16
# Added to the number of a group's owners: a host that takes over while the previous
# owner finishes its calls.
N_SPARE_OWNERS = 1
# More than a burst of all callers at one host. Admission refuses calls that would miss
# their deadline; this limit holds while service times are not known.
QUEUE_LIMIT = 256
# A call is hedged once it takes longer than this quantile of the group's calls. It
# leaves enough of the extra calls for the stragglers that pauses of servers cause,
# about 4 calls in 100.
HEDGE_QUANTILE = 0.85


@dataclass(frozen=True, kw_only=True, slots=True)
class ExtraCallBudget:
    """How many calls beyond the first of each request the platform allows for a group.

    In each window of `window_s` seconds all hosts together may send `share` times the
    requests plus `slack` extra calls to one group.
    """

    share: float
    slack: float
    window_s: float

    def divide(self, n_owners: int) -> ExtraCalls:
        """Return one owner's part of the slack; the share applies to its own requests.

        Half of the part is a burst that may be spent at once, and half is refilled over
        the window, so that both together stay within the part in any window. Of each
        half, hedges get two thirds and retries one. A burst is at least one call, even
        if that exceeds a small part.
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
class _ServiceInputs:
    """All inputs of a group's service: equal inputs give equal services."""

    members: tuple[RegisteredServer, ...]
    budget: ExtraCallBudget
    n_owners: int
    n_connections: int
    cold_limit: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Catalog:
    """All groups with their servers, and the data centres of each shard's servers.

    `shard_sets` are the shards that the queries of a route ask together, `named_groups`
    all groups that `table` names. `service_inputs` holds the inputs of each service, to
    compare with those of the next catalog.
    """

    table: RouteTable
    named_groups: frozenset[str]
    services: tuple[Service, ...]
    shard_data_centres: Mapping[str, frozenset[str]]
    shard_sets: tuple[tuple[str, ...], ...]
    service_inputs: Mapping[str, _ServiceInputs]


def build_catalog(
    *,
    table: RouteTable,
    servers: Iterable[RegisteredServer],
    budget: ExtraCallBudget,
    n_hosts: int,
    evacuated: Collection[str] = (),
    warmup: WarmupBound | None = None,
    previous: Catalog | None = None,
) -> Catalog:
    """Return the groups that the routes name, or that have servers.

    Servers that are draining, or in an evacuated data centre, are omitted and get no
    new calls. A group without servers stays, so that calls to it are refused with that
    as the reason.

    Services whose inputs are equal in the `previous` catalog are taken from it. A
    change of the hosts or of one server affects few groups, and building all of them
    for each host that joins would be slow when all hosts start together: 131 groups
    took 2.4 ms for each of 195 hosts.
    """
    if previous is not None and previous.table is table:
        named_groups, shard_sets = previous.named_groups, previous.shard_sets
    else:
        named_groups, shard_sets = _list_groups(table), _list_shard_sets(table)
    serving: dict[str, list[RegisteredServer]] = {group: [] for group in named_groups}
    for server in servers:
        if not server.is_draining and server.data_centre not in evacuated:
            serving.setdefault(server.group, []).append(server)
    shards = {group for groups in shard_sets for group in groups}
    previous_services = (
        {} if previous is None else {each.name: each for each in previous.services}
    )
    services = []
    shard_data_centres = {}
    all_inputs = {}
    for group, members in serving.items():
        data_centres = frozenset(member.data_centre for member in members)
        n_owners = n_hosts + N_SPARE_OWNERS
        if group in shards:
            n_owners = min(n_owners, len(data_centres) + N_SPARE_OWNERS)
            shard_data_centres[group] = data_centres
        connections = table.connections.get(group, DEFAULT_CONNECTIONS)
        service_inputs = _ServiceInputs(
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
        is_same = (
            previous is not None
            and previous.service_inputs.get(group) == service_inputs
        )
        services.append(
            previous_services[group]
            if is_same
            else _make_service(group, service_inputs)
        )
        all_inputs[group] = service_inputs
    return Catalog(
        table=table,
        named_groups=named_groups,
        services=tuple(services),
        shard_data_centres=shard_data_centres,
        shard_sets=shard_sets,
        service_inputs=all_inputs,
    )


def _make_service(group: str, service_inputs: _ServiceInputs) -> Service:
    budget = service_inputs.budget
    servers = tuple(
        Server(
            name=member.server_id,
            address=member.address,
            data_centre=member.data_centre,
            slots=member.slots,
            connections=service_inputs.n_connections,
            incarnation=member.started_at_ms,
            cold_limit=service_inputs.cold_limit if member.is_cold else None,
        )
        for member in service_inputs.members
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
        extra=budget.divide(service_inputs.n_owners),
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


def _list_shard_sets(table: RouteTable) -> tuple[tuple[str, ...], ...]:
    found = {
        route.target.groups: None
        for route in table.routes
        if isinstance(route.target, GreatestOfAll)
    }
    return tuple(found)
