"""Measures a gateway host's cost of membership changes: `python -m lab.memberchanges`.

Membership reports all other hosts one by one within `JOIN_PERIOD_S` seconds, as when a
whole fleet starts together. For each fleet size it prints how often the set of live
hosts was applied and the processor time of that in milliseconds. "naive" applies each
change separately and rebuilds all groups; "product" is the implementation in use.
"""

import time
from functools import partial
from random import Random

import trio
from trio.testing import MockClock

from lavendergap.coordination.catalog import Catalog, ExtraCallBudget, build_catalog
from lavendergap.coordination.membership import Membership
from lavendergap.coordination.placement import Placement
from lavendergap.entry.fleet import Fleet
from lavendergap.entry.livehosts import APPLY_INTERVAL_S, LiveHosts
from lavendergap.state.gossip import Gossip
from lavendergap.state.member import DocumentsDigest, Member
from lavendergap.state.registry import RegisteredServer
from lavendergap.state.routes import GreatestOfAll, Route, RouteTable
from lavendergap.state.settings import Address, Control, Settings

N_HOSTS = (9, 73, 195, 550)
N_SHARDS = 129
N_ROUTES = 10
N_DATA_CENTRES = 6
JOIN_PERIOD_S = 2.0
FIRST_PORT = 8_100


def main() -> None:
    """Print one line for each fleet size and variant, then `name=value` pairs."""
    figures = []
    for n_hosts in N_HOSTS:
        for name in ("naive", "product"):
            measure_joins = partial(_measure_joins, n_hosts, is_naive=name == "naive")
            n_updates, seconds = trio.run(measure_joins, clock=MockClock(rate=0.0))
            ms = seconds * 1e3
            print(
                f"{n_hosts:4} hosts, {name:8} applied {n_updates:3} times, {ms:7.1f} ms"
            )
            figures.append(f"{name}_ms_at_{n_hosts}={ms:.1f}")
    print(*figures)


async def _measure_joins(n_hosts: int, *, is_naive: bool) -> tuple[int, float]:
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    table, servers = _make_groups()
    membership = Membership(own=_make_member(0), control=Control(), random=Random(1))
    own = membership.own
    placement = Placement(own_data_centre=own.data_centre)
    fleet = Fleet(own_name=own.name, settings=_make_settings(), placement=placement)
    budget = ExtraCallBudget(share=0.2, slack=400.0, window_s=10.0)
    catalog: Catalog | None = None
    cpu_s = 0.0
    n_updates = 0

    def apply() -> None:
        nonlocal catalog, n_updates
        n_updates += 1
        catalog = build_catalog(
            table=table,
            servers=servers,
            budget=budget,
            n_hosts=len(membership.live()),
            previous=None if is_naive else catalog,
        )
        placement.replace_servers(catalog.shard_data_centres, catalog.shard_sets)
        for group in catalog.shard_data_centres:
            fleet.rank(group)

    live_hosts = LiveHosts(
        membership=membership, fleet=fleet, placement=placement, apply=apply
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(live_hosts.run)
        for number in range(1, n_hosts):
            _receive_gossip(membership, number, now=trio.current_time())
            started = time.process_time()
            for event in membership.take_events():
                live_hosts.handle_event(event)
            # A full pause per change makes the naive variant apply each one separately.
            clock.jump(APPLY_INTERVAL_S if is_naive else JOIN_PERIOD_S / n_hosts)
            await trio.testing.wait_all_tasks_blocked()
            cpu_s += time.process_time() - started
        nursery.cancel_scope.cancel()
    return n_updates, cpu_s


def _receive_gossip(membership: Membership, number: int, *, now: float) -> None:
    member = _make_member(number)
    gossip = Gossip(source=member, documents=DocumentsDigest(), updates=())
    membership.receive(gossip, sender=member.peers, now=now)


def _make_member(number: int) -> Member:
    return Member(
        name=f"host-{number}",
        data_centre=f"dc-{number % N_DATA_CENTRES}",
        incarnation=1,
        peers=Address(ip="127.0.0.1", port=FIRST_PORT + number),
    )


def _make_settings() -> Settings:
    return Settings(
        deployment="lab",
        version=0,
        platform=Address(ip="127.0.0.1", port=FIRST_PORT),
        hosts=(),
        services=(),
        control=Control(),
    )


def _make_groups() -> tuple[RouteTable, tuple[RegisteredServer, ...]]:
    groups = tuple(f"shard-{number}" for number in range(N_SHARDS))
    routes = tuple(
        Route(
            name=f"route-{number}",
            host="a.example",
            prefix=f"/{number}/",
            target=GreatestOfAll(groups=groups, n_records=50, min_share=0.95),
            idempotent=True,
            max_attempts=2,
            timeout_ms=600,
            goal_ms=100,
            priority=1,
        )
        for number in range(N_ROUTES)
    )
    servers = tuple(
        RegisteredServer(
            server_id=f"{group}-{place}",
            group=group,
            address=Address(ip="127.0.0.1", port=FIRST_PORT),
            data_centre=f"dc-{place}",
            slots=2,
            is_draining=False,
        )
        for group in groups
        for place in range(2)
    )
    return RouteTable(version=1, routes=routes), servers


if __name__ == "__main__":
    main()
