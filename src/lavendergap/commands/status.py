"""`lavendergap status`: shows the state of the entry hosts."""

from pathlib import Path

import click
import trio

from ..entry.status import HostStatus
from ..errors import UnreachableError
from ..state.tree import load_settings
from .console import print_json, print_table
from .hosts import HostAnswer, fetch_all
from .options import json_option, settings_option

_COLUMNS = ("HOST", "DATA CENTRE", "STATE", "SETTINGS", "FROM", "LIVE", "PROBLEM")


@click.command()
@settings_option
@json_option
def status(settings_path: Path, as_json: bool) -> None:
    """Show the state of every entry host and the settings it has in force."""
    hosts = load_settings(settings_path).hosts
    answers = trio.run(fetch_all, hosts)
    data_centres = {host.name: host.data_centre for host in hosts}
    if as_json:
        print_json({name: answers[name] for name in data_centres})
    else:
        rows = (
            _make_row(name, data_centres[name], answers[name]) for name in data_centres
        )
        print_table(_COLUMNS, rows)
    if not any(isinstance(answer, HostStatus) for answer in answers.values()):
        raise UnreachableError(
            f"none of {len(hosts)} entry hosts answers; start them with "
            "`lavendergap entry`, or check the addresses in the settings file"
        )


def _make_row(name: str, data_centre: str, answer: HostAnswer) -> tuple[object, ...]:
    match answer:
        case HostStatus(settings=settings, members=members):
            n_live = sum(member.state == "live" for member in members)
            problem = settings.problem or answer.unready
            version = f"version {settings.version}"
            state = answer.state
            source = settings.source
            return (name, data_centre, state, version, source, n_live, problem)
        case _:
            return (name, data_centre, answer.state, "", "", "", answer.reason)
