"""Queries the status of entry hosts over their admin ports."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
import trio

from ..entry.status import GatewayStatus, HostStatus
from ..state.settings import Address, Host
from ..transport.httpclient import FailedCall, HttpClient

STATUS_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreachable:
    """A host without a valid status, and the reason."""

    reason: str
    state: str = "unreachable"


HostAnswer = HostStatus | Unreachable


GatewayAnswer = GatewayStatus | Unreachable

_Status = TypeVar("_Status", HostStatus, GatewayStatus)


async def fetch_status(host: Host) -> HostAnswer:
    """Return the status of `host`, within `STATUS_TIMEOUT_S`."""
    status = await _fetch(host.admin, HostStatus)
    if isinstance(status, HostStatus) and status.host != host.name:
        return Unreachable(reason=f"another host, {status.host}, answers there")
    return status


async def _fetch(address: Address, kind: type[_Status]) -> _Status | Unreachable:
    client = HttpClient(address=address)
    try:
        reply = await client.call("GET", "/status", limit_s=STATUS_TIMEOUT_S)
    finally:
        await client.aclose()
    if isinstance(reply, FailedCall):
        return Unreachable(reason=f"{reply.step}: {reply.reason}")
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Unreachable(reason=f"invalid status, HTTP {reply.status}: {error}")


async def fetch_all(hosts: Iterable[Host]) -> dict[str, HostAnswer]:
    """Query all hosts concurrently; return their status by name."""
    found: dict[str, HostAnswer] = {}

    async def fetch(host: Host) -> None:
        found[host.name] = await fetch_status(host)

    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(fetch, host)
    return found


async def fetch_gateways(addresses: Iterable[Address]) -> dict[str, GatewayAnswer]:
    """Query gateway hosts concurrently; return their status by address."""
    found: dict[str, GatewayAnswer] = {}

    async def fetch(address: Address) -> None:
        found[str(address)] = await _fetch(address, GatewayStatus)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(fetch, address)
    return found
