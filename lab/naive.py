"""The naive fan-out that the policy is measured against, as a process of its own.

It speaks the callers' HTTP of an entry host. Each call goes to the next replica in
turn, an error is tried again at once on the other one, and the caller is answered
once all shards have answered, or with those that have by the deadline. There is no
admission, no hedge, no budget, and no host knows what the others send. It uses the
stand-ins' HTTP by h11, which costs less than the product's, so that it is never the
processor that makes it look bad. For example::

    python -m lab.naive --settings FILE --service scheduler \\
        --listen 127.0.0.1:8001 --connections 5
"""

import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import click
import trio

from lavendergap.protocol.answers import SearchResult, ShardResult, encode_search
from lavendergap.state.outcome import Coverage, Missing, Reason, Step
from lavendergap.state.settings import Group, Server, Service
from standins.client import Answer, Client, LostConnectionError, connect
from standins.fleet import parse_address, read_settings
from standins.http import Connection, HttpServer, Reply, Request, make_error
from standins.process import run_process

MAX_TRIES = 3
VERSION = 1
RETRYABLE = (OSError, LostConnectionError)


class Pool:
    """At most `n_connections` to one server; a call waits for a free one."""

    def __init__(self, *, server: Server, n_connections: int) -> None:
        self._address = server.address
        self._room = trio.Semaphore(n_connections)
        self._idle: list[Client] = []

    async def post(self, headers: dict[str, str], body: bytes) -> Answer:
        """Make one call; raises OSError or LostConnectionError."""
        async with self._room, self._lend() as client:
            return await client.request("POST", "/search", headers=headers, body=body)

    @asynccontextmanager
    async def _lend(self) -> AsyncIterator[Client]:
        client = await self._take()
        try:
            yield client
        finally:
            if client.is_reusable:
                self._idle.append(client)
            else:
                with trio.CancelScope(shield=True):
                    await client.aclose()

    async def _take(self) -> Client:
        while self._idle:
            client = self._idle.pop()
            if not client.has_input():
                return client
            await client.aclose()
        return await connect(self._address.ip, self._address.port)


class NaiveGroup:
    """Sends each call to the next replica, and errors to the one after it."""

    def __init__(self, *, group: Group, n_connections: int) -> None:
        self.name = group.name
        self._pools = [
            Pool(server=s, n_connections=n_connections) for s in group.servers
        ]
        self._turns = itertools.cycle(self._pools)

    async def ask(self, headers: dict[str, str], body: bytes) -> bytes | None:
        """Return the shard's result, or None when every try failed."""
        for _ in range(MAX_TRIES):
            try:
                answer = await next(self._turns).post(headers, body)
            except RETRYABLE:
                continue
            if answer.status == 200:
                return answer.body
        return None


class NaiveFanOut:
    """Asks all shards of a service at once and waits for all of them."""

    def __init__(self, *, service: Service, n_connections: int) -> None:
        self._service = service
        self._groups = {
            f"s{number:02}": NaiveGroup(group=group, n_connections=n_connections)
            for number, group in enumerate(service.groups)
        }
        self._attempts = itertools.count(1)

    async def handle(self, request: Request, connection: Connection) -> Reply:
        """Answer one request of a caller."""
        if request.path != f"/v1/services/{self._service.name}/query":
            return make_error(404, "There is no such path.")
        deadline_ms = int(request.headers.get("deadline-ms", self._service.deadline_ms))
        results: dict[str, bytes] = {}
        with trio.move_on_after(deadline_ms / 1_000):
            async with trio.open_nursery() as nursery:
                for shard in self._groups:
                    nursery.start_soon(
                        self._ask, shard, deadline_ms, request.body, results
                    )
        return self._join(request.headers.get("request-id", ""), results)

    async def _ask(
        self, shard: str, deadline_ms: int, body: bytes, results: dict[str, bytes]
    ) -> None:
        headers = {
            "Attempt": f"naive-{next(self._attempts)}",
            "Shard": shard,
            "Index-Version": str(VERSION),
            "Deadline-Ms": str(deadline_ms),
        }
        result = await self._groups[shard].ask(headers, body)
        if result is not None:
            results[shard] = result

    def _join(self, request_id: str, results: dict[str, bytes]) -> Reply:
        n_asked = len(self._groups)
        coverage = Coverage(
            n_asked=n_asked,
            n_answered=len(results),
            share=len(results) / n_asked,
            missing=tuple(
                Missing(
                    shard=shard,
                    reason=Reason.STRAGGLER,
                    step=Step.RECEIVE,
                    peer=group.name,
                )
                for shard, group in self._groups.items()
                if shard not in results
            ),
        )
        body = encode_search(
            SearchResult(
                request_id=request_id,
                service=self._service.name,
                version=VERSION,
                coverage=coverage,
                results=tuple(
                    ShardResult(shard=shard, result=results[shard])
                    for shard in self._groups
                    if shard in results
                ),
            )
        )
        status = 200 if results else 504
        return Reply(
            status=status, body=body, headers=(("Content-Type", "application/json"),)
        )


@click.command()
@click.option("--settings", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--service", "name", required=True, help="The service to fan out to.")
@click.option("--listen", required=True, help="IP:PORT for callers.")
@click.option(
    "--connections",
    type=click.IntRange(1),
    required=True,
    help="Connections to each server: its limit, divided by the number of hosts.",
)
def main(settings: Path, name: str, listen: str, connections: int) -> None:
    """Serve callers by a naive fan-out until a signal comes."""
    service = read_settings(settings).get_service(name)
    if service is None:
        raise click.UsageError(f"there is no service {name!r} in {settings}")
    fan_out = NaiveFanOut(service=service, n_connections=connections)
    address = parse_address(listen)

    async def start(nursery: trio.Nursery) -> None:
        server = HttpServer(ip=address.ip, port=address.port, handle=fan_out.handle)
        await nursery.start(server.run)

    run_process(start)


if __name__ == "__main__":
    main()
