"""A stand-in for the users' platform's object store, with watches and faults."""

from collections import deque
from dataclasses import dataclass, replace
from typing import Any, Literal
from urllib.parse import unquote

import msgspec
import trio

from .http import Connection, HttpServer, Reply, Request, make_json_reply

OBJECTS = "/objects/"
PAGE_ITEMS = 50
MAX_EVENTS = 10_000
MAX_WAIT_MS = 30_000
EPOCH_HEADER = "Store-Era"

StoreMode = Literal["up", "busy", "silent", "lost"]


@dataclass(kw_only=True, slots=True)
class StoredObject:
    """One object with the revision of its last change."""

    name: str
    revision: int
    created: int
    spec: Any

    def show(self) -> dict[str, Any]:
        """Return the object as the HTTP API encodes it."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"meta": meta, "spec": self.spec, "status": None}


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCopy:
    """A copy of the objects and the revision, to restore the store from."""

    revision: int
    kinds: dict[str, dict[str, StoredObject]]


class ObjectStore:
    """Objects by kind and name, with one revision counter for all.

    `epoch` counts restores from an older copy; each answer states it. After a restore
    the revisions of lost changes are given out again. Reads that may be stale return
    `lagging_copy` if there is one.

    `mode` is the fault in force: with `busy`, each call is answered with 503 and has
    no effect; with `silent`, no call is answered or has an effect; with `lost`, writes
    take effect but are not answered.
    """

    def __init__(self) -> None:
        self.mode: StoreMode = "up"
        self.n_calls = 0
        self.epoch = 1
        self.lagging_copy: StoreCopy | None = None
        self.revision = 1
        self._kinds: dict[str, dict[str, StoredObject]] = {}
        self._events: deque[tuple[int, str, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)
        self._history_start = 0
        self._changed = trio.Event()

    # The Python API, for tests and demos.

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return its revision."""
        current = self._kinds.setdefault(kind, {}).get(name)
        if current is not None and current.spec == spec:
            return current.revision
        self.revision += 1
        created = current.created if current else self.revision
        stored = StoredObject(
            name=name, revision=self.revision, created=created, spec=spec
        )
        self._kinds[kind][name] = stored
        self._record_event(kind, {"object": stored.show(), "deleted": False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object and notify watches."""
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            stored.revision = self.revision
            self._record_event(kind, {"object": stored.show(), "deleted": True})

    def forget_history(self) -> None:
        """Drop all events, so that each watch from an older revision gets 410."""
        self._events.clear()
        self._history_start = self.revision
        self._wake_watches()

    def take_copy(self) -> StoreCopy:
        """Return a copy that `restore` can go back to."""
        return StoreCopy(revision=self.revision, kinds=_copy_kinds(self._kinds))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, and lose all changes and the history since."""
        self.epoch += 1
        self.revision = copy.revision
        self._kinds = _copy_kinds(copy.kinds)
        self.forget_history()

    def list_names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects, sorted."""
        return sorted(self._kinds.get(kind, {}))

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, event))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    # The HTTP API.

    def make_server(self, *, ip: str, port: int) -> HttpServer:
        """Return an HTTP server for this store, not yet running."""
        return HttpServer(ip=ip, port=port, handle=self.handle)

    async def handle(self, request: Request, connection: Connection) -> Reply:
        """Answer one call."""
        reply = await self._handle(request)
        header = (EPOCH_HEADER, str(self.epoch))
        return replace(reply, headers=(*reply.headers, header))

    async def _handle(self, request: Request) -> Reply:
        self.n_calls += 1
        if self.mode == "silent":
            await trio.sleep_forever()
        if self.mode == "busy":
            return make_json_reply({"error": "busy"}, status=503)
        reply = await self._answer(request)
        if self.mode == "lost" and request.method != "GET":
            await trio.sleep_forever()
        return reply

    async def _answer(self, request: Request) -> Reply:
        if not request.path.startswith(OBJECTS):
            return make_json_reply({"error": "no such path"}, status=404)
        kind, _, rest = request.path.removeprefix(OBJECTS).partition("/")
        name = unquote(rest)
        options = request.get_options()
        match request.method:
            case "GET" if name:
                current = self._kinds.get(kind, {}).get(name)
                if current is None:
                    return make_json_reply({"error": "no such object"}, status=404)
                return make_json_reply(current.show())
            case "GET" if "watch" in options:
                return await self._watch(
                    kind, int(options["watch"]), int(options.get("wait_ms", 0))
                )
            case "GET":
                may_be_stale = options.get("allow_stale") == "1"
                copy = self.lagging_copy if may_be_stale else None
                newest = StoreCopy(revision=self.revision, kinds=self._kinds)
                return self._list(copy or newest, kind, options.get("after", ""))
            case "DELETE" if name:
                self.remove(kind, name)
                return make_json_reply({})
            case "POST" | "PUT":
                return self._write(request, kind, name)
        return make_json_reply({"error": "no such call"}, status=405)

    def _list(self, copy: StoreCopy, kind: str, after: str) -> Reply:
        objects = copy.kinds.get(kind, {})
        names = sorted(name for name in objects if name > after)
        return make_json_reply(
            {
                "items": [objects[name].show() for name in names[:PAGE_ITEMS]],
                "has_more": len(names) > PAGE_ITEMS,
                "current_rev": copy.revision,
            }
        )

    async def _watch(self, kind: str, after: int, wait_ms: int) -> Reply:
        epoch = self.epoch
        with trio.move_on_after(min(wait_ms, MAX_WAIT_MS) / 1_000):
            while (
                epoch == self.epoch
                and self._has_history(after)
                and not self._find_events(kind, after)
            ):
                await self._changed.wait()
        if epoch != self.epoch:
            return make_json_reply({"error": "restarted"}, status=503)
        if not self._has_history(after):
            return make_json_reply({"error": "history is gone"}, status=410)
        return make_json_reply(
            {
                "events": self._find_events(kind, after),
                "current_rev": self.revision,
            }
        )

    def _has_history(self, after: int) -> bool:
        return self._history_start <= after <= self.revision

    def _find_events(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, event_kind, event in self._events
            if event_kind == kind and revision > after
        ]

    def _write(self, request: Request, kind: str, name: str) -> Reply:
        body = msgspec.json.decode(request.body)
        meta = body.get("meta", {})
        name = name or meta["name"]
        current = self._kinds.get(kind, {}).get(name)
        if request.method == "POST" and current is not None:
            return make_json_reply(current.show(), status=409)
        if request.method == "PUT" and current is None:
            return make_json_reply({"error": "no such object"}, status=404)
        expected_revision = meta.get("revision")
        if current is not None and expected_revision not in (None, current.revision):
            return make_json_reply(current.show(), status=409)
        self.put(kind, name, body.get("spec"))
        return make_json_reply(self._kinds[kind][name].show())


def _copy_kinds(
    kinds: dict[str, dict[str, StoredObject]],
) -> dict[str, dict[str, StoredObject]]:
    return {
        kind: {name: replace(stored) for name, stored in objects.items()}
        for kind, objects in kinds.items()
    }
