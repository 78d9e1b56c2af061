"""The response of /status, which `lavendergap status` reads."""

import msgspec


class SettingsStatus(msgspec.Struct, kw_only=True):
    """The active settings, and the problem of a newer version if there is one."""

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
    """The snapshot of a service that this host serves now."""

    name: str
    version: int
    n_shards: int


class HostStatus(msgspec.Struct, kw_only=True):
    """The complete response of /status."""

    host: str
    data_centre: str
    incarnation: int
    state: str
    unready: str
    settings: SettingsStatus
    members: list[MemberStatus]
    services: list[ServiceStatus]
