"""Explains from the log lines of one request why it got a 401 or a 429."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ..protocol.loglines import LogLine
from ..state.outcome import Reason

LIMIT_EVENT = "limit reached"
_PAGE = "docs/operators/customers.md"

FULL_USE_SHARE = 0.9
"""The share of the rate from which use counts as full: the counts in lines are those of
about one window, and a bucket that was empty at its start has no burst to add."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Why a request was refused, and what the operator can do, a sentence each."""

    cause: str
    remedy: str


def explain_refusal(
    lines: Sequence[LogLine], limit_lines: Iterable[LogLine]
) -> Refusal | None:
    """Return why a request got a 401, a 429 or no permit, or None if it did not.

    `lines` are the request's lines on all hosts. `limit_lines` are "limit reached"
    lines of any requests, since these do not name the request.
    """
    for line in lines:
        match line.event:
            case "key refused":
                return _explain_key(line)
            case "done" if line.fields.get("reason") == Reason.OVER_LIMIT:
                return _explain_limit(line, _find_nearest(line, limit_lines))
            case "done" if line.fields.get("reason") == Reason.NOT_READY:
                customer = line.fields.get("customer", "?")
                return Refusal(
                    cause=f"503 from {line.host}: no host that it reached counts in "
                    f"full for {customer}, and the reserve was used up.",
                    remedy="See with `lavendergap customers` who counts: hosts settle "
                    "for some seconds after a start or a silent loss. If it goes on, "
                    f"look at the way from {line.host} to the others; {_PAGE}.",
                )
    return None


def _find_nearest(done: LogLine, limit_lines: Iterable[LogLine]) -> LogLine | None:
    """Return the last line of the request's host and customer before its end.

    Times are in one format, so that they sort as text. The line of the request itself
    may have been left out, as only some are logged in each second.
    """
    customer = done.fields.get("customer")
    found = [
        line
        for line in limit_lines
        if line.host == done.host
        and line.fields.get("customer") == customer
        and line.time <= done.time
    ]
    return max(found, key=lambda line: line.time, default=None)


def _explain_key(line: LogLine) -> Refusal:
    match str(line.fields.get("why", "")):
        case "none":
            problem = "the request had no key"
            remedy = "The caller has to send its key, or the route has to be `public`."
        case "several":
            problem = "the request had two different keys"
            remedy = "The caller, or a proxy before the hosts, has to send one key."
        case _:
            problem = "no customer has the key that the request had"
            remedy = (
                f"If the key should be valid, see in {_PAGE} whether {line.host} has "
                "the newest manifest and whether a version removed the key."
            )
    route = line.fields.get("route", "?")
    return Refusal(
        cause=f"401 from {line.host}, route {route}: {problem}.", remedy=remedy
    )


def _explain_limit(done: LogLine, limit: LogLine | None) -> Refusal:
    customer = done.fields.get("customer", "?")
    counted_by = done.fields.get("peer") or "?"
    cause = f"429 from {done.host} at {done.time}: {customer} was over its limit"
    if limit is None:
        return Refusal(
            cause=f"{cause}, as counted by {counted_by}.",
            remedy=f"Compare its use with its limit: `lavendergap customers`, {_PAGE}.",
        )
    fields = limit.fields
    rate, burst = _read(fields, "rate_per_s"), _read(fields, "burst")
    window_s, n_used = _read(fields, "window_s"), _read(fields, "n_used")
    age_ms = _read(fields, "age_ms")
    cause += (
        f" of {rate:g} per second and {burst:g} at once. At {limit.time}, "
        f"{fields.get('host', counted_by)} had counted {n_used:g} requests in "
        f"{window_s:g} s; {done.host} had known this for {age_ms:g} ms."
    )
    if n_used < rate * window_s * FULL_USE_SHARE:
        remedy = (
            "That is below the limit: see with `lavendergap customers` whether "
            f"{counted_by} counts in full, in its `counting started` lines since when, "
            f"and {_PAGE}."
        )
    else:
        remedy = (
            "The customer waits for the time in Retry-After, or an operator raises its "
            f"`rate_per_s` or `burst`; {_PAGE}."
        )
    return Refusal(cause=cause, remedy=remedy)


def _read(fields: Mapping[str, Any], name: str) -> float:
    value = fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0
