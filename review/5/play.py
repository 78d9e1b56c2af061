"""Case 5: a server's entry is removed while both hosts that watch are down."""

import sys
from collections.abc import Callable

import trio

from review import rig_2 as rig
from standins.leafservers import SERVERS, LeafFaults

SETTLE_S = 8.0
PER_S = 30.0
OBSERVED_S = 8.0
RESTART_S = 3.5
WORK_S = 0.2
# How long a server that leaves serves on: its drain time and a little longer.
SERVES_ON_S = rig.BOUNDS["drain_ms"] / 1_000 + 0.6


async def play(record: Callable[[str], None]) -> str:
    async with rig.open_site(record) as site:
        leaf = _make_leaf()
        await site.add_leaf(leaf)
        await site.add_leaf(_make_leaf())
        route = rig.make_route("/one/", "desk", type="non_idempotent")
        site.write_manifest(3, [route])
        for zone in ("ptl-a", "ptl-a", "ptl-b", "ptl-b", "sea-a"):
            site.add_machine(zone)
        await site.wait_ready()
        await trio.sleep(SETTLE_S)
        watchers = site.find_watchers()
        record(f"watchers: {[machine.name for machine in watchers]}")
        others = [m for m in site.machines if m not in watchers]
        started = trio.current_time()
        until = started + 2.0 + OBSERVED_S
        async with trio.open_nursery() as nursery:
            for machine in others:
                nursery.start_soon(_load, site, machine, until)
            # A release: the new server starts first, then the old one leaves.
            await trio.sleep(1.5)
            await site.add_leaf(_make_leaf())
            await trio.sleep(0.5)
            if rig.IS_TROUBLED:
                for machine in watchers:
                    machine.kill()
                record(f"{trio.current_time():.3f} killed the watchers")
            await trio.sleep(0.1)
            site.store.remove(SERVERS, leaf.server_id)
            removed_at = trio.current_time()
            record(f"{removed_at:.3f} removed {leaf.server_id}")
            await trio.sleep_until(started + 2.0 + RESTART_S)
            if rig.IS_TROUBLED:
                for machine in watchers:
                    machine.start()
            await trio.sleep_until(removed_at + SERVES_ON_S)
            rig.end_leaf(leaf)
            record(f"{trio.current_time():.3f} {leaf.server_id} has ended")
        limit = removed_at + rig.BOUNDS["drain_ms"] / 1_000
        names = {machine.name for machine in others}
        for at, attempt in leaf.times:
            record(f"{at:.3f} {attempt} reached {leaf.server_id}")
        late = [
            (at, attempt)
            for at, attempt in leaf.times
            if at > limit and attempt.rpartition(".")[0] in names
        ]
        if not late:
            return ""
        last = max(at for at, _ in late) - removed_at
        return (
            f"{len(late)} requests reached it later than 3 s, the last after "
            f"{last:.2f} s; {site.count_lost(leaf)} that it ran got no answer"
        )


def _make_leaf() -> rig.TimedLeaf:
    faults = LeafFaults(work_s=WORK_S)
    return rig.TimedLeaf(service="desk", zone="ptl-a", slots=8, faults=faults)


async def _load(site: rig.Site, machine: rig.Machine, until: float) -> None:
    await site.load(machine, "/one/x", per_s=PER_S, until=until)


if __name__ == "__main__":
    sys.exit(rig.run_case(__file__, play))
