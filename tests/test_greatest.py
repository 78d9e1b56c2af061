"""Queries for the greatest records of all shards, with slow and lost owners."""

from contextlib import ExitStack
from dataclasses import replace
from functools import partial

import pytest
import trio

from lavendergap.coordination.calls import Call
from lavendergap.entry.search import GreatestQuery, Query, SearchRun
from lavendergap.protocol.forwarding import MergedRecords
from lavendergap.state.forwarding import ForwardedRequest
from lavendergap.state.outcome import Unknown
from lavendergap.state.settings import AnswerByGoal
from lavendergap.state.snapshot import Shard, Snapshot
from tests.nodes import Cluster, Node

DEADLINE_S = 0.4


def make_cluster(nursery: trio.Nursery) -> Cluster:
    """Return nodes whose groups are services of their own, as for routes."""
    cluster = Cluster(nursery=nursery)
    services = tuple(
        replace(cluster.service, name=group.name, groups=(group,))
        for group in cluster.service.groups
    )
    for node in cluster.nodes:
        node.owner.replace(replace(cluster.settings, services=services))
    for group in cluster.service.groups:
        for server in group.servers:
            cluster.backends.versions[server.name] = (0,)
    return cluster


async def ask(
    cluster: Cluster, node: Node, *, max_attempts: int = 2, goal: float = 0.2
):
    now = trio.current_time()
    names = [group.name for group in cluster.service.groups]
    run = SearchRun(
        query=Query(
            request_id="r",
            service=replace(
                cluster.service,
                stragglers=AnswerByGoal(min_share=0.9, goal_ms=int(goal * 1_000)),
            ),
            body=b"",
            started=now,
            deadline=now + DEADLINE_S,
            greatest=GreatestQuery(
                request=ForwardedRequest(
                    method=b"GET", target=b"/", attempt=b"r", headers=()
                ),
                n_wanted=5,
                max_attempts=max_attempts,
                priority=0,
                goal=now + goal,
            ),
        ),
        snapshot=Snapshot(
            service="route",
            version=1,
            shards=tuple(Shard(name=n, group=n, share=1 / len(names)) for n in names),
        ),
        pinning=None,
        fleet=node.fleet,
        owner=node.owner,
        dialer=node.dialer,
        nursery=node.coordinator._nursery,
    )
    with ExitStack() as after:
        return await run.run_greatest(after)


@pytest.fixture
async def cluster(autojump_clock):
    """Hosts, the first of which has open channels to all others."""
    async with trio.open_nursery() as nursery:
        cluster = make_cluster(nursery)
        await cluster.open_channels(cluster.nodes[0])
        yield cluster
        cluster.network.silent.clear()
        nursery.cancel_scope.cancel()


def get_main_owner(cluster: Cluster) -> Node:
    """Return the host with most shards, other than the first."""
    return max(cluster.nodes[1:], key=cluster.count_owned)


def list_repeats(cluster: Cluster) -> list[Call]:
    return [call for _, call in cluster.backends.calls if call.is_repeat]


class TestLostOwners:
    async def test_possible_attempts_of_a_lost_owner_count(self, cluster):
        # An owner is lost before it could hedge: each call has reached at most one of
        # the two servers that the route allows, so one attempt is left.
        node, lost = cluster.nodes[0], get_main_owner(cluster)
        cluster.network.silent.add(lost.name)
        async with trio.open_nursery() as asking:
            asking.start_soon(ask, cluster, node)
            await trio.sleep(0.01)
            channel = node.dialer.get_open(lost.name)
            assert channel is not None
            channel.close()
        repeated = list_repeats(cluster)
        assert len(repeated) == cluster.count_owned(lost)
        assert {call.max_attempts for call in repeated} == {1}

    async def test_calls_that_may_be_hedged_are_not_sent_elsewhere(self, cluster):
        # A silent owner may have sent each call to both servers that the route allows.
        # Sending it elsewhere would exceed the route's limit.
        node, silent = cluster.nodes[0], get_main_owner(cluster)
        cluster.network.silent.add(silent.name)
        started = trio.current_time()
        assert isinstance(await ask(cluster, node), Unknown)
        assert trio.current_time() - started < 0.2  # Not at the deadline of 0.4.
        cluster.network.silent.clear()
        await trio.sleep(0.1)
        assert not list_repeats(cluster)
        assert isinstance(await ask(cluster, node), MergedRecords)

    @pytest.mark.parametrize("busy_for", [0.02, 0.04, 0.12])
    async def test_a_busy_owner_is_not_given_up(self, cluster, busy_for):
        # A busy owner answers no ping for longer than the goal is away. If it were
        # given up, its calls would be repeated and it would get no new work.
        node, busy = cluster.nodes[0], get_main_owner(cluster)
        before = node.fleet.rank("scheduler-00")
        cluster.network.silent.add(busy.name)
        async with trio.open_nursery() as asking:
            asking.start_soon(partial(ask, cluster, node, goal=0.033))
            await trio.sleep(busy_for)
            cluster.network.silent.clear()
        assert not list_repeats(cluster)
        assert node.fleet.rank("scheduler-00") == before


class TestOpeningChannels:
    """The first query to an owner, whose channel is not open yet."""

    async def test_an_owner_is_not_lost_while_it_opens(self, cluster):
        # Opening a channel takes most of the time to the goal. A live owner must not
        # be given up meanwhile, as it would get no new work.
        node, slow = cluster.nodes[0], get_main_owner(cluster)
        _forget_channel(node, slow)
        cluster.network.dial_times[slow.name] = 0.03
        before = node.fleet.rank("scheduler-00")
        assert isinstance(await ask(cluster, node, goal=0.033), MergedRecords)
        assert not list_repeats(cluster)
        assert node.fleet.rank("scheduler-00") == before

    async def test_an_owner_that_never_opens_uses_no_attempts(self, cluster):
        # Connections to a host hang. The next owner is asked in time for the goal and
        # may use all attempts, as nothing was sent to the first.
        node, dead = cluster.nodes[0], get_main_owner(cluster)
        _forget_channel(node, dead)
        cluster.network.dial_times[dead.name] = 10.0
        started = trio.current_time()
        assert isinstance(await ask(cluster, node, max_attempts=1), MergedRecords)
        assert trio.current_time() - started < 0.1
        assert not list_repeats(cluster)
        assert {call.max_attempts for _, call in cluster.backends.calls} == {1}


def _forget_channel(node: Node, other: Node) -> None:
    channel = node.dialer.get_open(other.name)
    assert channel is not None
    channel.close()
