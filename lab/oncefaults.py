"""Faults that strike a deployment and a baseline at the same moments."""

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

import msgspec
import trio

from standins.relay import Relay, Way

from .bookers import call
from .processes import Running

SHORTEST = 0.3
LONGEST = 2.5
SPACING = 0.9
SERVER_RESTART_MS = 700
# A fault is felt for a while after its end, until it has been noticed.
LINGER = 1.0


class Kind(StrEnum):
    """The kinds of fault."""

    KILL = "kill"
    STOP = "planned stop"
    PAUSE = "pause"
    CUT = "silent channels"
    CRASH_AFTER = "server dies after run"
    CRASH_BEFORE = "server dies before run"
    OUTAGE = "platform down"


WEIGHTS: Mapping[Kind, int] = {
    Kind.KILL: 4,
    Kind.STOP: 1,
    Kind.PAUSE: 4,
    Kind.CUT: 3,
    Kind.CRASH_AFTER: 2,
    Kind.CRASH_BEFORE: 1,
    Kind.OUTAGE: 1,
}
WAYS: tuple[Way, ...] = ("towards", "back", "both")


@dataclass(kw_only=True, slots=True)
class Victim:
    """A process that is killed, stopped and paused, and started again."""

    running: Running
    restart: Callable[[], Awaitable[Running]]

    async def kill(self) -> None:
        """End it without warning."""
        await self.running.kill()

    async def revive(self) -> None:
        """Start it again after its end."""
        self.running = await self.restart()


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """An entry host with its relay, and the forwarder that shares its faults."""

    name: str
    entry: Victim
    forwarder: Victim
    relay: Relay


@dataclass(kw_only=True, slots=True)
class Window:
    """When a fault was in force; `ended` is infinite until it is over."""

    kind: Kind
    where: str
    started: float
    ended: float = float("inf")


class Faults:
    """Strikes by a schedule that depends on `dice` alone."""

    def __init__(
        self,
        *,
        places: Sequence[Place],
        servers: Sequence[str],
        backend_control: str,
        platform_control: str,
        dice: random.Random,
    ) -> None:
        self.windows: list[Window] = []
        self._places = places
        self._servers = servers
        self._backend_control = backend_control
        self._platform_control = platform_control
        self._dice = dice
        self._struck: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Strike for so long, then return once everything is whole again."""
        stop_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < stop_at:
                await trio.sleep(SPACING * self._dice.uniform(0.5, 1.5))
                self._strike(nursery)

    def _strike(self, nursery: trio.Nursery) -> None:
        # All is drawn before anything is looked at, so that the schedule stays the
        # same whatever the processes do meanwhile.
        kinds = list(WEIGHTS)
        kind = self._dice.choices(kinds, weights=list(WEIGHTS.values()))[0]
        place = self._dice.choice(self._places)
        server = self._dice.choice(self._servers)
        way = self._dice.choice(WAYS)
        lasting = self._dice.uniform(SHORTEST, LONGEST)
        where = place.name
        match kind:
            case Kind.CRASH_AFTER | Kind.CRASH_BEFORE:
                where = server
            case Kind.OUTAGE:
                where = "platform"
        if where in self._struck:
            return
        window = Window(kind=kind, where=where, started=trio.current_time())
        self.windows.append(window)
        self._struck.add(where)
        nursery.start_soon(self._hold, window, place, way, lasting)

    async def _hold(
        self, window: Window, place: Place, way: Way, lasting: float
    ) -> None:
        victims = (place.entry, place.forwarder)
        match window.kind:
            case Kind.KILL:
                for victim in victims:
                    await victim.kill()
                await trio.sleep(lasting)
                await _do_both(victims[0].revive, victims[1].revive)
            case Kind.STOP:
                await _do_both(victims[0].running.stop, victims[1].running.stop)
                await _do_both(victims[0].revive, victims[1].revive)
            case Kind.PAUSE:
                for victim in victims:
                    victim.running.pause()
                await trio.sleep(lasting)
                for victim in victims:
                    victim.running.resume()
            case Kind.CUT:
                place.relay.cut(way)
                await trio.sleep(lasting)
                place.relay.restore()
            case Kind.CRASH_AFTER:
                await self._crash(window.where, "after run", lasting)
            case Kind.CRASH_BEFORE:
                await self._crash(window.where, "before run", lasting)
            case Kind.OUTAGE:
                await set_faults(self._platform_control, {"down": True})
                await trio.sleep(lasting)
                await set_faults(self._platform_control, {"down": False})
        window.ended = trio.current_time() + LINGER
        self._struck.discard(window.where)

    async def _crash(self, server: str, when: str, lasting: float) -> None:
        """Let a server of each service die at its next call, and come back."""
        pattern = f"*-{server}"
        faults = {"crash": when, "restart_ms": SERVER_RESTART_MS}
        await set_faults(self._backend_control, {pattern: faults})
        await trio.sleep(lasting)
        await set_faults(self._backend_control, {pattern: {"crash": "no"}})


async def _do_both(*actions: Callable[[], Awaitable[object]]) -> None:
    async with trio.open_nursery() as nursery:
        for action in actions:
            nursery.start_soon(action)


async def set_faults(control: str, faults: Mapping[str, object]) -> None:
    """Set faults at a stand-in's control port; raises RuntimeError if refused."""
    body = msgspec.json.encode(faults)
    answer = await call(control, "POST", "/faults", body=body, limit=5.0)
    if answer is None or answer.status != 200:
        raise RuntimeError(f"the stand-in at {control} did not take {faults}: {answer}")
