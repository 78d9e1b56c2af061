"""The faults of the stand-ins, as their control ports accept and return them."""

from collections import deque
from dataclasses import dataclass, fields, replace
from typing import Annotated, Any, Literal, TypeVar

import msgspec

NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Version = Annotated[int, msgspec.Meta(ge=1)]

MAX_HISTORY_ENTRIES = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """The reply to `GET /load`: calls in service, slots and calls in the queue."""

    in_use: int
    slots: int
    queued: int


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendFaults:
    """The behaviour of one backend server. Shares are of calls, from 0 to 1.

    `silence` acts once: when it is set to true, the connections open at that moment
    never answer again, and the field returns to false. `crash` acts once, too: the
    server crashes at its next call, and the field returns to "no".
    standins/README.md explains each field with an example.
    """

    service_ms: NonNegative = 5.0
    service_law: Literal["fixed", "exponential", "lognormal"] = "fixed"
    service_sigma: NonNegative = 0.5
    straggle_share: Share = 0.0
    straggle_factor: NonNegative = 20.0
    seed: int = 1

    index_versions: tuple[Version, ...] = (1,)
    next_index_versions: tuple[Version, ...] = ()
    switch_after_ms: NonNegative = 0.0
    shards: dict[Version, tuple[str, ...]] | None = None

    dead: bool = False
    silence: bool = False
    crash: Literal["no", "before run", "after run"] = "no"
    restart_ms: NonNegative | None = None
    connect_ms: NonNegative = 0.0
    cold_s: NonNegative = 0.0
    cold_factor: NonNegative = 10.0

    shed: bool = False
    state: Literal["serving", "starting", "draining"] = "serving"
    cancels: bool = True

    health_says: Literal["truth", "serving", "starting", "draining"] = "truth"
    health_lag_ms: NonNegative = 0.0
    load_says: Load | None = None
    load_lag_ms: NonNegative = 0.0

    truncated: Share = 0.0
    wrong_shard: Share = 0.0
    wrong_version: Share = 0.0
    wrong_attempt: Share = 0.0
    crossed: Share = 0.0
    duplicated: Share = 0.0
    http_500: Share = 0.0
    http_500_runs: bool = True

    remember_queries: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformFaults:
    """The behaviour of the platform.

    `lose_replies` is the number of next writes that take effect without a reply,
    `lose_requests` the number of next writes that neither take effect nor get one.
    Each counts down to 0.
    """

    down: bool = False
    silent: bool = False
    delay_ms: NonNegative = 0.0
    stale_reads_ms: NonNegative = 0.0
    stale_watches_ms: NonNegative = 0.0
    hosts_lag_ms: NonNegative = 2_000.0
    lose_replies: Count = 0
    lose_requests: Count = 0
    writes_per_s: NonNegative = 300.0
    reads_per_s: NonNegative = 2_000.0


AnyFaults = TypeVar("AnyFaults", BackendFaults, PlatformFaults)


def change_faults(faults: AnyFaults, change: dict[str, Any]) -> AnyFaults:
    """Return `faults` with the given fields changed.

    Raises ValueError for an unknown field or an invalid value.
    """
    unknown = change.keys() - {field.name for field in fields(faults)}
    if unknown:
        raise ValueError(f"unknown faults: {', '.join(sorted(unknown))}")
    checked = msgspec.convert(change, type(faults), str_keys=True)
    return replace(faults, **{name: getattr(checked, name) for name in change})


def _get_version_switch(faults: BackendFaults) -> tuple[object, ...]:
    return faults.index_versions, faults.next_index_versions, faults.switch_after_ms


class FaultHistory:
    """The current faults and, for endpoints that lag, earlier ones.

    Times are in seconds of trio's clock.
    """

    def __init__(self, *, faults: BackendFaults, now: float):
        self.faults = faults
        self._switch_set_at = now
        self._entries = deque([(now, now, faults)], maxlen=MAX_HISTORY_ENTRIES)

    def set_faults(self, faults: BackendFaults, now: float) -> None:
        """Put `faults` in force from the time `now`."""
        if _get_version_switch(faults) != _get_version_switch(self.faults):
            self._switch_set_at = now
        self.faults = faults
        self._entries.append((now, self._switch_set_at, faults))

    def get_state(self, at: float) -> str:
        """Return the server's state at a time."""
        _, faults = self._find(at)
        return faults.state

    def get_index_versions(self, at: float) -> tuple[int, ...]:
        """Return the index versions that were served at a time."""
        switch_set_at, faults = self._find(at)
        switch_at = switch_set_at + faults.switch_after_ms / 1_000
        if faults.next_index_versions and at >= switch_at:
            return faults.next_index_versions
        return faults.index_versions

    def _find(self, at: float) -> tuple[float, BackendFaults]:
        for since, switch_set_at, faults in reversed(self._entries):
            if since <= at:
                return switch_set_at, faults
        _, switch_set_at, faults = self._entries[0]
        return switch_set_at, faults
