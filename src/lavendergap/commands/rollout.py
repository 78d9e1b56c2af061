"""Waits until a version of the settings is in force on every entry host."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from ..entry.status import HostStatus
from ..state.settings import Host
from .hosts import HostAnswer, fetch_status

POLL_INTERVAL_S = 0.25
MAX_CONCURRENT_CALLS = 50
"""Keeps the number of open sockets of a large fleet below the limit of open files."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Rollout:
    """The hosts that have a version in force, and why the others do not."""

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
    """Poll `hosts` until all have `version` or a newer one in force.

    Each edit is based on the previous one, so that a newer version includes this one
    if the platform has it. `read_newest` returns the platform's version, or None if
    the platform does not answer. `report` is called after every change. Returns the
    last state after at most `limit_s` seconds.
    """
    waiting = {host.name: "not asked yet" for host in hosts}
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    def describe() -> Rollout:
        in_force = tuple(host.name for host in hosts if host.name not in waiting)
        return Rollout(version=version, in_force=in_force, waiting=dict(waiting))

    async def poll(host: Host) -> None:
        async with limiter:
            answer = await fetch_status(host)
        why = _explain_missing(answer, version)
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
                        nursery.start_soon(poll, host)
            if describe() != last:
                last = describe()
                report(last)
            if waiting:
                await trio.sleep(POLL_INTERVAL_S)
    return describe()


def _explain_missing(answer: HostAnswer, version: int) -> str:
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
    """Return why a host with a newer version may not have this edit, or "".

    A platform restored from a backup counts from a lower version. Hosts keep their
    newer settings, and an edit that no host accepts would be reported as in force.
    """
    if newest is None:
        return f"version {found}; not confirmed, since the platform does not answer"
    if found > newest:
        return (
            f"version {found}, newer than the platform's {newest}: was the platform "
            "restored from a backup?"
        )
    return ""
