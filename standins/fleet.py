"""Reads settings files and addresses for the stand-ins."""

from fnmatch import fnmatchcase
from pathlib import Path

import click
import msgspec

from lavendergap.errors import SettingsError
from lavendergap.state.settings import Address, Server, Service, Settings
from lavendergap.state.tree import load_settings


def parse_address(text: str) -> Address:
    """Parse an address such as "127.0.0.1:7000"; raises click.BadParameter."""
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdecimal():
        raise click.BadParameter(f"{text!r} is not an address such as 127.0.0.1:7000")
    return Address(ip=ip, port=int(port))


def read_settings(path: Path) -> Settings:
    """Read a settings file; raises click.ClickException if it is invalid."""
    try:
        return load_settings(path)
    except SettingsError as error:
        raise click.ClickException(str(error)) from None


def list_servers(settings: Settings, patterns: tuple[str, ...]) -> tuple[Server, ...]:
    """Return the backend servers whose names match one of the shell `patterns`."""
    return tuple(
        server
        for service in settings.services
        for group in service.groups
        for server in group.servers
        if any(fnmatchcase(server.name, pattern) for pattern in patterns)
    )


def make_index_object(service: Service) -> bytes:
    """Return the value of `index/SERVICE`: version 1, a shard for each group."""
    share = 1 / len(service.groups)
    shards = [
        {"name": f"s{i:02}", "group": group.name, "share": share}
        for i, group in enumerate(service.groups)
    ]
    return msgspec.json.encode({"snapshots": [{"version": 1, "shards": shards}]})
