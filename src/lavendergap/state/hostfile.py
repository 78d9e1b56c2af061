"""The settings file of one gateway host: its addresses and the platform's bounds.

The file is JSON with comments. It holds no routes or servers: these come from the
platform's store and may change while the process runs.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec

from ..errors import Problem, SettingsError
from .customers import LimitBounds
from .settings import Address
from .syntax import parse_text

_Positive = Annotated[float, msgspec.Meta(gt=0)]

DEFAULT_CORES = 0.5
"""The default, in cores: a weak host, so that an unknown one still answers in time."""


class _Bounds(msgspec.Struct, forbid_unknown_fields=True):
    """The platform's bounds as written in the file; shares are shares of requests."""

    drain_ms: int
    stop_within_ms: int
    extra_call_share: float
    extra_call_slack: float
    extra_call_window_s: float
    evacuate_ms: int | None = None
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0
    limit_window_s: _Positive | None = None
    limit_overage: float = 0.0
    limit_slack: float = 0.0


class _HostFile(msgspec.Struct, forbid_unknown_fields=True):
    """The settings file as written.

    The host gets `cpu_share` of a processor whose speed is `cpu_speed` times that of
    the reference core. `regions` maps each data centre to its region. `deployment` is
    the store's address if it is left out.
    """

    name: str
    data_centre: str
    callers: str
    admin: str
    peer_ip: str
    peer_port: int
    store: str
    bounds: _Bounds
    deployment: Annotated[str, msgspec.Meta(min_length=1)] | None = None
    seeds: list[str] = []
    regions: dict[str, str] = {}
    heartbeat_ms: int = 1_200
    cpu_share: _Positive = DEFAULT_CORES
    cpu_speed: _Positive = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayBounds:
    """The platform's bounds, with times in seconds, and its budget of extra calls.

    `evacuate_within_s` is how long after the store acknowledged an evacuation requests
    may still be sent to the data centre; None if the platform has no evacuations. Per
    second, all hosts together may send a cold server `cold_rate_factor` times the rate
    that its service tolerates, plus `cold_rate_slack` requests. `limits` is None if the
    platform states no bound on customers' limits.
    """

    drain_s: float
    stop_within_s: float
    extra_call_share: float
    extra_call_slack: float
    extra_call_window_s: float
    evacuate_within_s: float | None = None
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0
    limits: LimitBounds | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayHost:
    """One gateway host: its addresses, its seeds and the platform's bounds.

    `regions` maps each data centre of the deployment to its region; it is empty if the
    file names none. `seeds` are the hosts contacted first to discover others; some may
    be down. All hosts accept peer channels on the same port. `cores` is the host's
    processing power in reference cores: with 0.5 an answer takes twice as long.
    Hosts drop each other's messages unless their `deployment` is the same.
    """

    name: str
    data_centre: str
    callers: Address
    admin: Address
    peers: Address
    store: Address
    seeds: tuple[Address, ...]
    heartbeat_s: float
    cores: float
    bounds: GatewayBounds
    deployment: str
    regions: Mapping[str, str] = field(default_factory=dict)


def read_host_file(path: Path) -> GatewayHost:
    """Read the settings file; SettingsError names the field and the expected value."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _make_error(path, "", f"cannot be read: {error}") from error
    return parse_host_file(text, file=str(path))


def parse_host_file(text: str, *, file: str) -> GatewayHost:
    """Parse the text of a settings file; `file` is named in error messages.

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
        raise _make_error(Path(file), place.rstrip("`"), message) from error
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
        heartbeat_s=read.heartbeat_ms / 1_000,
        cores=read.cpu_share * read.cpu_speed,
        bounds=GatewayBounds(
            drain_s=bounds.drain_ms / 1_000,
            stop_within_s=bounds.stop_within_ms / 1_000,
            extra_call_share=bounds.extra_call_share,
            extra_call_slack=bounds.extra_call_slack,
            extra_call_window_s=bounds.extra_call_window_s,
            cold_rate_factor=bounds.cold_rate_factor,
            cold_rate_slack=bounds.cold_rate_slack,
            evacuate_within_s=(
                None if bounds.evacuate_ms is None else bounds.evacuate_ms / 1_000
            ),
            limits=_read_limit_bounds(bounds),
        ),
        deployment=read.deployment or read.store,
        regions=read.regions,
    )


def _read_limit_bounds(bounds: _Bounds) -> LimitBounds | None:
    if bounds.limit_window_s is None:
        return None
    return LimitBounds(
        window_s=bounds.limit_window_s,
        overage=bounds.limit_overage,
        slack=bounds.limit_slack,
    )


def _read_address(text: str, file: str, field: str) -> Address:
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise _make_error(Path(file), field, f"expected IP:PORT, found {text!r}")
    return Address(ip=ip, port=int(port))


def _make_error(path: Path, place: str, expected: str) -> SettingsError:
    problem = Problem(file=str(path), path=place, expected=expected)
    return SettingsError(problems=(problem,))
