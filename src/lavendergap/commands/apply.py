"""`lavendergap settings apply`: writes an edit, or reports a conflicting one."""

import uuid
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

import click
import trio

from ..errors import (
    ConflictError,
    NotInForceError,
    UnreachableError,
)
from ..protocol.objects import Edit, SettingsObject, make_settings_key
from ..state.difference import find_value, list_changes, show_value
from ..state.settings import Settings
from ..state.syntax import parse_text
from ..state.tree import parse_settings, read_file
from ..transport.platform import Found, PlatformClient
from .console import print_json, print_note
from .options import json_option
from .publishing import (
    Accepted,
    EditConflict,
    NotWritten,
    Proposal,
    Publication,
    Unchanged,
    Unresolved,
    publish,
)
from .rollout import Rollout, wait_for_rollout

PUBLISH_LIMIT_S = 15.0
MAX_CHANGES_SHOWN = 50


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--author", required=True, help="Who makes the edit; kept in the history."
)
@click.option(
    "--message", required=True, help="Why the edit is made; kept in the history."
)
@click.option(
    "--base",
    required=True,
    type=click.IntRange(min=0),
    metavar="VERSION",
    help="The version that FILE is based on; 0 if there are no settings yet.",
)
@click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(min=0.0, max=3_600.0),
    metavar="SECONDS",
    help="Wait until every entry host in FILE has the edit in force.",
)
@json_option
def apply(
    file: Path,
    author: str,
    message: str,
    base: int,
    wait_s: float | None,
    as_json: bool,
) -> None:
    """Check FILE and put it in force, unless there are other edits since --base.

    If another edit came first, the command exits with code 4 and shows what was
    changed since. With --wait, it exits with code 5 and names the hosts that do
    not have the edit in force in time; the edit stays accepted.
    """
    text = read_file(file)
    settings = parse_settings(text, file=str(file))
    proposal = Proposal(
        key=make_settings_key(settings.deployment),
        id=str(uuid.uuid4()),
        base=base,
        text=text.decode(),
        tree=parse_text(text, file=str(file)),
        settings=settings,
        author=author,
        at=datetime.now(UTC).isoformat(timespec="seconds"),
        message=message,
    )
    version = _get_version_or_raise(
        trio.run(_publish, settings, proposal), proposal, file
    )
    rollout = None
    if wait_s is not None:
        rollout = trio.run(_wait, settings, version, wait_s)
    _show(rollout, version=version, edit=proposal.id, as_json=as_json)


async def _publish(settings: Settings, proposal: Proposal) -> Publication:
    async with PlatformClient(address=settings.platform) as client:
        return await publish(client, proposal, limit_s=PUBLISH_LIMIT_S)


async def _wait(settings: Settings, version: int, wait_s: float) -> Rollout:
    key = make_settings_key(settings.deployment)

    async def read_newest() -> int | None:
        async with PlatformClient(address=settings.platform) as client:
            found = await client.get(key)
        return found.version if isinstance(found, Found) else None

    return await wait_for_rollout(
        settings.hosts,
        version,
        limit_s=wait_s,
        read_newest=read_newest,
        report=lambda r: print_note(str(r)),
    )


def _get_version_or_raise(outcome: Publication, proposal: Proposal, file: Path) -> int:
    """Return the accepted version, or raise an error for the operator."""
    match outcome:
        case Accepted(version=version):
            print_note(f"accepted as version {version}, edit {proposal.id}")
            return version
        case Unchanged(version=version):
            print_note(f"nothing to change: version {version} has the same text")
            return version
        case EditConflict():
            lines = _explain_conflict(outcome, proposal, file)
            raise ConflictError("\n".join(lines))
        case NotWritten(reason=reason):
            raise UnreachableError(f"nothing was written: {reason}; try again")
        case Unresolved(reason=reason):
            raise UnreachableError(
                f"not known whether the edit was accepted: {reason}; look for edit "
                f"{proposal.id} in `lavendergap settings history`, and apply it again "
                "if it is not there"
            )


def _explain_conflict(
    conflict: EditConflict, proposal: Proposal, file: Path
) -> Iterator[str]:
    """Yield a description of other edits since the base: their values and ours."""
    version = conflict.version
    yield (
        f"your edit is based on version {proposal.base}, but version {version} is in "
        "place; nothing was written"
    )
    theirs = parse_text(conflict.head.text, file=f"version {version}")
    since = _list_edits_since(conflict.head, proposal.base)
    for edit in since:
        yield f"  {edit.author}, {edit.at}: {edit.message}"
    paths = [path for edit in since for path in edit.changed]
    if not since:
        # The history is missing or does not reach back to the base.
        paths = [change.path for change in list_changes(theirs, proposal.tree)]
    for path in list(dict.fromkeys(paths))[:MAX_CHANGES_SHOWN]:
        their_value = show_value(find_value(theirs, path))
        our_value = show_value(find_value(proposal.tree, path))
        yield f"    {path}: theirs {their_value}, yours {our_value}"
    yield (
        f"get theirs with `lavendergap settings get --settings {file}`, repeat your "
        f"edit in it and apply it with --base {version}"
    )


def _list_edits_since(head: SettingsObject, base: int) -> tuple[Edit, ...]:
    """Return the edits since `base`, or none if the history does not reach it."""
    since = tuple(edit for edit in head.edits if edit.base >= base)
    return since if since and since[0].base == base else ()


def _show(rollout: Rollout | None, *, version: int, edit: str, as_json: bool) -> None:
    if as_json:
        shown: dict[str, object] = {"version": version, "edit": edit}
        if rollout is not None:
            shown |= {"in_force": rollout.in_force, "not_in_force": rollout.waiting}
        print_json(shown)
    elif rollout is not None and not rollout.waiting:
        click.echo(str(rollout))
    if rollout is not None and rollout.waiting:
        raise NotInForceError(
            f"{rollout}; the edit stays accepted, see `lavendergap status`"
        )
    if rollout is None and not as_json:
        click.echo(f"version {version}")
