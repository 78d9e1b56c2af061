"""The coordinator of queries, over real channels and owners with fake servers."""

import trio

from lavendergap.protocol.answers import SearchResult
from lavendergap.state.outcome import Reason
from lavendergap.state.settings import GiveUpStragglers
from lavendergap.state.snapshot import Published, Shard, Snapshot
from tests.nodes import PRECEDENCE, Cluster, Node


async def search_whole(cluster: Cluster, node: Node) -> SearchResult:
    """Send a query, check that its answer is consistent, and return it."""
    result = await cluster.search(node)
    assert isinstance(result, SearchResult)
    assert result.coverage.n_answered == len(result.results)
    for shard in result.results:
        assert b'"version": %d' % result.version in shard.result
        assert shard.shard.encode() in shard.result
    return result


class TestOwners:
    async def test_each_shard_is_asked_once_whoever_coordinates(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            for node in cluster.nodes:
                result = await search_whole(cluster, node)
                assert result.is_whole
            assert len(cluster.backends.calls) == 3 * 6
            # Owners have the customer from the coordinator's message.
            wanted = PRECEDENCE.customer, PRECEDENCE.weight, PRECEDENCE.priority
            for _, call in cluster.backends.calls:
                assert (call.customer, call.weight, call.priority) == wanted
            nursery.cancel_scope.cancel()

    async def test_large_results_of_one_owner_arrive(self, autojump_clock):
        # Large results of eight shards arrive in the same turn. In one message, they
        # would exceed the frame limit and close the channel on every query.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, n_hosts=2, n_groups=16)
            cluster.backends.n_padding = 900_000
            for node in cluster.nodes:
                assert (await search_whole(cluster, node)).is_whole
            assert len(cluster.backends.calls) == 2 * 16
            nursery.cancel_scope.cancel()

    async def test_more_hosts_than_connections_share_through_owners(
        self, autojump_clock
    ):
        # With more hosts than a server accepts connections, only one host calls each
        # server, whichever host coordinates.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, n_hosts=30)
            for node in cluster.nodes:
                assert (await search_whole(cluster, node)).is_whole
            assert all(len(hosts) == 1 for hosts in cluster.backends.callers.values())
            nursery.cancel_scope.cancel()

    async def test_when_an_owner_leaves_one_other_takes_over(self, autojump_clock):
        # An owner leaves: one other host takes over each of its groups, and all other
        # groups keep their owners.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, n_hosts=5)
            leaver, *rest = sorted(cluster.nodes, key=cluster.count_owned)[::-1]
            for node in rest:
                assert (await search_whole(cluster, node)).is_whole
            before = {n: set(h) for n, h in cluster.backends.callers.items()}
            for node in rest:
                live = {n.name: a for a, n in cluster.network.nodes.items()}
                del live[leaver.name]
                node.fleet.replace_live(live)
            cluster.backends.callers.clear()
            for node in rest:
                assert (await search_whole(cluster, node)).is_whole
            for server, hosts in cluster.backends.callers.items():
                assert len(hosts) == 1
                if server in before and before[server] != {leaver.name}:
                    assert hosts == before[server]
            nursery.cancel_scope.cancel()

    async def test_silent_owner_is_bypassed_within_the_deadline(self, autojump_clock):
        # An owner is paused and answers no ping. Its shards go to the hosts ranked
        # next in time for a whole answer.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            coordinator, *others = cluster.nodes
            silent = max(others, key=cluster.count_owned)
            assert cluster.count_owned(silent) > 0
            await search_whole(cluster, coordinator)
            cluster.network.silent.add(silent.name)
            assert (await search_whole(cluster, coordinator)).is_whole
            # The next query does not try the paused host again.
            started = trio.current_time()
            assert (await search_whole(cluster, coordinator)).is_whole
            assert trio.current_time() - started < 0.05
            nursery.cancel_scope.cancel()

    async def test_a_pause_of_this_process_loses_no_owner(self, autojump_clock):
        # After a pause of this process its timers are due while the owners' answers
        # lie unread. It must read them, rather than give the owners up.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            node = cluster.nodes[0]
            await search_whole(cluster, node)
            n_calls = len(cluster.backends.calls)
            async with trio.open_nursery() as stalled:
                stalled.start_soon(search_whole, cluster, node)
                await trio.sleep(0.005)
                autojump_clock.jump(0.13)
            assert len(cluster.backends.calls) == n_calls + 6
            nursery.cancel_scope.cancel()

    async def test_owner_that_refuses_channels_is_bypassed(self, autojump_clock):
        # An owner has died, and membership still lists it. Its address refuses
        # connections, and the answer is whole all the same.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            coordinator, *others = cluster.nodes
            dead = max(others, key=cluster.count_owned)
            cluster.network.refusing.add(dead.name)
            assert (await search_whole(cluster, coordinator)).is_whole
            nursery.cancel_scope.cancel()

    async def test_stopping_owner_hands_its_shards_on(self, autojump_clock):
        # An owner that is stopping refuses new calls. Its shards go to the next host,
        # and the answer is whole.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            coordinator, *others = cluster.nodes
            max(others, key=cluster.count_owned).owner.stop()
            assert (await search_whole(cluster, coordinator)).is_whole
            nursery.cancel_scope.cancel()


class TestSnapshots:
    async def test_version_that_is_gone_is_never_mixed(self, autojump_clock):
        # Version 1 is dropped while the coordinator still pins it. The whole answer
        # comes from version 2, without results of version 1.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            node = cluster.nodes[0]
            old = node.pinnings["scheduler"].published.newest
            new = repartition(old)
            for group in cluster.service.groups[1:]:
                for server in group.servers:
                    cluster.backends.versions[server.name] = (2,)
            for server in cluster.service.groups[0].servers:
                cluster.backends.versions[server.name] = (1, 2)
            published = Published(
                service="scheduler", object_version=5, snapshots=(old, new)
            )
            pinning = node.pinnings["scheduler"]
            pinning.replace(published, now=trio.current_time())
            pinning.observe(shard="p1", versions=(1,), now=trio.current_time())
            assert pinning.choose(now=trio.current_time()).version == 1
            result = await search_whole(cluster, node)
            assert (result.version, result.is_whole) == (2, True)
            assert result.coverage.n_asked == len(new.shards)
            nursery.cancel_scope.cancel()

    async def test_shard_without_the_version_is_reported(self, autojump_clock):
        # One group lacks the version of the others, and no newer one is published. The
        # answer names the missing shard and the reason.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            for server in cluster.service.groups[2].servers:
                cluster.backends.versions[server.name] = (9,)
            result = await search_whole(cluster, cluster.nodes[0])
            [missing] = result.coverage.missing
            assert (missing.shard, missing.reason) == ("s02", Reason.VERSION_GONE)
            nursery.cancel_scope.cancel()


def repartition(old: Snapshot) -> Snapshot:
    """Return version 2: the same groups under other shard names, unequal shares."""
    shares = [0.5] + [0.5 / (len(old.shards) - 1)] * (len(old.shards) - 1)
    shards = tuple(
        Shard(name=f"p{number}", group=shard.group, share=share)
        for number, (shard, share) in enumerate(zip(old.shards, shares, strict=True))
    )
    return Snapshot(service=old.service, version=2, shards=shards)


class TestStragglers:
    async def test_straggler_is_given_up_cancelled_and_reported(self, autojump_clock):
        # All replicas of a shard are slow, and the policy prefers latency. The answer
        # comes without the shard, which is reported missing and cancelled.
        async with trio.open_nursery() as nursery:
            policy = GiveUpStragglers(min_share=0.8, patience=2.0)
            cluster = Cluster(nursery=nursery, stragglers=policy)
            for server in cluster.service.groups[3].servers:
                cluster.backends.delays[server.name] = 5.0
            started = trio.current_time()
            result = await search_whole(cluster, cluster.nodes[0])
            assert trio.current_time() - started < 0.1
            [missing] = result.coverage.missing
            assert (missing.shard, missing.reason) == ("s03", Reason.STRAGGLER)
            await trio.sleep(0.1)
            assert {shard for _, shard in cluster.backends.cancelled} == {"s03"}
            nursery.cancel_scope.cancel()

    async def test_coverage_policy_waits_to_the_deadline(self, autojump_clock):
        # A policy that prefers coverage waits for a slow shard, and reports it missing
        # only at the deadline.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            for server in cluster.service.groups[3].servers:
                cluster.backends.delays[server.name] = 0.2
            result = await search_whole(cluster, cluster.nodes[0])
            assert result.is_whole
            for server in cluster.service.groups[3].servers:
                cluster.backends.delays[server.name] = 5.0
            result = await search_whole(cluster, cluster.nodes[0])
            assert [m.shard for m in result.coverage.missing] == ["s03"]
            nursery.cancel_scope.cancel()


class TestCallers:
    async def test_caller_that_leaves_frees_the_slots(self, autojump_clock):
        # A caller disconnects while its query runs. Its calls are cancelled here and
        # at other owners, or they would occupy slots for nobody.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            for group in cluster.service.groups:
                for server in group.servers:
                    cluster.backends.delays[server.name] = 5.0
            with trio.move_on_after(0.05):
                await cluster.search(cluster.nodes[0])
            await trio.sleep(0.05)
            assert len(cluster.backends.cancelled) >= len(cluster.service.groups)
            assert not any(node.owner.is_busy for node in cluster.nodes)
            nursery.cancel_scope.cancel()
