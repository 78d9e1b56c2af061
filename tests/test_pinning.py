"""Which snapshot a new query is pinned to."""

from lavendergap.coordination.pinning import (
    PUBLICATION_GRACE_S,
    REFUSAL_RETRY_S,
    Pinning,
)
from lavendergap.state.snapshot import Published, Shard, Snapshot


def publish(*versions, at=1, shards=("s0", "s1")):
    snapshots = tuple(
        Snapshot(
            service="fleet",
            version=version,
            shards=tuple(Shard(name=n, group=n, share=0.5) for n in shards),
        )
        for version in versions
    )
    return Published(service="fleet", object_version=at, snapshots=snapshots)


class TestPinning:
    def test_the_newest_is_chosen_unless_a_shard_lacks_it(self):
        pinning = Pinning(published=publish(6, 7))
        assert pinning.choose(now=0.0).version == 7

    def test_a_version_that_was_published_too_early_is_tried_again(self):
        # Guards against queries that all start over while a version is published that
        # some server has not loaded yet.
        pinning = Pinning(published=publish(7, 8))
        pinning.record_refusal(shard="s1", version=8, now=10.0)
        assert pinning.choose(now=10.1).version == 7
        assert pinning.choose(now=10.0 + REFUSAL_RETRY_S).version == 8

    def test_a_version_that_a_shard_dropped_is_not_chosen_again(self):
        pinning = Pinning(published=publish(6, 7))
        pinning.observe(shard="s0", versions=(7,), now=1.0)
        pinning.record_refusal(shard="s0", version=6, now=1.0)
        pinning.record_refusal(shard="s1", version=7, now=99.0)
        assert pinning.choose(now=99.5).version == 7

    def test_a_new_version_is_chosen_once_all_shards_reported_it(self):
        # A new version is used once all shards reported it, and not before, since a
        # query pinned too early has to start over.
        pinning = Pinning(published=publish(7))
        for shard in ("s0", "s1"):
            pinning.observe(shard=shard, versions=(7,), now=1.0)
        pinning.replace(publish(7, 8, at=2), now=2.0)
        pinning.observe(shard="s0", versions=(7, 8), now=2.1)
        assert pinning.choose(now=2.1).version == 7
        pinning.observe(shard="s1", versions=(7, 8), now=2.2)
        assert pinning.choose(now=2.2).version == 8

    def test_a_shard_without_calls_does_not_hold_back_a_version(self):
        pinning = Pinning(published=publish(7))
        pinning.observe(shard="s0", versions=(7,), now=1.0)
        pinning.replace(publish(7, 8, at=2), now=2.0)
        assert pinning.choose(now=2.5).version == 7
        assert pinning.choose(now=2.0 + PUBLICATION_GRACE_S).version == 8

    def test_an_older_list_is_ignored(self):
        pinning = Pinning(published=publish(7, 8, at=5))
        pinning.replace(publish(6, 7, at=4), now=1.0)
        assert pinning.choose(now=1.0).version == 8

    def test_without_a_whole_snapshot_the_most_complete_is_chosen(self):
        pinning = Pinning(published=publish(6, 7))
        for shard, version in (("s0", 7), ("s1", 7), ("s1", 6)):
            pinning.record_refusal(shard=shard, version=version, now=1.0)
        assert pinning.choose(now=1.1).version == 6

    def test_records_of_unpublished_versions_are_dropped(self):
        pinning = Pinning(published=publish(1))
        for version in range(2, 200):
            pinning.record_refusal(shard="s0", version=version - 1, now=version)
            pinning.observe(shard="s0", versions=(version,), now=version)
            shards = ("s0", f"s{version}")
            pinning.replace(publish(version, at=version, shards=shards), now=version)
            pinning.observe(shard=f"s{version}", versions=(version,), now=version)
        assert len(pinning._known) <= 2
        assert len(pinning._published_at) == 1
