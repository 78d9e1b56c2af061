"""Shows how gateways route requests from callers to servers; part of `make demo`.

Three gateway processes use stand-ins of the store and of the backend servers, which
run in this process.
"""

import tempfile
from pathlib import Path

import trio
from rich.console import Console

from .gateways import (
    Answer,
    Gateway,
    Platform,
    make_one_route,
    make_search_route,
    open_platform,
)

ZONES = ("ptl-a", "ptl-b", "sea-a")
SHARDS = tuple(f"shard-{place:02}" for place in range(6))
DESK = "desk"
VERSION = 3
CHANGE_LIMIT = 5.0

console = Console(highlight=False)


async def show() -> None:
    """Start everything, send requests, make a shard fail, and change the routes."""
    with tempfile.TemporaryDirectory() as directory:
        async with open_platform(Path(directory)) as platform:
            await _start(platform)
            for gateway in platform.gateways:
                _print(gateway, await platform.request(gateway, "/search/alerts"))
            await _lose_a_shard(platform)
            await _change_routes(platform)


async def _start(platform: Platform) -> None:
    console.rule(
        "three gateway hosts, a store, servers of six shards in two data centres"
    )
    for shard in SHARDS:
        for zone in ZONES[:2]:
            await platform.add_leaf(shard, zone)
    await platform.add_leaf(DESK, ZONES[0])
    platform.write_routes(
        VERSION,
        [make_search_route("/search/", list(SHARDS)), make_one_route("/desk/", DESK)],
    )
    for zone in ZONES:
        gateway = platform.add_gateway(zone)
        await platform.wait_ready(gateway)
        console.print(f"{gateway.name} is ready")


async def _lose_a_shard(platform: Platform) -> None:
    console.rule("all servers of one shard fail: the answer reports it")
    for leaf in platform.leaves:
        if leaf.service == SHARDS[0]:
            leaf.faults.fails = True
    gateway = platform.gateways[0]
    _print(gateway, await platform.request(gateway, "/search/alerts"))


async def _change_routes(platform: Platform) -> None:
    console.rule("an operator adds a route: in force on every host")
    started = trio.current_time()
    routes = [
        make_search_route("/search/", list(SHARDS)),
        make_one_route("/new/", DESK),
    ]
    platform.write_routes(VERSION + 1, routes)
    for gateway in platform.gateways:
        with trio.fail_after(CHANGE_LIMIT):
            while (await platform.request(gateway, "/new/x")).status != 200:
                await trio.sleep(0.02)
    console.print(f"after {trio.current_time() - started:.2f} s")


def _print(gateway: Gateway, answer: Answer) -> None:
    missing = answer.get("lavendergap-missing-parts")
    console.print(
        f"{gateway.name}: {answer.status}, {len(answer.part_stamps)} of {len(SHARDS)} "
        f"shards, {missing} missing, {len(answer.body) // 16} greatest records"
    )


if __name__ == "__main__":
    trio.run(show)
