"""The coordinator of a query, over real channels and owners with fake servers."""

import trio

from lavendergap.protocol.answers import SearchResult
from lavendergap.state.outcome import Reason
from lavendergap.state.settings import GiveUpStragglers
from lavendergap.state.snapshot import Published, Shard, Snapshot
from tests.nodes import Cluster, Node


async def search_whole(cluster: Cluster, node: Node) -> SearchResult:
    """Ask a query, check that its answer is true to itself, and return it."""
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
            nursery.cancel_scope.cancel()

    async def test_large_results_of_one_owner_arrive(self, autojump_clock):
        # One owner has eight shards, whose results of 900 KB come in the same turn.
        # Put into one message they were longer than a frame may be: the channel
        # was closed, and so was each that replaced it, for as long as it was asked.
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
        # Thirty hosts, backend servers that take 25 connections: a connection from
        # each host would be refused. One host alone calls each server, whichever
        # host a caller reaches, and every answer is whole.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, n_hosts=30)
            for node in cluster.nodes:
                assert (await search_whole(cluster, node)).is_whole
            assert all(len(hosts) == 1 for hosts in cluster.backends.callers.values())
            nursery.cancel_scope.cancel()

    async def test_when_an_owner_leaves_one_other_takes_over(self, autojump_clock):
        # Membership moves on: the owner of some groups is gone. Exactly one other
        # host calls their servers from then on; all other groups stay where they
        # were, so that a restart disturbs a part of the fleet's size only.
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
        # An owner is paused: its channel takes bytes and answers nothing. The
        # caller gets the whole answer in time all the same, since the owner's
        # shards go to the hosts ranked next once a ping has stayed unanswered.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            caller_side, *others = cluster.nodes
            silent = max(others, key=cluster.count_owned)
            assert cluster.count_owned(silent) > 0
            await search_whole(cluster, caller_side)
            cluster.network.silent.add(silent.name)
            assert (await search_whole(cluster, caller_side)).is_whole
            # The next query does not lose half of its time on the same host again.
            started = trio.current_time()
            assert (await search_whole(cluster, caller_side)).is_whole
            assert trio.current_time() - started < 0.05
            nursery.cancel_scope.cancel()

    async def test_own_stall_is_not_blamed_on_an_owner(self, autojump_clock):
        # The coordinator's process stands still for 130 ms, as on a busy machine.
        # When it goes on, all its timers are due at once and the owners' answers lie
        # unread. It reads them; it neither passes owners over nor asks others.
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
        # An owner has died and membership does not know yet. Its address refuses
        # connections; the caller notices nothing.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            caller_side, *others = cluster.nodes
            dead = max(others, key=cluster.count_owned)
            cluster.network.refusing.add(dead.name)
            assert (await search_whole(cluster, caller_side)).is_whole
            nursery.cancel_scope.cancel()

    async def test_stopping_owner_hands_its_shards_on(self, autojump_clock):
        # A planned stop: the owner takes nothing new and says so. Its shards go to
        # the next host; nothing is missing from the answer.
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery)
            caller_side, *others = cluster.nodes
            max(others, key=cluster.count_owned).owner.stop()
            assert (await search_whole(cluster, caller_side)).is_whole
            nursery.cancel_scope.cancel()


class TestSnapshots:
    async def test_version_that_is_gone_is_never_mixed(self, autojump_clock):
        # The library is repartitioned and version 1 dropped while the coordinator
        # still pins it. The first round finds it gone; the answer comes whole from
        # version 2 and its partition map, with no result of version 1 in it.
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

    async def test_shard_without_the_version_is_stated(self, autojump_clock):
        # One group has no version that the others have, and nothing newer is
        # published. The answer says which shard is missing and why.
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
        Shard(name=f"p{place}", group=shard.group, share=share)
        for place, (shard, share) in enumerate(zip(old.shards, shares, strict=True))
    )
    return Snapshot(service=old.service, version=2, shards=shards)


class TestStragglers:
    async def test_straggler_is_given_up_cancelled_and_stated(self, autojump_clock):
        # All replicas of one shard take far too long. The service prefers its tail:
        # the answer leaves without the shard, says so, and frees its slots.
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
        # The same shard, for a service to which coverage matters more: the answer
        # waits for it, and at the deadline says that it is missing.
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
        # A caller closes its connection while its query runs. Whatever runs for it
        # here and at other owners is cancelled, else the slots would stay busy for
        # nobody.
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
