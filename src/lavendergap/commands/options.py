"""Options that several commands share."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from ..logs import Category

_Command = TypeVar("_Command", bound=Callable[..., Any])


def settings_option(command: _Command) -> _Command:
    """Add --settings, a file with the addresses of the platform and the hosts."""
    return click.option(
        "--settings",
        "settings_path",
        type=click.Path(path_type=Path),
        required=True,
        envvar="LAVENDERGAP_SETTINGS",
        show_envvar=True,
        metavar="FILE",
        help="A settings file of the deployment, for its addresses.",
    )(command)


def json_option(command: _Command) -> _Command:
    """Add --json."""
    return click.option(
        "--json", "as_json", is_flag=True, help="Write JSON for programs."
    )(command)


def parse_categories(
    _context: click.Context, _parameter: click.Parameter, text: str | None
) -> tuple[Category, ...]:
    """Parse a list of categories such as "route,settings", or "all"."""
    if not text:
        return ()
    if text == "all":
        return tuple(Category)
    try:
        return tuple(Category(name.strip()) for name in text.split(","))
    except ValueError as error:
        known = ", ".join(Category)
        raise click.BadParameter(f"{error}; known: all, {known}") from None
