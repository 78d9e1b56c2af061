"""Injects the same faults into a deployment and a baseline at the same times."""

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

import msgspec
import trio

from standins.relay import Direction, Relay

from .bookers import call
from .processes import Running

MIN_FAULT_S = 0.3
MAX_FAULT_S = 2.5
FAULT_INTERVAL_S = 0.9
SERVER_RESTART_MS = 700
# A fault still affects requests after its end, until hosts detect the recovery.
DETECTION_TIME_S = 1.0


class FaultKind(StrEnum):
    """The kinds of fault."""

    KILL = "kill"
    STOP = "planned stop"
    PAUSE = "pause"
    CUT = "silent channels"
    CRASH_AFTER = "server dies after run"
    CRASH_BEFORE = "server dies before run"
    OUTAGE = "platform down"


WEIGHTS: Mapping[FaultKind, int] = {
    FaultKind.KILL: 4,
    FaultKind.STOP: 1,
    FaultKind.PAUSE: 4,
    FaultKind.CUT: 3,
    FaultKind.CRASH_AFTER: 2,
    FaultKind.CRASH_BEFORE: 1,
    FaultKind.OUTAGE: 1,
}
DIRECTIONS: tuple[Direction, ...] = ("towards", "back", "both")


@dataclass(kw_only=True, slots=True)
class RestartableProcess:
    """A process that faults kill, stop or pause, with a function to restart it."""

    running: Running
    restart: Callable[[], Awaitable[Running]]

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        await self.running.kill()

    async def start_again(self) -> None:
        """Start the process again after its end."""
        self.running = await self.restart()


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultTarget:
    """An entry host with its relay, and the forwarder that gets the same faults."""

    name: str
    entry: RestartableProcess
    forwarder: RestartableProcess
    relay: Relay


@dataclass(kw_only=True, slots=True)
class FaultWindow:
    """When a fault was active; `ended` is infinite until its end.

    `affected` is the name of a host or server, or "platform".
    """

    kind: FaultKind
    affected: str
    started: float
    ended: float = float("inf")


class FaultSchedule:
    """Injects faults at times and places that depend on `rng` alone."""

    def __init__(
        self,
        *,
        targets: Sequence[FaultTarget],
        servers: Sequence[str],
        backend_control: str,
        platform_control: str,
        rng: random.Random,
    ) -> None:
        self.windows: list[FaultWindow] = []
        self._targets = targets
        self._servers = servers
        self._backend_control = backend_control
        self._platform_control = platform_control
        self._rng = rng
        self._active: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Inject faults for `seconds`; return once all have ended."""
        stop_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < stop_at:
                await trio.sleep(FAULT_INTERVAL_S * self._rng.uniform(0.5, 1.5))
                self._inject(nursery)

    def _inject(self, nursery: trio.Nursery) -> None:
        # All random values are drawn before any state is checked, so that the schedule
        # does not depend on the timing of the processes.
        kinds = list(WEIGHTS)
        kind = self._rng.choices(kinds, weights=list(WEIGHTS.values()))[0]
        target = self._rng.choice(self._targets)
        server = self._rng.choice(self._servers)
        direction = self._rng.choice(DIRECTIONS)
        duration_s = self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        affected = target.name
        match kind:
            case FaultKind.CRASH_AFTER | FaultKind.CRASH_BEFORE:
                affected = server
            case FaultKind.OUTAGE:
                affected = "platform"
        if affected in self._active:
            return
        window = FaultWindow(kind=kind, affected=affected, started=trio.current_time())
        self.windows.append(window)
        self._active.add(affected)
        nursery.start_soon(self._apply, window, target, direction, duration_s)

    async def _apply(
        self,
        window: FaultWindow,
        target: FaultTarget,
        direction: Direction,
        duration_s: float,
    ) -> None:
        processes = (target.entry, target.forwarder)
        match window.kind:
            case FaultKind.KILL:
                for process in processes:
                    await process.kill()
                await trio.sleep(duration_s)
                await _run_together(processes[0].start_again, processes[1].start_again)
            case FaultKind.STOP:
                await _run_together(
                    processes[0].running.stop, processes[1].running.stop
                )
                await _run_together(processes[0].start_again, processes[1].start_again)
            case FaultKind.PAUSE:
                for process in processes:
                    process.running.pause()
                await trio.sleep(duration_s)
                for process in processes:
                    process.running.resume()
            case FaultKind.CUT:
                target.relay.cut(direction)
                await trio.sleep(duration_s)
                target.relay.restore()
            case FaultKind.CRASH_AFTER:
                await self._crash(window.affected, "after run", duration_s)
            case FaultKind.CRASH_BEFORE:
                await self._crash(window.affected, "before run", duration_s)
            case FaultKind.OUTAGE:
                await set_faults(self._platform_control, {"down": True})
                await trio.sleep(duration_s)
                await set_faults(self._platform_control, {"down": False})
        window.ended = trio.current_time() + DETECTION_TIME_S
        self._active.discard(window.affected)

    async def _crash(self, server: str, when: str, duration_s: float) -> None:
        """Make a server of each service crash at its next call, and restart."""
        pattern = f"*-{server}"
        faults = {"crash": when, "restart_ms": SERVER_RESTART_MS}
        await set_faults(self._backend_control, {pattern: faults})
        await trio.sleep(duration_s)
        await set_faults(self._backend_control, {pattern: {"crash": "no"}})


async def _run_together(*actions: Callable[[], Awaitable[object]]) -> None:
    async with trio.open_nursery() as nursery:
        for action in actions:
            nursery.start_soon(action)


async def set_faults(control: str, faults: Mapping[str, object]) -> None:
    """Set faults at a stand-in's control port; raises RuntimeError on failure."""
    body = msgspec.json.encode(faults)
    answer = await call(control, "POST", "/faults", body=body, limit=5.0)
    if answer is None or answer.status != 200:
        raise RuntimeError(
            f"the stand-in at {control} did not accept {faults}: {answer}"
        )
