"""Choice of the replica for an attempt, and the slots available to a group."""

from dataclasses import dataclass
from random import Random

from ..state.outcome import Reason
from .admission import Capacity
from .replicas import NEVER, REPORT_LIFETIME_S, Replica

# More than any load: a server that failed the call, or is stalled, is used only if no
# other has a free slot.
TRIED_PENALTY = 1_000.0
# Added to the score of a server in another data centre; as much as calls in all slots
# add. A near server is used while it has a free slot and is not much slower than the
# others, as traffic between data centres is paid for. At 0.6 a seventh of all first
# calls went to another data centre, most of them although a near slot was free.
REMOTE_PENALTY = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Chosen:
    """The replica that gets the attempt, and why."""

    replica: Replica
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Busy:
    """No replica has a free slot for the call now, but one may have later."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NoneLeft:
    """No replica can take the call, now or later, for the given reason."""

    reason: Reason


Choice = Chosen | Busy | NoneLeft
BUSY = Busy()


def choose(
    replicas: list[Replica],
    *,
    version: int,
    excluded: frozenset[Replica],
    tried: frozenset[Replica],
    fastest_slowness: float,
    now: float,
    rng: Random,
    data_centre: str = "",
    allowed: frozenset[str] | None = None,
) -> Choice:
    """Choose the replica for one attempt.

    Servers in `excluded` are not used. Those in `tried` failed this call or are
    stalled, and are used only if no other has a free slot. With `data_centre`, servers
    there are preferred; with `allowed`, only servers in these data centres are used. If
    every server that could serve the call is ejected, all of them are candidates again,
    as the fault may be on this host's side; `why` then says so.
    """
    if allowed is not None:
        replicas = [r for r in replicas if r.server.data_centre in allowed]
    able = replicas
    if version != 0:
        able = [r for r in replicas if version in r.versions or r.may_serve(version)]
    serving = [r for r in able if r not in excluded] if excluded else able
    possible = [r for r in serving if r.state != "draining"]
    note = ""
    if not possible and all(r.state == "draining" for r in able):
        # Fails open when health endpoints report "draining" on every replica, as they
        # may be wrong; a server that really drains refuses the call. Replicas excluded
        # from this attempt count too, so that a hedge is not sent to the one server
        # that drains.
        possible = [r for r in serving if not r.state_from_answer]
        note = " (all reported draining: failing open)"
    if not possible:
        return NoneLeft(reason=_explain_none(replicas, version))
    healthy = [r for r in possible if r.ejected_until <= now]
    if not healthy:
        note += " (all ejected: failing open)"
    best = _pick_best(
        healthy or possible, tried, fastest_slowness, now, rng, data_centre
    )
    if best is None:
        return BUSY
    if data_centre and best.server.data_centre != data_centre:
        note += f" (in {best.server.data_centre})"
    return Chosen(replica=best, why=_explain(possible, best, now) + note)


def _explain_none(replicas: list[Replica], version: int) -> Reason:
    if all(replica.may_serve(version) for replica in replicas):
        return Reason.NO_REPLICA
    return Reason.VERSION_GONE


def _pick_best(
    candidates: list[Replica],
    tried: frozenset[Replica],
    fastest_slowness: float,
    now: float,
    rng: Random,
    data_centre: str,
) -> Replica | None:
    best = None
    best_score = NEVER
    for replica in candidates:
        if replica.backoff_until > now or replica.in_flight >= replica.limit(now):
            continue
        score = replica.score(now, fastest_slowness)
        if tried and replica in tried:
            score += TRIED_PENALTY
        if data_centre and replica.server.data_centre != data_centre:
            score += REMOTE_PENALTY
        if score < best_score or (score == best_score and rng.random() < 0.5):
            best = replica
            best_score = score
    return best


def _explain(possible: list[Replica], best: Replica, now: float) -> str:
    since = now - REPORT_LIFETIME_S
    loads = [
        f"{r.server.name}={r.in_flight}+{r.other_calls}/{r.server.slots}"
        if r.other_calls and r.other_calls_at > since
        else f"{r.server.name}={r.in_flight}/{r.server.slots}"
        for r in possible
    ]
    return f"{' '.join(loads)} -> {best.server.name}"


def measure_capacity(replicas: list[Replica], now: float) -> Capacity:
    """Return the slots that calls may use, whether in use or free."""
    usable = [r for r in replicas if r.state != "draining"]
    accepting = [r for r in usable if r.backoff_until <= now]
    if not accepting:
        opens_at = min((r.backoff_until for r in usable), default=now)
        return Capacity(n_slots=0, opens_in=opens_at - now)
    healthy = [r for r in accepting if r.ejected_until <= now]
    n_slots = sum(r.limit(now) for r in healthy or accepting)
    if n_slots == 0:
        opens_at = min(r.get_reopen_time(now) for r in healthy or accepting)
        opens_in = max(0.0, opens_at - now)
        return Capacity(n_slots=0, opens_in=opens_in, is_cold=True)
    return Capacity(n_slots=n_slots, opens_in=0.0)
