"""A stand-in for the platform's object API and list of hosts, with faults."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Literal
from urllib.parse import unquote

import click
import msgspec
import trio

from lavendergap.state.settings import Settings

from .faults import PlatformFaults, change_faults
from .fleet import make_index_object, parse_address, read_settings
from .http import (
    Connection,
    HttpServer,
    Reply,
    Request,
    make_error,
    make_json_reply,
)
from .process import run_process
from .store import BEFORE_START, Entry, Store, StoreFullError

MAX_VALUE_BYTES = 1_048_576
MAX_KEY_CHARACTERS = 512
MAX_WAIT_MS = 60_000
MAX_HOSTS = 5_000
MAX_HOST_CHANGES = 64
OBJECTS = "/objects"
RETRY_AFTER = ("Retry-After", "1")

HostState = Literal["live", "leaving", "gone"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """An entry host in the platform's list; hosts in state `gone` are not returned."""

    name: str
    peers: str
    state: HostState


@dataclass(frozen=True, kw_only=True, slots=True)
class HostChange:
    """The change of one host by `POST /hosts` on the control port."""

    state: HostState = "live"
    peers: str | None = None


class BadRequestError(Exception):
    """The request is malformed; the message is sent in the reply."""


class TokenBucket:
    """A token bucket that holds up to one second's worth of tokens."""

    def __init__(self, *, now: float):
        self._tokens: float | None = None
        self._filled_at = now

    def take(self, rate: float, now: float) -> bool:
        """Take a token, refilled at `rate` per second; return whether there was one."""
        if self._tokens is None:
            self._tokens = rate
        refilled = self._tokens + (now - self._filled_at) * rate
        self._tokens = min(rate, refilled)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class HostList:
    """The platform's list of hosts, with its history for lagging reads."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, dict[str, ListedHost]]] = deque(
            [(BEFORE_START, {})], maxlen=MAX_HOST_CHANGES
        )

    def change(self, changes: dict[str, HostChange], now: float) -> None:
        """Change or add hosts; raises BadRequestError if a new one has no peers."""
        hosts = dict(self._history[-1][1])
        for name, change in changes.items():
            existing = hosts.get(name)
            peers = change.peers or (existing.peers if existing else None)
            if peers is None:
                raise BadRequestError(f"{name} is new; its peers address is needed")
            hosts[name] = ListedHost(name=name, peers=peers, state=change.state)
        if len(hosts) > MAX_HOSTS:
            raise BadRequestError(f"there are over {MAX_HOSTS} hosts")
        self._history.append((now, hosts))

    def get_hosts(self, at: float) -> list[ListedHost]:
        """Return the listed hosts as of a time."""
        earlier = [hosts for since, hosts in self._history if since <= at]
        hosts = earlier[-1] if earlier else self._history[0][1]
        return [host for host in hosts.values() if host.state != "gone"]


class Platform:
    """The object API and the control port of one store."""

    def __init__(self, *, faults: PlatformFaults):
        now = trio.current_time()
        self.faults = faults
        self.store = Store()
        self.hosts = HostList()
        self.counts: Counter[str] = Counter()
        self._reads = TokenBucket(now=now)
        self._writes = TokenBucket(now=now)

    def seed(self, settings: Settings, text: str) -> None:
        """Write a deployment's initial objects and hosts, dated before the start.

        Reads of the past see them, however stale.
        """
        value = msgspec.json.encode({"text": text, "edits": []})
        self.store.put(f"settings/{settings.deployment}", value, BEFORE_START)
        for service in settings.services:
            if service.idempotent:
                index = make_index_object(service)
                self.store.put(f"index/{service.name}", index, BEFORE_START)
        self.hosts.change(
            {h.name: HostChange(peers=str(h.peers)) for h in settings.hosts},
            BEFORE_START,
        )

    def set_faults(self, faults: PlatformFaults) -> None:
        """Put `faults` in force, also for waiting watches."""
        self.faults = faults
        self.store.wake_watches()

    # The object API.

    async def handle(self, request: Request, connection: Connection) -> Reply | None:
        """Answer one call; None closes the connection without a reply."""
        kind = _get_kind(request)
        self.counts[kind] += 1
        reply = await self._answer(kind, request, connection)
        if reply is None or connection.is_silent:
            self.counts["no reply"] += 1
        else:
            self.counts[f"status {reply.status}"] += 1
        return reply

    async def _answer(
        self, kind: str, request: Request, connection: Connection
    ) -> Reply | None:
        if self.faults.delay_ms:
            await trio.sleep(self.faults.delay_ms / 1_000)
        refusal = self._refuse(kind, connection)
        if refusal is not None:
            return refusal
        try:
            match kind:
                case "get":
                    return self._get(request)
                case "put":
                    return self._put(request)
                case "list":
                    return self._list(request)
                case "hosts":
                    return self._list_hosts()
                case "watch":
                    return await self._watch(request, connection)
                case "watch prefix":
                    return await self._watch_prefix(request, connection)
        except BadRequestError as error:
            return make_error(400, str(error))
        if request.path.startswith(OBJECTS) or request.path == "/hosts":
            return make_error(405, "This path takes another method.")
        return make_error(404, "There is no such path.")

    def _refuse(self, kind: str, connection: Connection) -> Reply | None:
        outage = self._apply_outage(connection)
        if outage is not None:
            return outage
        now = trio.current_time()
        if kind == "put":
            is_allowed = self._writes.take(self.faults.writes_per_s, now)
        else:
            is_allowed = self._reads.take(self.faults.reads_per_s, now)
        if is_allowed:
            return None
        return make_error(429, "The rate is used up.", headers=(RETRY_AFTER,))

    def _apply_outage(self, connection: Connection) -> Reply | None:
        """Return the reply if the platform is silent or down, otherwise None."""
        if self.faults.silent:
            connection.is_silent = True
            return make_error(503, "Never sent: the connection is silent.")
        if self.faults.down:
            return make_error(503, "The platform is down.", headers=(RETRY_AFTER,))
        return None

    def _get_read_time(self) -> float:
        return trio.current_time() - self.faults.stale_reads_ms / 1_000

    def _get(self, request: Request) -> Reply:
        entry = self.store.get(_get_key(request), self._get_read_time())
        return _make_object_reply(entry)

    def _put(self, request: Request) -> Reply | None:
        key = _get_key(request)
        if len(request.body) > MAX_VALUE_BYTES:
            return make_error(413, "A value holds at most a megabyte.")
        now = trio.current_time()
        refusal = _check_condition(request, self.store.get(key, now))
        if refusal is not None:
            return refusal
        if self._count_down("lose_requests"):
            return None
        try:
            entry = self.store.put(key, request.body, now)
        except StoreFullError:
            return make_error(507, "There are too many objects.")
        if self._count_down("lose_replies"):
            return None
        return Reply(status=200, headers=(_make_etag(entry),))

    def _count_down(self, name: Literal["lose_requests", "lose_replies"]) -> bool:
        n_left: int = getattr(self.faults, name)
        if n_left == 0:
            return False
        self.faults = change_faults(self.faults, {name: n_left - 1})
        return True

    def _list(self, request: Request) -> Reply:
        prefix = request.get_options()["prefix"]
        at = self._get_read_time()
        return self._make_list_reply(self.store.list_objects(prefix, at), at)

    def _make_list_reply(self, entries: list[Entry], at: float) -> Reply:
        shown = [{"key": e.key, "version": e.version} for e in entries]
        revision = self.store.get_revision(at)
        return make_json_reply({"revision": revision, "objects": shown})

    def _list_hosts(self) -> Reply:
        at = trio.current_time() - self.faults.hosts_lag_ms / 1_000
        return make_json_reply({"hosts": self.hosts.get_hosts(at)})

    # Watches.

    async def _watch(self, request: Request, connection: Connection) -> Reply | None:
        key = _get_key(request)
        options = request.get_options()
        after = _parse_version(options["after"], "after")

        def find(at: float) -> Reply | None:
            entry = self.store.get(key, at)
            if entry is None or entry.version <= after:
                return None
            return _make_object_reply(entry)

        return await self._wait(key, options, connection, find)

    async def _watch_prefix(
        self, request: Request, connection: Connection
    ) -> Reply | None:
        options = request.get_options()
        prefix = options["prefix"]
        after = _parse_version(options["after"], "after")

        def find(at: float) -> Reply | None:
            entries = self.store.list_objects(prefix, at)
            changed = [entry for entry in entries if entry.version > after]
            return self._make_list_reply(changed, at) if changed else None

        return await self._wait(prefix, options, connection, find)

    async def _wait(
        self,
        prefix: str,
        options: dict[str, str],
        connection: Connection,
        find: Callable[[float], Reply | None],
    ) -> Reply | None:
        wait_ms = _parse_version(options.get("wait_ms", "0"), "wait_ms")
        deadline = trio.current_time() + min(wait_ms, MAX_WAIT_MS) / 1_000
        while True:
            outage = self._apply_outage(connection)
            if outage is not None:
                return outage
            lag_s = self.faults.stale_watches_ms / 1_000
            now = trio.current_time()
            reply = find(now - lag_s)
            if reply is not None:
                return reply
            if now >= deadline:
                return Reply(status=304)
            written_at = self.store.find_next_write(prefix, now - lag_s)
            wake_at = (
                deadline if written_at is None else min(deadline, written_at + lag_s)
            )
            if await self._wait_for_write(prefix, wake_at, connection):
                return None

    async def _wait_for_write(
        self, prefix: str, wake_at: float, connection: Connection
    ) -> bool:
        """Wait for a write or until `wake_at`; return whether the client has left."""
        scope = trio.CancelScope(deadline=wake_at)
        self.store.add_watch(prefix, scope)
        self.counts["max watches"] = max(
            self.counts["max watches"], self.store.n_watches
        )
        try:
            with scope:
                await connection.wait_for_close()
                return True
        finally:
            self.store.remove_watch(prefix, scope)
        return False

    # The control port.

    async def handle_control(self, request: Request, connection: Connection) -> Reply:
        """Answer one request to the control port."""
        try:
            match request.method, request.path:
                case "GET", "/faults":
                    return make_json_reply(asdict(self.faults))
                case "POST", "/faults":
                    change = msgspec.json.decode(request.body, type=dict[str, Any])
                    self.set_faults(change_faults(self.faults, change))
                    return make_json_reply(asdict(self.faults))
                case "POST", "/faults/clear":
                    self.set_faults(PlatformFaults())
                    return make_json_reply(asdict(self.faults))
                case "GET", "/counts":
                    return make_json_reply(
                        {**self.counts, "watches": self.store.n_watches}
                    )
                case "POST", "/hosts":
                    hosts = dict[str, HostChange]
                    changes = msgspec.json.decode(request.body, type=hosts)
                    self.hosts.change(changes, trio.current_time())
                    return make_json_reply({"changed": list(changes)})
        except (ValueError, BadRequestError) as error:
            return make_error(400, str(error))
        return make_error(404, "There is no such path.")


def _get_kind(request: Request) -> str:
    """Return the kind of a call, as in the counts; "other" if it is unknown."""
    is_object = request.path.startswith(f"{OBJECTS}/")
    options = request.get_options() if request.query else {}
    match request.method:
        case "PUT" if is_object:
            return "put"
        case "GET" if is_object:
            return "watch" if "after" in options else "get"
        case "GET" if request.path == OBJECTS and "prefix" in options:
            return "watch prefix" if "after" in options else "list"
        case "GET" if request.path == "/hosts":
            return "hosts"
    return "other"


def _get_key(request: Request) -> str:
    key = unquote(request.path.removeprefix(f"{OBJECTS}/"))
    if not 1 <= len(key) <= MAX_KEY_CHARACTERS:
        raise BadRequestError(f"a key has 1 to {MAX_KEY_CHARACTERS} characters")
    return key


def _parse_version(text: str, name: str) -> int:
    if not text.isdecimal() or not text.isascii():
        raise BadRequestError(f"{name} is not a whole number")
    return int(text)


def _check_condition(request: Request, current: Entry | None) -> Reply | None:
    """Return the error reply if a write's condition does not hold, otherwise None."""
    match request.headers.get("if-match"), request.headers.get("if-none-match"):
        case None, None:
            return make_error(428, "A write needs If-Match or If-None-Match: *.")
        case None, "*":
            holds = current is None
        case str() as wanted, None:
            version = _parse_version(wanted.strip('"'), "If-Match")
            holds = current is not None and current.version == version
        case _:
            raise BadRequestError("the condition is not understood")
    if holds:
        return None
    headers = (_make_etag(current),) if current else ()
    return make_error(412, "The condition does not hold.", headers=headers)


