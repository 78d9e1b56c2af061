"""The backend stand-in: limits, truthful refusals, and each fault on demand."""

from contextlib import asynccontextmanager
from typing import Any

import msgspec
import trio

from lavendergap.state.settings import Address, Server
from standins import client
from standins.backend import BackendServer, Fleet
from standins.client import Client
from standins.faults import BackendFaults, change_faults
from standins.http import Connection, Request


async def search(client: Client, attempt: str, body: bytes = b"{}", **names: str):
    headers = {n.replace("_", "-"): v for n, v in names.items()} | {"Attempt": attempt}
    return await client.request("POST", "/search", headers=headers, body=body)


async def connect(server: BackendServer) -> Client:
    return await client.connect("127.0.0.1", server.port)


@asynccontextmanager
async def serve(*, slots: int = 2, connections: int = 25, **faults: Any):
    address = Address(ip="127.0.0.1", port=0)
    server = BackendServer(
        server=Server(
            name="scheduler-00-a",
            address=address,
            data_centre="ptl-a",
            slots=slots,
            connections=connections,
        ),
        faults=change_faults(BackendFaults(), faults),
        queue_limit=2,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        yield server
        nursery.cancel_scope.cancel()


async def set_faults(server: BackendServer, **change: Any) -> None:
    body = msgspec.json.encode({"scheduler-*": change})
    request = Request(method="POST", path="/faults", query="", headers={}, body=body)
    unused: Connection = None  # type: ignore[assignment]
    reply = await Fleet(servers=(server,)).handle(request, unused)
    assert reply.status == 200, reply.body


class TestAnswer:
    async def test_answer_names_its_call(self):
        async with serve(index_versions=[6, 7]) as server:
            answer = await search(
                await connect(server),
                "a1",
                b'{"query": "bus"}',
                shard="s03",
                index_version="6",
            )
        assert answer.status == 200
        assert answer.json == {
            "shard": "s03",
            "version": 6,
            "server": "scheduler-00-a",
            "query": "bus",
            "length": 16,
        }
        assert answer.headers["attempt"] == "a1"
        assert answer.headers["index-version"] == "6"
        assert answer.headers["index-versions"] == "6,7"
        assert answer.headers["load"] == "0/2/0"
        assert answer.headers["server-state"] == "serving"

    async def test_version_that_is_not_served_is_refused_as_not_run(self):
        async with serve() as server:
            answer = await search(await connect(server), "a1", index_version="9")
        assert (answer.status, answer.headers["outcome"]) == (409, "not-run")
        assert server.counts.run == 0
