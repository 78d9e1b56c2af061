"""The settings file of one gateway host: where it stands and what binds it.

The file is JSON with comments. Routes and servers are not in it: they come from the
platform's store and change while the process runs.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec

from ..errors import Problem, SettingsError
from .settings import Address
from .syntax import parse_text

_Positive = Annotated[float, msgspec.Meta(gt=0)]

DEFAULT_CORES = 0.5
"""Assumed of a host that does not say it: a weak one, so that its answers are early."""


class _Bounds(msgspec.Struct, forbid_unknown_fields=True):
    """What the platform allows. Times as named; shares are of the requests."""

    drain_ms: int
    stop_within_ms: int
    extra_call_share: float
    extra_call_slack: float
    extra_call_window_s: float
    evacuate_ms: int | None = None
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0


class _HostFile(msgspec.Struct, forbid_unknown_fields=True):
    """The file as it is written.

    The host gets `cpu_share` of a processor that is `cpu_speed` times one core.
    `regions` names the region of each data centre.
    """

    name: str
    data_centre: str
    callers: str
    admin: str
    peer_ip: str
    peer_port: int
    store: str
    bounds: _Bounds
    seeds: list[str] = []
    regions: dict[str, str] = {}
    heartbeat_ms: int = 1_200
    cpu_share: _Positive = DEFAULT_CORES
    cpu_speed: _Positive = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayBounds:
    """The platform's bounds, in seconds, and its budget of extra calls.

    Nothing is sent to an evacuated data centre later than `evacuate` seconds after the
    store has acknowledged the evacuation; None where the platform has no evacuations.
    In each second all hosts together may send a cold server `cold_rate_factor` times
    the rate that its service tolerates, and `cold_rate_slack` requests more.
    """

    drain: float
    stop_within: float
    extra_call_share: float
    extra_call_slack: float
    extra_call_window: float
    evacuate: float | None = None
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayHost:
    """One gateway host: its addresses, its seeds and what binds it.

    `regions` holds the region of each data centre of the deployment; it is empty where
    the file does not say.
    `seeds` are hosts to try first when it looks for others; they may be down. All
    hosts take peers' channels at the same port. `cores` is how many cores as fast as
    one of today its only thread amounts to: 0.5 takes twice as long for an answer.
    """

    name: str
    data_centre: str
    callers: Address
    admin: Address
    peers: Address
    store: Address
    seeds: tuple[Address, ...]
    heartbeat: float
    cores: float
    bounds: GatewayBounds
    regions: Mapping[str, str] = field(default_factory=dict)


def read_host_file(path: Path) -> GatewayHost:
    """Read the settings file; raise SettingsError that names field and expectation."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _refuse(path, "", f"cannot be read: {error}") from error
    return parse_host_file(text, file=str(path))


def parse_host_file(text: str, *, file: str) -> GatewayHost:
    """Read the text of a settings file; `file` is for the messages.

    >>> try:
    ...     parse_host_file("{}", file="host.jsonc")
    ... except SettingsError as error:
    ...     print(error)
    host.jsonc: (top): Object missing required field `name`
    """
    raw = parse_text(text, file=file)
    try:
        read = msgspec.convert(raw, _HostFile)
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(" - at `$.")
        raise _refuse(Path(file), place.rstrip("`"), message) from error
    bounds = read.bounds
    peers = _read_address(f"{read.peer_ip}:{read.peer_port}", file, "peer_ip")
    return GatewayHost(
        name=read.name,
        data_centre=read.data_centre,
        callers=_read_address(read.callers, file, "callers"),
        admin=_read_address(read.admin, file, "admin"),
        peers=peers,
        store=_read_address(read.store, file, "store"),
        seeds=tuple(
            Address(ip=_read_address(seed, file, "seeds").ip, port=peers.port)
            for seed in read.seeds
        ),
        heartbeat=read.heartbeat_ms / 1_000,
        cores=read.cpu_share * read.cpu_speed,
        bounds=GatewayBounds(
            drain=bounds.drain_ms / 1_000,
            stop_within=bounds.stop_within_ms / 1_000,
            extra_call_share=bounds.extra_call_share,
            extra_call_slack=bounds.extra_call_slack,
            extra_call_window=bounds.extra_call_window_s,
            cold_rate_factor=bounds.cold_rate_factor,
            cold_rate_slack=bounds.cold_rate_slack,
            evacuate=None if bounds.evacuate_ms is None else bounds.evacuate_ms / 1_000,
        ),
        regions=read.regions,
    )


def _read_address(text: str, file: str, field: str) -> Address:
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise _refuse(Path(file), field, f"expected IP:PORT, found {text!r}")
    return Address(ip=ip, port=int(port))


def _refuse(path: Path, place: str, expected: str) -> SettingsError:
    problem = Problem(file=str(path), path=place, expected=expected)
    return SettingsError(problems=(problem,))