def _make_etag(entry: Entry) -> tuple[str, str]:
    return ("ETag", f'"{entry.version}"')


def _make_object_reply(entry: Entry | None) -> Reply:
    if entry is None:
        return make_error(404, "There is no such object.")
    headers = (("Content-Type", "application/json"), _make_etag(entry))
    return Reply(status=200, body=entry.value, headers=headers)


@click.command()
@click.option("--listen", required=True, help="IP:PORT of the object API.")
@click.option("--control", required=True, help="IP:PORT of the control port.")
@click.option("--settings", type=click.Path(exists=True, path_type=Path))
def main(listen: str, control: str, settings: Path | None) -> None:
    """Serve the platform's object API, seeded from a settings file if one is given."""
    api_address = parse_address(listen)
    control_address = parse_address(control)
    seed = read_settings(settings) if settings else None

    async def start(nursery: trio.Nursery) -> None:
        platform = Platform(faults=PlatformFaults())
        if seed is not None and settings is not None:
            platform.seed(seed, settings.read_text())
        for server in (
            HttpServer(
                ip=api_address.ip, port=api_address.port, handle=platform.handle
            ),
            HttpServer(
                ip=control_address.ip,
                port=control_address.port,
                handle=platform.handle_control,
            ),
        ):
            await nursery.start(server.run)

    run_process(start)


if __name__ == "__main__":
    main()
