"""Checks constraints between the branches and options of a settings tree.

These are references between branches, duplicate names and addresses, and values that
are each in range but contradict each other.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from .branch import DEFAULT, Branch, Resolved
from .levels import Level
from .options import MIN_HEDGE_DEADLINE_MS, OPTIONS
from .settings import Address
from .values import AddressValue, Value

_ADDRESSES = tuple(
    option.name for option in OPTIONS if isinstance(option.kind, AddressValue)
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A problem at `path` and what was expected there."""

    path: str
    expected: str


def check_tree(tree: Branch) -> Iterator[Finding]:
    """Yield the problems between the branches of `tree`, in no particular order.

    Values already found invalid are skipped, so that each mistake is reported once.
    """
    yield from _check_presence(tree)
    yield from _check_names(tree)
    yield from _check_addresses(tree)
    yield from _check_control(tree)
    yield from _check_keys(tree)
    for branch in tree.walk():
        match branch.level:
            case Level.SERVICE:
                yield from _check_service(branch)
            case Level.SERVER:
                yield from _check_server(branch, tree)


def _check_presence(tree: Branch) -> Iterator[Finding]:
    branches = list(tree.walk())
    if not all(branch.is_well_formed for branch in branches):
        # The branch that seems missing may be the malformed one, reported already.
        return
    levels = {branch.level for branch in branches}
    if Level.HOST not in levels:
        yield Finding(path="data_centres", expected="expected at least one entry host")
    if Level.SERVICE not in levels:
        yield Finding(path="services", expected="expected at least one service")
    for branch in branches:
        if branch.children:
            continue
        match branch.level:
            case Level.SERVICE:
                what = "expected at least one group"
                yield Finding(path=f"{branch.path}.groups", expected=what)
            case Level.GROUP:
                what = "expected at least one backend server"
                yield Finding(path=f"{branch.path}.servers", expected=what)


def _check_names(tree: Branch) -> Iterator[Finding]:
    """Report peers, and groups, with the same name.

    Log lines, outcomes and shard ownership identify peers and groups by name only;
    two with the same name could not be distinguished.
    """
    peers: dict[str, str] = {}
    groups: dict[str, str] = {}
    for branch in tree.walk():
        match branch.level:
            case Level.HOST | Level.SERVER:
                seen = peers
            case Level.GROUP:
                seen = groups
            case _:
                continue
        first = seen.setdefault(branch.name, branch.path)
        if first != branch.path:
            what = f"expected a unique name, but {first} has it too"
            yield Finding(path=branch.path, expected=what)


def _check_addresses(tree: Branch) -> Iterator[Finding]:
    seen: dict[Address, str] = {}
    for branch in tree.walk():
        for name in _ADDRESSES:
            address = branch.get(name)
            if not isinstance(address, Address):
                continue
            path = f"{branch.path}.{name}" if branch.path else name
            first = seen.setdefault(address, path)
            if first != path:
                what = f"expected a unique address, but {first} has {address} too"
                yield Finding(path=path, expected=what)


def _check_control(tree: Branch) -> Iterator[Finding]:
    for branch in tree.list_children(Level.CONTROL):
        interval = branch.get("probe_interval_ms")
        if not _is_below(branch.get("probe_timeout_ms"), interval, if_missing=True):
            what = f"expected less than probe_interval_ms, {interval}"
            yield _make_finding(branch, "probe_timeout_ms", what)
        if _is_below(branch.get("suspect_ms"), interval, if_missing=False):
            what = f"expected at least probe_interval_ms, {interval}"
            yield _make_finding(branch, "suspect_ms", what)


def _check_keys(tree: Branch) -> Iterator[Finding]:
    """Report keys at two customers: a request with one could be either's."""
    owners: dict[str, str] = {}
    for branch in tree.list_children(Level.CUSTOMER):
        digests = branch.get("key_sha256")
        for number, digest in enumerate(digests if isinstance(digests, tuple) else ()):
            first = owners.setdefault(digest, branch.path)
            if first != branch.path:
                what = f"expected a key of this customer only, but {first} has it too"
                yield Finding(path=f"{branch.path}.key_sha256[{number}]", expected=what)


def _check_service(branch: Branch) -> Iterator[Finding]:
    if branch.get("idempotent") is False:
        for option in OPTIONS:
            if option.extra_calls and _is_below(0.0, branch.get(option.name)):
                what = "expected 0: the service is not idempotent"
                yield _make_finding(branch, option.name, what)
    hedges = _is_below(0.0, branch.get("hedge_budget"))
    if hedges and _is_below(branch.get("deadline_ms"), MIN_HEDGE_DEADLINE_MS):
        what = (
            f"expected at least {MIN_HEDGE_DEADLINE_MS} to allow hedging, "
            "or hedge_budget 0"
        )
        yield _make_finding(branch, "deadline_ms", what)


def _check_server(branch: Branch, tree: Branch) -> Iterator[Finding]:
    known = [child.name for child in tree.list_children(Level.DATA_CENTRE)]
    data_centre = branch.get("data_centre")
    if data_centre is not None and data_centre not in known:
        what = f"expected a data centre of this file: {', '.join(known) or 'none'}"
        yield _make_finding(branch, "data_centre", what)
    connections = branch.get("connections")
    if _is_below(connections, branch.get("slots")):
        what = f"expected at most connections, {connections}"
        yield _make_finding(branch, "slots", what)


def _is_below(
    left: Value | None, right: Value | None, *, if_missing: bool = False
) -> bool:
    """Return whether `left < right`, or `if_missing` if one of them is no number."""
    if isinstance(left, (int, float)) and isinstance(right, (int, float)):
        return left < right
    return if_missing


def _make_finding(branch: Branch, name: str, expected: str) -> Finding:
    found = branch.options[name]
    path = f"{branch.path}.{name}"
    return Finding(
        path=path, expected=f"{expected}, found {_describe_source(found, branch)}"
    )


def _describe_source(found: Resolved, branch: Branch) -> str:
    if found.source == branch.path:
        return f"{found.value}"
    if found.source == DEFAULT:
        return f"{found.value}, the default"
    return f"{found.value}, inherited from {found.source or 'the top'}"
