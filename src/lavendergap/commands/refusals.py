"""Explains from the log lines of one request why it got a 401 or a 429."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..protocol.loglines import LogLine
from ..state.outcome import Reason

_PAGE = "docs/operators/customers.md"


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Why a request was refused, and what the operator can do, a sentence each."""

    cause: str
    remedy: str


def explain_refusal(lines: Sequence[LogLine]) -> Refusal | None:
    """Return the cause of a request's 401 or 429, or None if it got neither.

    `lines` are the request's lines on all hosts.
    """
    over_limit = None
    for line in lines:
        match line.event:
            case "key refused":
                return _explain_key(line)
            case "limit reached":
                return _explain_limit(line)
            case "done" if line.fields.get("reason") == Reason.OVER_LIMIT:
                over_limit = line
    if over_limit is None:
        return None
    host, second = over_limit.host, over_limit.time[:19]
    return Refusal(
        cause=f"429 from {host}: its customer was over the limit. The line that names "
        "the customer was left out, as when many are refused in one second.",
        remedy=f"Look for `limit reached` lines of {host} at about {second}.",
    )


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


def _explain_limit(line: LogLine) -> Refusal:
    fields = line.fields
    customer = fields.get("customer", "?")
    limit, used = fields.get("limit"), fields.get("used")
    counted_by = fields.get("counted_by") or "no host"
    cause = (
        f"429 from {line.host}: {customer} had used {used} of its limit of {limit}, "
        f"as counted by {counted_by} {fields.get('age_ms', '?')} ms before."
    )
    is_below = (
        isinstance(limit, int | float)
        and isinstance(used, int | float)
        and used < limit
    )
    if is_below:
        remedy = (
            f"It was refused below its limit: see with `lavendergap customers` whether "
            f"{counted_by} counts in full, and {_PAGE}."
        )
    else:
        remedy = (
            "The customer waits for the time in Retry-After, or an operator raises its "
            f"`rate_per_s` or `burst`; {_PAGE}."
        )
    return Refusal(cause=cause, remedy=remedy)
