"""The backend servers of a settings file, as far as the stand-ins need it."""

from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import json5

from lavendergap.state.settings import Address, Server

DEFAULT_SLOTS = 2
DEFAULT_CONNECTIONS = 25


def parse_address(text: str) -> Address:
    """Parse "127.0.0.1:7000"; raises ValueError for anything else."""
    ip, _, port = text.rpartition(":")
    if not ip:
        raise ValueError(f"{text!r} is not an address such as 127.0.0.1:7000")
    return Address(ip=ip, port=int(port))


def load_servers(path: Path, patterns: tuple[str, ...]) -> tuple[Server, ...]:
    """Read the backend servers whose names match one of the shell `patterns`."""
    tree = json5.loads(path.read_text(), allow_duplicate_keys=False)
    found = []
    for service in tree["services"].values():
        for group in service["groups"].values():
            for name, server in group["servers"].items():
                branches = (tree, service, group, server)
                found.append(_make_server(name, branches))
    return tuple(s for s in found if any(fnmatchcase(s.name, p) for p in patterns))


def _make_server(name: str, branches: tuple[dict[str, Any], ...]) -> Server:
    options: dict[str, Any] = {}
    for branch in branches:
        options.update(branch)
    return Server(
        name=name,
        address=parse_address(options["address"]),
        data_centre=options.get("data_centre", ""),
        slots=options.get("slots", DEFAULT_SLOTS),
        connections=options.get("connections", DEFAULT_CONNECTIONS),
    )
