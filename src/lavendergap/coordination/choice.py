"""Which replica gets the next attempt, and how many slots there are to choose from."""

from dataclasses import dataclass
from random import Random

from ..state.outcome import Reason
from .admission import Capacity
from .replicas import NEVER, REPORT_LIFETIME, Replica

# More than any load: a server that failed the call is taken if there is no other.
LAST_RESORT = 1_000.0
# What a server in another data centre has to be better by, in slots in use as a share
# of its slots: as much as all slots of an idle one. So a near server is used while it
# has a free slot and is not twice as slow as usual; bytes between data centres are
# paid for, and a free slot is no faster for being in another one. At 0.6 a seventh of
# all first calls went to another data centre, most of them past a free near slot.
REMOTE_PENALTY = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Chosen:
    """The replica that gets the attempt, and why."""

    replica: Replica
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Busy:
    """No replica has a free slot for the call now, but one may yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NoneLeft:
    """No replica can take the call, now or later; `reason` says why."""

    reason: Reason


Choice = Chosen | Busy | NoneLeft
BUSY = Busy()


def choose(
    replicas: list[Replica],
    *,
    version: int,
    excluded: frozenset[Replica],
    tried: frozenset[Replica],
    typical: float,
    now: float,
    dice: Random,
    data_centre: str = "",
    allowed: frozenset[str] | None = None,
) -> Choice:
    """Choose the replica for one attempt.

    Servers in `excluded` refused this very call; those in `tried` failed it and are
    taken only if no other has a free slot. With `data_centre`, servers there are
    preferred; with `allowed`, only those in these data centres are taken. When
    failures have ejected every server that could serve, all of them are candidates
    again: the fault may be on this host's side, and an attempt tells more than waiting
    does. `why` then says so.
    """
    if allowed is not None:
        replicas = [r for r in replicas if r.server.data_centre in allowed]
    able = [r for r in replicas if version in r.versions or r.may_serve(version)]
    serving = [r for r in able if r not in excluded]
    possible = [r for r in serving if r.state != "draining"]
    note = ""
    if not possible and all(r.state == "draining" for r in able):
        # A health endpoint that wrongly says "draining" on every replica would empty
        # the group. A server that truly drains refuses, and its answer settles it.
        # On every replica, those left out for this attempt too: a hedge would else
        # bring work to the one server that leaves.
        possible = [r for r in serving if not r.state_from_answer]
        note = " (all said to drain: failing open)"
    if not possible:
        return NoneLeft(reason=_explain_none(replicas, version))
    healthy = [r for r in possible if r.ejected_until <= now]
    if not healthy:
        note += " (all ejected: failing open)"
    best = _pick_best(healthy or possible, tried, typical, now, dice, data_centre)
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
    typical: float,
    now: float,
    dice: Random,
    data_centre: str,
) -> Replica | None:
    best = None
    best_score = NEVER
    for replica in candidates:
        if replica.backoff_until > now or replica.in_flight >= replica.limit(now):
            continue
        score = replica.score(now, typical)
        if tried and replica in tried:
            score += LAST_RESORT
        if data_centre and replica.server.data_centre != data_centre:
            score += REMOTE_PENALTY
        if score < best_score or (score == best_score and dice.random() < 0.5):
            best = replica
            best_score = score
    return best


def _explain(possible: list[Replica], best: Replica, now: float) -> str:
    since = now - REPORT_LIFETIME
    loads = [
        f"{r.server.name}={r.in_flight}+{r.foreign}/{r.server.slots}"
        if r.foreign and r.foreign_at > since
        else f"{r.server.name}={r.in_flight}/{r.server.slots}"
        for r in possible
    ]
    return f"{' '.join(loads)} -> {best.server.name}"


def measure_capacity(replicas: list[Replica], now: float) -> Capacity:
    """Count the slots that calls can hope for, in use or not."""
    usable = [r for r in replicas if r.state != "draining"]
    welcome = [r for r in usable if r.backoff_until <= now]
    if not welcome:
        opens_at = min((r.backoff_until for r in usable), default=now)
        return Capacity(n_slots=0, opens_in=opens_at - now)
    healthy = [r for r in welcome if r.ejected_until <= now]
    n_slots = sum(r.limit(now) for r in healthy or welcome)
    if n_slots == 0:
        opens_at = min(r.get_opening(now) for r in healthy or welcome)
        opens_in = max(0.0, opens_at - now)
        return Capacity(n_slots=0, opens_in=opens_in, is_cold=True)
    return Capacity(n_slots=n_slots, opens_in=0.0)
