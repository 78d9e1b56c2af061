"""Turns a settings file into the settings in force, or says all that is wrong."""

from pathlib import Path
from typing import TypeVar

from ..errors import Problem, SettingsError
from .branch import Branch, read_tree
from .check import check_tree
from .options import Level, list_options
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
from .syntax import MAX_BYTES

_T = TypeVar("_T")
_MAX_PROBLEMS = 50
"""A garbled file of thousands of lines is not answered with thousands of lines."""


def load_settings(path: str | Path) -> Settings:
    """Return the settings in the file at `path`, as version 0.

    Raises SettingsError with every problem found, an unreadable file included.
    """
    return parse_settings(read_file(path), file=str(path))


def read_file(path: str | Path) -> bytes:
    """Return the bytes of the file at `path`, one more than allowed at most.

    Raises SettingsError where it cannot be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read(MAX_BYTES + 1)
    except OSError as error:
        what = f"cannot be read: {error.strerror or error}; expected a settings file"
        problem = Problem(file=str(path), path="", expected=what)
        raise SettingsError(problems=(problem,)) from None


def parse_settings(text: str | bytes, *, file: str, version: int = 0) -> Settings:
    """Return the settings that `text` states; `file` is named in the problems.

    Raises SettingsError with every problem found, up to a limit.

        settings = parse_settings(text, file="cedarlight.jsonc")
        settings.get_service("scheduler").deadline_ms
    """
    return build_settings(parse_tree(text, file=file), version=version)


def parse_tree(text: str | bytes, *, file: str) -> Branch:
    """Return the checked tree that `text` states, with the source of each value.

    Raises SettingsError as `parse_settings` does.
    """
    problems: list[Problem] = []
    tree = read_tree(text, file=file, report=problems.append)
    for finding in check_tree(tree):
        problem = Problem(file=file, path=finding.path, expected=finding.expected)
        problems.append(problem)
    if problems:
        raise SettingsError(problems=_limit(problems, file=file))
    return tree


def _limit(problems: list[Problem], *, file: str) -> tuple[Problem, ...]:
    n_more = len(problems) - _MAX_PROBLEMS
    if n_more <= 0:
        return tuple(problems)
    last = Problem(file=file, path="", expected=f"{n_more} more problems, not shown")
    return (*problems[:_MAX_PROBLEMS], last)


def build_settings(tree: Branch, *, version: int) -> Settings:
    """Return the settings of a checked tree."""
    return Settings(
        deployment=_get(tree, "deployment", str),
        version=version,
        platform=_get(tree, "platform", Address),
        hosts=tuple(
            _build_host(branch, data_centre=data_centre.name)
            for data_centre in tree.list_children(Level.DATA_CENTRE)
            for branch in data_centre.children
        ),
        services=tuple(
            _build_service(branch) for branch in tree.list_children(Level.SERVICE)
        ),
        control=_build_control(tree.list_children(Level.CONTROL)[0]),
    )


def _build_control(branch: Branch) -> Control:
    names = [option.name for option in list_options(Level.CONTROL)]
    return Control(**{name: _get(branch, name, int) for name in names})


def _build_host(branch: Branch, *, data_centre: str) -> Host:
    return Host(
        name=branch.name,
        data_centre=data_centre,
        callers=_get(branch, "callers", Address),
        peers=_get(branch, "peers", Address),
        admin=_get(branch, "admin", Address),
    )


def _build_service(branch: Branch) -> Service:
    policy = branch.get("stragglers")
    assert isinstance(policy, (GiveUpStragglers, WaitForCoverage))
    return Service(
        name=branch.name,
        idempotent=_get(branch, "idempotent", bool),
        groups=tuple(
            Group(
                name=group.name,
                servers=tuple(_build_server(server) for server in group.children),
            )
            for group in branch.children
        ),
        deadline_ms=_get(branch, "deadline_ms", int),
        stragglers=policy,
        hedge_budget=_get(branch, "hedge_budget", float),
        hedge_after_quantile=_get(branch, "hedge_after_quantile", float),
        retry_budget=_get(branch, "retry_budget", float),
        queue_limit=_get(branch, "queue_limit", int),
        max_body_bytes=_get(branch, "max_body_bytes", int),
        weight=_get(branch, "weight", float),
    )


def _build_server(branch: Branch) -> Server:
    return Server(
        name=branch.name,
        address=_get(branch, "address", Address),
        data_centre=_get(branch, "data_centre", str),
        slots=_get(branch, "slots", int),
        connections=_get(branch, "connections", int),
    )


def _get(branch: Branch, name: str, kind: type[_T]) -> _T:
    value = branch.get(name)
    # The check has refused any tree that lacks a value or holds one of another type.
    assert isinstance(value, kind), f"{branch.path}.{name}"
    return value
