"""Queries the status of entry hosts over their admin ports."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import trio

from ..entry.status import HostStatus
from ..state.settings import Host
from ..transport.httpclient import FailedCall, HttpClient

STATUS_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreachable:
    """A host without a valid status, and the reason."""

    reason: str
    state: str = "unreachable"


HostAnswer = HostStatus | Unreachable


async def fetch_status(host: Host) -> HostAnswer:
    """Return the status of `host`, within `STATUS_TIMEOUT_S`."""
    client = HttpClient(address=host.admin)
    try:
        reply = await client.call("GET", "/status", limit_s=STATUS_TIMEOUT_S)
    finally:
        await client.aclose()
    if isinstance(reply, FailedCall):
        return Unreachable(reason=f"{reply.step}: {reply.reason}")
    try:
        status = msgspec.json.decode(reply.body, type=HostStatus)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Unreachable(reason=f"invalid status, HTTP {reply.status}: {error}")
    if status.host != host.name:
        return Unreachable(reason=f"another host, {status.host}, answers there")
    return status


async def fetch_all(hosts: Iterable[Host]) -> dict[str, HostAnswer]:
    """Query all hosts concurrently; return their status by name."""
    found: dict[str, HostAnswer] = {}

    async def fetch(host: Host) -> None:
        found[host.name] = await fetch_status(host)

    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(fetch, host)
    return found
