"""A stand-in for the store of the users' platform: objects, lists, watches, faults."""

from collections import deque
from dataclasses import dataclass
from typing import Any, Literal
from urllib.parse import unquote

import msgspec
import trio

from .http import Connection, HttpServer, Reply, Request, make_json_reply

OBJECTS = "/objects/"
PAGE_ITEMS = 50
MAX_HISTORY = 10_000
MAX_WAIT_MS = 30_000

Mode = Literal["up", "busy", "silent", "lost"]


@dataclass(kw_only=True, slots=True)
class StoredObject:
    """One object with the revision of its last change."""

    name: str
    revision: int
    created: int
    spec: Any

    def show(self) -> dict[str, Any]:
        """Return the object as it goes over the wire."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"meta": meta, "spec": self.spec, "status": None}


class ObjectStore:
    """Objects by kind and name under one revision counter.

    `mode` makes it fail: `busy` answers 503 and does nothing, `silent` never
    answers, `lost` does what writes say and then never answers them. `refused` holds
    the caller's addresses that get 503 while the others are served.
    """

    def __init__(self) -> None:
        self.mode: Mode = "up"
        self.n_calls = 0
        self.revision = 1
        self._kinds: dict[str, dict[str, StoredObject]] = {}
        self._events: deque[tuple[int, str, dict[str, Any]]] = deque(maxlen=MAX_HISTORY)
        self._forgotten = 0
        self._changed = trio.Event()

    # What tests and demos do directly.

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return its revision."""
        held = self._kinds.setdefault(kind, {}).get(name)
        if held is not None and held.spec == spec:
            return held.revision
        self.revision += 1
        created = held.created if held else self.revision
        stored = StoredObject(
            name=name, revision=self.revision, created=created, spec=spec
        )
        self._kinds[kind][name] = stored
        self._tell(kind, {"object": stored.show(), "deleted": False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; watches are told."""
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            stored.revision = self.revision
            self._tell(kind, {"object": stored.show(), "deleted": True})

    def forget_history(self) -> None:
        """Have every watch from an older revision fail."""
        self._events.clear()
        self._forgotten = self.revision
        self._wake()

    def list_names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects, in their order."""
        return sorted(self._kinds.get(kind, {}))

    def _tell(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, event))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    # What the wire says.

    def make_server(self, *, ip: str, port: int) -> HttpServer:
        """Return the server that is still to be run."""
        return HttpServer(ip=ip, port=port, handle=self.handle)

    async def handle(self, request: Request, connection: Connection) -> Reply | None:
        """Answer one call."""
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
                held = self._kinds.get(kind, {}).get(name)
                if held is None:
                    return make_json_reply({"error": "no such object"}, status=404)
                return make_json_reply(held.show())
            case "GET" if "watch" in options:
                return await self._watch(
                    kind, int(options["watch"]), int(options.get("wait_ms", 0))
                )
            case "GET":
                return self._list(kind, options.get("after", ""))
            case "DELETE" if name:
                self.remove(kind, name)
                return make_json_reply({})
            case "POST" | "PUT":
                return self._write(request, kind, name)
        return make_json_reply({"error": "no such call"}, status=405)

    def _list(self, kind: str, after: str) -> Reply:
        names = [name for name in self.list_names(kind) if name > after]
        page = [self._kinds[kind][name].show() for name in names[:PAGE_ITEMS]]
        return make_json_reply(
            {
                "items": page,
                "has_more": len(names) > PAGE_ITEMS,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, kind: str, after: int, wait_ms: int) -> Reply:
        with trio.move_on_after(min(wait_ms, MAX_WAIT_MS) / 1_000):
            while after >= self._forgotten and not self._find_events(kind, after):
                await self._changed.wait()
        if after < self._forgotten:
            return make_json_reply({"error": "history is gone"}, status=410)
        return make_json_reply(
            {
                "events": self._find_events(kind, after),
                "current_rev": self.revision,
            }
        )

    def _find_events(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [event for at, k, event in self._events if k == kind and at > after]

    def _write(self, request: Request, kind: str, name: str) -> Reply:
        body = msgspec.json.decode(request.body)
        meta = body.get("meta", {})
        name = name or meta["name"]
        held = self._kinds.get(kind, {}).get(name)
        if request.method == "POST" and held is not None:
            return make_json_reply(held.show(), status=409)
        if request.method == "PUT" and held is None:
            return make_json_reply({"error": "no such object"}, status=404)
        wanted = meta.get("revision")
        if held is not None and wanted not in (None, held.revision):
            return make_json_reply(held.show(), status=409)
        self.put(kind, name, body.get("spec"))
        return make_json_reply(self._kinds[kind][name].show())
