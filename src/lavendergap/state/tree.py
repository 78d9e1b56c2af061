"""Loads a settings file into `Settings`, or reports all its problems."""

from pathlib import Path
from typing import TypeVar

from ..errors import Problem, SettingsError
from .branch import Branch, read_tree
from .check import check_tree
from .customers import Customer, CustomerTable, LimitBounds
from .levels import Level
from .options import list_options
from .settings import (
    Address,
    Control,
    GiveUpStragglers,
    Group,
    Host,
    Server,
    Service,
    Settings,
    WaitForCoverage,
)
from .syntax import MAX_SETTINGS_BYTES

_T = TypeVar("_T")
_MAX_PROBLEMS = 50
"""Keeps a malformed file from flooding the terminal."""


def load_settings(path: str | Path) -> Settings:
    """Return the settings in the file at `path`, as version 0.

    Raises SettingsError with every problem found, also if the file is unreadable.
    """
    return parse_settings(read_file(path), file=str(path))


def read_file(path: str | Path) -> bytes:
    """Return the file's bytes, up to one more than allowed, so that excess is detected.

    Raises SettingsError if it cannot be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as error:
        what = f"cannot be read: {error.strerror or error}; expected a settings file"
        problem = Problem(file=str(path), path="", expected=what)
        raise SettingsError(problems=(problem,)) from None


def parse_settings(text: str | bytes, *, file: str, version: int = 0) -> Settings:
    """Return the settings in `text`; `file` is named in the problems.

    Raises SettingsError with every problem found, up to a limit.

        settings = parse_settings(text, file="cedarlight.jsonc")
        settings.get_service("scheduler").deadline_ms
    """
    return build_settings(parse_tree(text, file=file), version=version)


def parse_tree(text: str | bytes, *, file: str) -> Branch:
    """Return the validated tree in `text`, with the source of each value.

    Raises SettingsError as `parse_settings` does.
    """
    problems: list[Problem] = []
    tree = read_tree(text, file=file, report=problems.append)
    for finding in check_tree(tree):
        problem = Problem(file=file, path=finding.path, expected=finding.expected)
        problems.append(problem)
    if problems:
        raise SettingsError(problems=_truncate_problems(problems, file=file))
    return tree


def _truncate_problems(problems: list[Problem], *, file: str) -> tuple[Problem, ...]:
    n_more = len(problems) - _MAX_PROBLEMS
    if n_more <= 0:
        return tuple(problems)
    last = Problem(file=file, path="", expected=f"{n_more} more problems, not shown")
    return (*problems[:_MAX_PROBLEMS], last)


def build_settings(tree: Branch, *, version: int) -> Settings:
    """Build the settings from a validated tree."""
    return Settings(
        deployment=_get_typed(tree, "deployment", str),
        version=version,
        platform=_get_typed(tree, "platform", Address),
        hosts=tuple(
            _build_host(branch, data_centre=data_centre.name)
            for data_centre in tree.list_children(Level.DATA_CENTRE)
            for branch in data_centre.children
        ),
        services=tuple(
            _build_service(branch) for branch in tree.list_children(Level.SERVICE)
        ),
        control=_build_control(tree.list_children(Level.CONTROL)[0]),
        customers=_build_customers(tree.list_children(Level.CUSTOMER)),
        limits=LimitBounds(
            window_s=_get_typed(tree, "limit_window_s", float),
            overage=_get_typed(tree, "limit_overage", float),
            slack=_get_typed(tree, "limit_slack", float),
        ),
    )


def _build_control(branch: Branch) -> Control:
    names = [option.name for option in list_options(Level.CONTROL)]
    return Control(**{name: _get_typed(branch, name, int) for name in names})


def _build_customers(branches: tuple[Branch, ...]) -> CustomerTable | None:
    if not branches:
        return None
    return CustomerTable(
        customers={
            branch.name: Customer(
                name=branch.name,
                priority=_get_typed(branch, "priority", int),
                rate_per_s=_get_typed(branch, "rate_per_s", float),
                burst=_get_typed(branch, "burst", float),
                share_weight=_get_typed(branch, "share_weight", float),
            )
            for branch in branches
        },
        names_by_digest={
            bytes.fromhex(digest): branch.name
            for branch in branches
            for digest in _get_typed(branch, "key_sha256", tuple)
        },
    )


def _build_host(branch: Branch, *, data_centre: str) -> Host:
    return Host(
        name=branch.name,
        data_centre=data_centre,
        callers=_get_typed(branch, "callers", Address),
        peers=_get_typed(branch, "peers", Address),
        admin=_get_typed(branch, "admin", Address),
    )


def _build_service(branch: Branch) -> Service:
    policy = branch.get("stragglers")
    assert isinstance(policy, (GiveUpStragglers, WaitForCoverage))
    return Service(
        name=branch.name,
        idempotent=_get_typed(branch, "idempotent", bool),
        groups=tuple(
            Group(
                name=group.name,
                servers=tuple(_build_server(server) for server in group.children),
            )
            for group in branch.children
        ),
        deadline_ms=_get_typed(branch, "deadline_ms", int),
        stragglers=policy,
        hedge_budget=_get_typed(branch, "hedge_budget", float),
        hedge_after_quantile=_get_typed(branch, "hedge_after_quantile", float),
        retry_budget=_get_typed(branch, "retry_budget", float),
        queue_limit=_get_typed(branch, "queue_limit", int),
        max_body_bytes=_get_typed(branch, "max_body_bytes", int),
        weight=_get_typed(branch, "weight", float),
        public=_get_typed(branch, "public", bool),
    )


def _build_server(branch: Branch) -> Server:
    return Server(
        name=branch.name,
        address=_get_typed(branch, "address", Address),
        data_centre=_get_typed(branch, "data_centre", str),
        slots=_get_typed(branch, "slots", int),
        connections=_get_typed(branch, "connections", int),
    )


def _get_typed(branch: Branch, name: str, kind: type[_T]) -> _T:
    value = branch.get(name)
    # Validation rejects trees in which a value is missing or of another type.
    assert isinstance(value, kind), f"{branch.path}.{name}"
    return value
