"""Summaries of a group and its backend servers, for logs and the status page."""

from dataclasses import dataclass

from .replicas import Replica


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSummary:
    """State of a backend server as its owner has observed it."""

    name: str
    state: str
    in_flight: int
    slots: int
    slowness: float
    backed_off_ms: float
    ejected_ms: float
    versions: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupSummary:
    """State of a group at its owner; counts are since the scheduler was created."""

    group: str
    n_waiting: int
    n_running: int
    n_in_flight: int
    n_calls: int
    n_refused: int
    n_retries: int
    n_hedges: int
    n_budget_denials: int
    retry_tokens: float
    hedge_tokens: float
    hedge_delay_ms: float | None
    service_time_ms: float | None
    is_stopping: bool
    servers: tuple[ServerSummary, ...]


def summarize_server(replica: Replica, now: float) -> ServerSummary:
    """Return the summary of a server at `now`."""
    return ServerSummary(
        name=replica.server.name,
        state=replica.state,
        in_flight=replica.in_flight,
        slots=replica.server.slots,
        slowness=replica.slowness,
        backed_off_ms=max(0.0, replica.backoff_until - now) * 1000,
        ejected_ms=max(0.0, replica.ejected_until - now) * 1000,
        versions=replica.versions,
    )


def to_ms(seconds: float | None) -> float | None:
    """Convert seconds to milliseconds; None stays None."""
    return None if seconds is None else seconds * 1000
