"""What a process says of itself at /status; `lavendergap status` reads it."""

import msgspec


class SettingsStatus(msgspec.Struct, kw_only=True):
    """The settings in force here, and why a newer version is not, if so."""

    version: int
    source: str
    problem: str | None = None


class MemberStatus(msgspec.Struct, kw_only=True):
    """An entry host as this one sees it."""

    name: str
    data_centre: str
    state: str
    incarnation: int
    settings_version: int = 0


class ServiceStatus(msgspec.Struct, kw_only=True):
    """A service as this host serves it now."""

    name: str
    version: int
    n_shards: int


class HostStatus(msgspec.Struct, kw_only=True):
    """The whole of /status."""

    host: str
    data_centre: str
    incarnation: int
    state: str
    unready: str
    settings: SettingsStatus
    members: list[MemberStatus]
    services: list[ServiceStatus]
