"""Measures the time from acceptance of a settings edit until all hosts apply it.

Real entry processes run on this machine. An edit is accepted when the platform's 200
arrives, and in force on a host at the time of the host's log line. Edits are made
without faults, with one or all watch holders killed at acceptance, and with the
platform down just after it. `make measure-settings` runs it.
"""

from __future__ import annotations

import re
import statistics
import time
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from typing import Any

import click
import msgspec
import trio
from rich.table import Table

from lavendergap.coordination.watchers import choose_watch_holders
from lavendergap.protocol.objects import (
    Edit,
    decode_settings_object,
    encode_settings_object,
    resolve_text,
)
from lavendergap.state.member import Member
from lavendergap.state.tree import parse_settings
from lavendergap.transport.platform import Found, PlatformClient, Stored
from standins.fleet import parse_address

from .bookers import call
from .entries import CALL_LIMIT_S, EntryFleet, has_memory_for, open_fleet
from .figures import Value, make_figures, report
from .processes import Running

FLEET_SIZES = (7, 25, 50, 100)
EDITS_BY_FLEET_SIZE = {7: 4, 25: 4, 50: 3, 100: 3}
KEY = "settings/lab"
WAIT_LIMIT_S = 30.0
TARGET_S = 13.0
POLL_INTERVAL_S = 0.1
SETTLE_S = 2.0
N_WATCH_HOLDERS = 2


class Trouble(StrEnum):
    """The fault at the time of acceptance."""

    NONE = "nothing"
    HOLDER = "a watch holder killed"
    PLATFORM = "platform down"
    ALL_HOLDERS = "all watch holders killed"


@dataclass(frozen=True, kw_only=True, slots=True)
class Trial:
    """One edit: the seconds until it was in force on the last and the median host."""

    n_hosts: int
    trouble: Trouble
    worst_s: float
    median_s: float
    n_missing: int


@dataclass(kw_only=True, slots=True)
class HostLog:
    """The versions that one process has logged as in force, with their times.

    `n_read` counts the bytes of the log read so far.
    """

    running: Running
    n_read: int = 0
    versions: list[tuple[int, float]] = field(default_factory=list)
    n_reverted: int = 0

    def read_new_lines(self) -> None:
        """Read the log lines written since the last call."""
        with self.running.stderr.open("rb") as file:
            file.seek(self.n_read)
            data = file.read()
        whole, newline, _ = data.rpartition(b"\n")
        self.n_read += len(whole) + len(newline)
        for line in whole.splitlines():
            if b'"document activated"' in line:
                self._record(msgspec.json.decode(line))

    def _record(self, line: dict[str, Any]) -> None:
        if line.get("document") != KEY:
            return
        version = line["version"]
        if self.versions and version <= self.versions[-1][0]:
            self.n_reverted += 1
        at = datetime.fromisoformat(line["time"]).timestamp()
        self.versions.append((version, at))

    def find_time(self, version: int) -> float | None:
        """Return when `version` or a newer one first came into force (Unix time)."""
        return next((at for each, at in self.versions if each >= version), None)


