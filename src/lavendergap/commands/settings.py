"""`lavendergap settings`: checks, shows, gets and applies settings."""

import difflib
import sys
from dataclasses import asdict
from pathlib import Path

import click
import trio

from ..errors import LavendergapError, UnreachableError
from ..protocol.objects import (
    SettingsObject,
    decode_settings_object,
    make_settings_key,
)
from ..state.branch import DEFAULT, Branch, Resolved
from ..state.customers import digest_key
from ..state.options import OPTIONS
from ..state.settings import Address, GiveUpStragglers, Settings, WaitForCoverage
from ..state.tree import load_settings, parse_settings, parse_tree, read_file
from ..state.values import Value
from ..transport.platform import Found, Missing, PlatformClient, Refused, Unavailable
from .apply import apply
from .console import print_json, print_note, print_table
from .keys import read_key
from .options import json_option, settings_option

TOP = "(top)"


@click.group()
def settings() -> None:
    """Check, show, get and apply settings, and see who edited them."""


settings.add_command(apply)


@settings.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check FILE completely; show all problems and exit with 2 if there are any."""
    found = load_settings(file)
    n_servers = sum(len(g.servers) for s in found.services for g in s.groups)
    click.echo(
        f"{file}: deployment {found.deployment}, {len(found.hosts)} entry hosts, "
        f"{len(found.services)} services, {n_servers} backend servers"
        f"{_count_customers(found)}: no problem"
    )


def _count_customers(found: Settings) -> str:
    if found.customers is None:
        return ""
    n_keys = len(found.customers.names_by_digest)
    return f", {len(found.customers.customers)} customers with {n_keys} keys"


@settings.command(name="hash-key")
def hash_key() -> None:
    """Read a customer's key from standard input and print its digest.

    The digest belongs in `key_sha256` of the settings. The key is read from standard
    input since arguments are visible to other users and kept in the shell's history.
    """
    click.echo(digest_key(read_key(sys.stdin.buffer)).hex())


@settings.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("branch", default="")
@click.option("--live", is_flag=True, help="Show the platform's settings instead.")
@json_option
def show(file: Path, branch: str, live: bool, as_json: bool) -> None:
    """Show the options in force at BRANCH of FILE and where each is set.

    BRANCH is a path such as services.scheduler; without it, the top is shown. With
    --live, only the platform's address is read from FILE.
    """
    text: str | bytes = read_file(file)
    name = str(file)
    if live:
        version, value = trio.run(_read_live, parse_settings(text, file=name))
        text = value.text
        name = f"version {version}"
    tree = parse_tree(text, file=name)
    _show_branch(_find_branch(tree, branch), as_json=as_json)


@settings.command()
@settings_option
@click.option(
    "--output", type=click.Path(path_type=Path), help="Write the text to this file."
)
@json_option
def get(settings_path: Path, output: Path | None, as_json: bool) -> None:
    """Write the platform's settings text to stdout and its version to stderr."""
    version, value = trio.run(_read_live, load_settings(settings_path))
    if as_json:
        print_json({"version": version, "text": value.text})
    elif output is None:
        click.echo(value.text, nl=False)
    else:
        output.write_text(value.text, encoding="utf-8")
    print_note(f"version {version}; apply an edit of it with --base {version}")


@settings.command()
@settings_option
@json_option
def history(settings_path: Path, as_json: bool) -> None:
    """Show the last edits, newest first: author, change, time and reason."""
    version, value = trio.run(_read_live, load_settings(settings_path))
    if as_json:
        edits = [asdict(edit) for edit in reversed(value.edits)]
        print_json({"version": version, "edits": edits})
        return
    rows = [
        (
            edit.at,
            edit.author,
            edit.base,
            edit.message,
            "\n".join(edit.changed),
            edit.id,
        )
        for edit in reversed(value.edits)
    ]
    print_table(("AT", "AUTHOR", "BASE", "MESSAGE", "CHANGED", "EDIT"), rows)
    print_note(f"version {version} is in place")


async def _read_live(location: Settings) -> tuple[int, SettingsObject]:
    key = make_settings_key(location.deployment)
    async with PlatformClient(address=location.platform) as client:
        found = await client.get(key)
    match found:
        case Found(version=version, value=value):
            return version, decode_settings_object(value, key=key)
        case Missing():
            raise LavendergapError(
                f"the platform at {location.platform} has no {key}; write the first "
                "settings with `lavendergap settings apply FILE --base 0`"
            )
        case Refused(status=status, message=message):
            raise LavendergapError(f"the platform refuses {key}: {status} {message}")
        case Unavailable(step=step, reason=reason):
            raise UnreachableError(
                f"the platform at {location.platform} returned no {key} (step {step}: "
                f"{reason}); check the address, then try again"
            )


def _find_branch(tree: Branch, path: str) -> Branch:
    known = {branch.path: branch for branch in tree.walk()}
    if path in known:
        return known[path]
    near = difflib.get_close_matches(path, list(known), n=1)
    hint = f"; did you mean {near[0] or TOP}?" if near else ""
    raise click.UsageError(f"there is no branch {path!r}{hint}")


def _show_branch(branch: Branch, *, as_json: bool) -> None:
    units = {option.name: option.unit for option in OPTIONS}
    below = [child.path for child in branch.children]
    if as_json:
        options = [
            {
                "name": name,
                "value": _to_plain_value(found.value),
                "unit": units[name],
                "from": _format_source(found),
            }
            for name, found in branch.options.items()
        ]
        level = str(branch.level)
        path = branch.path
        shown = {"branch": path, "level": level, "options": options, "below": below}
        print_json(shown)
        return
    click.echo(f"{branch.path or TOP} ({branch.level})")
    rows = [
        (name, _format_value(found.value), units[name], _format_source(found))
        for name, found in branch.options.items()
    ]
    if rows:
        print_table(("OPTION", "VALUE", "UNIT", "FROM"), rows)
    if below:
        click.echo("below: " + ", ".join(below))


def _format_source(found: Resolved) -> str:
    if found.source == DEFAULT:
        return "default"
    return found.source or TOP


def _to_plain_value(value: Value) -> object:
    match value:
        case Address():
            return str(value)
        case GiveUpStragglers(min_share=min_share, patience=patience):
            return {"kind": "give up", "min_share": min_share, "patience": patience}
        case WaitForCoverage():
            return {"kind": "wait"}
    return value


def _format_value(value: Value) -> str:
    match _to_plain_value(value):
        case bool(flag):
            return "true" if flag else "false"
        case tuple(digests):
            return "\n".join(digests)
        case dict(policy):
            return ", ".join(f"{name} {part}" for name, part in policy.items())
        case plain:
            return str(plain)
