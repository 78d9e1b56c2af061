"""Waits until every entry host has a version of the settings in force."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from ..entry.status import HostStatus
from ..state.settings import Host
from .hosts import HostAnswer, fetch_status

POLL_S = 0.25
MAX_CALLS = 50
"""Hosts asked at once; a fleet of hundreds must not meet the limit of open files."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Rollout:
    """Who has the version in force, and why each of the others does not."""

    version: int
    in_force: tuple[str, ...]
    waiting: dict[str, str]

    def __str__(self) -> str:
        n_hosts = len(self.in_force) + len(self.waiting)
        text = f"version {self.version} in force on {len(self.in_force)} of {n_hosts}"
        waiting = ", ".join(f"{name} ({why})" for name, why in self.waiting.items())
        return f"{text}; not on {waiting}" if waiting else text


async def wait_for_rollout(
    hosts: tuple[Host, ...],
    version: int,
    *,
    limit_s: float,
    read_newest: Callable[[], Awaitable[int | None]],
    report: Callable[[Rollout], None],
) -> Rollout:
    """Ask `hosts` until all have `version`, or a newer one, in force.

    Each edit is made from the one before, so that a newer version holds this one
    too, if the platform has it: `read_newest` returns the version that it holds,
    or None where it cannot be asked. `report` is told whenever something has
    changed. Returns the last state after `limit_s` seconds at the latest.
    """
    waiting = {host.name: "not asked yet" for host in hosts}
    limiter = trio.CapacityLimiter(MAX_CALLS)

    def describe() -> Rollout:
        in_force = tuple(host.name for host in hosts if host.name not in waiting)
        return Rollout(version=version, in_force=in_force, waiting=dict(waiting))

    async def ask(host: Host) -> None:
        async with limiter:
            answer = await fetch_status(host)
        why = _explain(answer, version)
        if not why and isinstance(answer, HostStatus):
            found = answer.settings.version
            if found > version:
                why = _explain_newer(found, await read_newest())
        waiting[host.name] = why
        if not why:
            del waiting[host.name]

    last = describe()
    with trio.move_on_after(limit_s):
        while waiting:
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    if host.name in waiting:
                        nursery.start_soon(ask, host)
            if describe() != last:
                last = describe()
                report(last)
            if waiting:
                await trio.sleep(POLL_S)
    return describe()


def _explain(answer: HostAnswer, version: int) -> str:
    """Return why the host does not have `version` in force, or ""."""
    match answer:
        case HostStatus(settings=settings):
            if settings.version >= version:
                return ""
            if settings.problem:
                return f"version {settings.version}; {settings.problem}"
            return f"version {settings.version}"
        case _:
            return f"unreachable: {answer.reason}"


def _explain_newer(found: int, newest: int | None) -> str:
    """Return why a host with a newer version may lack this edit, or "".

    A platform restored from a backup counts from a lower version. Hosts keep what
    they have, so that "in force" would be said of an edit that no host will take.
    """
    if newest is None:
        return f"version {found}; the platform cannot be asked whether it holds this"
    if found > newest:
        return (
            f"version {found}, newer than the platform's {newest}: was the platform "
            "set back?"
        )
    return ""