class Experiment:
    """Makes edits on one fleet and records their trials."""

    def __init__(self, *, fleet: EntryFleet) -> None:
        self.trials: list[Trial] = []
        self.n_reverted = 0
        self.n_late_restarts = 0
        self._fleet = fleet
        self._logs: dict[str, HostLog] = {}
        self._n_edits = 0

    async def run(self, n_edits: int) -> None:
        """Make `n_edits` edits with each kind of fault."""
        address = parse_address(self._fleet.deployment.platform)
        async with PlatformClient(address=address) as platform:
            for trouble in Trouble:
                for _ in range(n_edits):
                    await self._try_edit(platform, trouble)
        for log in self._logs.values():
            self.n_reverted += log.n_reverted

    async def _try_edit(self, platform: PlatformClient, trouble: Trouble) -> None:
        hosts_to_kill = self._choose_hosts_to_kill(trouble)
        for name in hosts_to_kill:
            # Paused first, so that it cannot read the edit before it is killed.
            self._fleet.running[name].pause()
        version, accepted_at = await self._edit(platform)
        if trouble is Trouble.PLATFORM:
            await self._set_platform(down=True)
        for name in hosts_to_kill:
            await self._fleet.running[name].kill()
        trial = await self._wait(version, accepted_at, trouble, hosts_to_kill)
        self.trials.append(trial)
        print(trial, flush=True)
        await self._set_platform(down=False)
        if hosts_to_kill:
            await self._restart(hosts_to_kill, version)
        await self._check_status(version)
        await trio.sleep(SETTLE_S)

    async def _edit(self, platform: PlatformClient) -> tuple[int, float]:
        found = await platform.get(KEY)
        assert isinstance(found, Found), found
        value = decode_settings_object(found.value, key=KEY)
        self._n_edits += 1
        text, n_changed = re.subn(
            r'("queue_limit":) \d+', rf"\1 {100 + self._n_edits}", value.text
        )
        if not n_changed:
            text = value.text.replace(
                "{", f'{{"queue_limit": {100 + self._n_edits},', 1
            )
        settings = parse_settings(text, file="lab", version=0)
        edit = Edit(
            id=f"edit-{self._n_edits}",
            author="lab",
            at=datetime.now().isoformat(),
            message="measure",
            changed=("queue_limit",),
            base=found.version,
        )
        edited = value.add_edit(edit, text=text, resolved=resolve_text(text, settings))
        stored = await platform.put(
            KEY, encode_settings_object(edited), base=found.version
        )
        assert isinstance(stored, Stored), stored
        return stored.version, time.time()

    async def _wait(
        self,
        version: int,
        accepted_at: float,
        trouble: Trouble,
        hosts_to_kill: list[str],
    ) -> Trial:
        names = [each for each in self._fleet.running if each not in hosts_to_kill]
        with trio.move_on_after(WAIT_LIMIT_S):
            while not all(self._find_time(name, version) for name in names):
                await trio.sleep(POLL_INTERVAL_S)
        times = [self._find_time(name, version) for name in names]
        seconds = sorted(max(0.0, at - accepted_at) for at in times if at is not None)
        n_missing = len(names) - len(seconds)
        return Trial(
            n_hosts=len(self._fleet.hosts),
            trouble=trouble,
            worst_s=WAIT_LIMIT_S if n_missing else seconds[-1],
            median_s=statistics.median(seconds) if seconds else WAIT_LIMIT_S,
            n_missing=n_missing,
        )

    def _find_time(self, name: str, version: int) -> float | None:
        running = self._fleet.running[name]
        log = self._logs.get(running.name)
        if log is None:
            log = self._logs[running.name] = HostLog(running=running)
        found = log.find_time(version)
        if found is None:
            log.read_new_lines()
            found = log.find_time(version)
        return found

    async def _restart(self, names: list[str], version: int) -> None:
        """Restart killed hosts; a ready one must have the accepted version."""
        await self._fleet.start(names)
        for name in names:
            if self._find_time(name, version) is None:
                self.n_late_restarts += 1
        await self._fleet.join()

    async def _check_status(self, version: int) -> None:
        """Also compare the version that each process reports at /status."""
        limiter = trio.CapacityLimiter(10)

        async def check(admin: str) -> None:
            async with limiter:
                answer = await call(admin, "GET", "/status", limit=CALL_LIMIT_S)
            if answer is None or answer.json["settings"]["version"] < version:
                self.n_reverted += 1

        if self.trials[-1].n_missing:
            return
        async with trio.open_nursery() as nursery:
            for host in self._fleet.hosts:
                nursery.start_soon(check, host.admin)

    async def _set_platform(self, *, down: bool) -> None:
        body = msgspec.json.encode({"down": down})
        answer = await call(self._fleet.platform_control, "POST", "/faults", body=body)
        assert answer is not None and answer.status < 300

    def _choose_hosts_to_kill(self, trouble: Trouble) -> list[str]:
        members = [
            Member(
                name=host.name,
                data_centre=host.data_centre,
                peers=parse_address(host.peers),
                incarnation=1,
            )
            for host in self._fleet.hosts
        ]
        holders = choose_watch_holders(members, N_WATCH_HOLDERS)
        match trouble:
            case Trouble.HOLDER:
                return [holders[self._n_edits % N_WATCH_HOLDERS]]
            case Trouble.ALL_HOLDERS:
                return list(holders)
        return []


def make_table(trials: list[Trial]) -> Table:
    """Return a table with a row for each fleet size and kind of fault."""
    table = Table("hosts", "trouble", "edits", "worst s", "median s", "missing")
    for n_hosts, trouble in dict.fromkeys((t.n_hosts, t.trouble) for t in trials):
        selected = [t for t in trials if (t.n_hosts, t.trouble) == (n_hosts, trouble)]
        table.add_row(
            str(n_hosts),
            trouble.value,
            str(len(selected)),
            f"{max(t.worst_s for t in selected):.2f}",
            f"{statistics.median(t.median_s for t in selected):.3f}",
            str(sum(t.n_missing for t in selected)),
        )
    return table


def compute_figures(
    trials: list[Trial], n_reverted: int, n_missing: int
) -> dict[str, float]:
    """Return the worst times by size and fault, and the summary figures."""
    figures: dict[str, float] = {}
    for trial in trials:
        key = f"{trial.trouble.name.lower()}_worst_s_at_{trial.n_hosts}"
        figures[key] = max(figures.get(key, 0.0), trial.worst_s)
    figures["worst_s"] = max(trial.worst_s for trial in trials)
    figures["reverted"] = n_reverted
    figures["missing"] = n_missing
    return figures


async def measure(sizes: tuple[int, ...], *, is_saved: bool) -> None:
    """Measure each fleet size that the machine has enough memory for, and report."""
    trials: list[Trial] = []
    n_reverted = 0
    n_missing = 0
    done: list[int] = []
    for n_hosts in sizes:
        if not has_memory_for(n_hosts):
            print(f"{n_hosts} hosts skipped: they would use half of the memory")
            continue
        async with open_fleet(n_hosts) as fleet:
            experiment = Experiment(fleet=fleet)
            await experiment.run(EDITS_BY_FLEET_SIZE.get(n_hosts, 2))
        trials += experiment.trials
        n_reverted += experiment.n_reverted
        n_missing += experiment.n_late_restarts
        n_missing += sum(trial.n_missing for trial in experiment.trials)
        done.append(n_hosts)
    figures = compute_figures(trials, n_reverted, n_missing)
    conditions: dict[str, Value] = {
        "sizes": " ".join(map(str, done)),
        "edits": len(trials),
    }
    report(
        make_figures("settings", figures, conditions=conditions),
        make_table(trials),
        is_saved=is_saved,
    )
    last = ("worst_s", "reverted", "missing")
    print(" ".join(f"{name}={figures[name]:.4g}" for name in last))


@click.command()
@click.argument("sizes", type=int, nargs=-1)
def main(sizes: tuple[int, ...]) -> None:
    """Measure at SIZES entry processes; only the default sizes are saved."""
    trio.run(lambda: measure(sizes or FLEET_SIZES, is_saved=not sizes))


if __name__ == "__main__":
    main()
