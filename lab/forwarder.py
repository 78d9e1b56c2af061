"""A naive forwarder of bookings that retries on errors, as a baseline.

It behaves as a plain HTTP proxy with retries, which may run a request twice.
"""

import random
from pathlib import Path

import click
import trio

from lavendergap.state.settings import Address, Server
from standins.client import Answer, LostConnectionError, connect
from standins.fleet import parse_address, read_settings
from standins.http import Connection, HttpServer, Reply, Request, make_error
from standins.process import run_process

MAX_ATTEMPTS = 3


class Forwarder:
    """Forwards each request to a backend server, after an error to another one."""

    def __init__(
        self, *, servers: tuple[Server, ...], name: str, attempt_limit_s: float
    ) -> None:
        self._servers = servers
        self._name = name
        self._attempt_limit_s = attempt_limit_s
        self._random = random.Random(name)
        self._n_attempts = 0

    async def handle(self, request: Request, connection: Connection) -> Reply:
        """Forward one request; reply with 502 when no server answered."""
        first = self._random.randrange(len(self._servers))
        for offset in range(MAX_ATTEMPTS):
            server = self._servers[(first + offset) % len(self._servers)]
            answer = await self._attempt(server.address, request.body)
            if answer is not None and answer.status == 200:
                return Reply(status=200, body=answer.body)
        return make_error(502, "no backend server answered")

    async def _attempt(self, address: Address, body: bytes) -> Answer | None:
        self._n_attempts += 1
        headers = {"Attempt": f"{self._name}-{self._n_attempts}"}
        with trio.move_on_after(self._attempt_limit_s):
            try:
                client = await connect(address.ip, address.port)
            except OSError:
                return None
            try:
                return await client.request("POST", "/run", headers=headers, body=body)
            except LostConnectionError:
                return None
            finally:
                await client.aclose()
        return None


@click.command()
@click.option("--settings", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="IP:PORT for callers.")
@click.option("--try-ms", type=float, default=500.0, show_default=True)
def main(settings: Path, service: str, listen: str, try_ms: float) -> None:
    """Forward callers' requests to the backend servers of one service."""
    found = read_settings(settings).get_service(service)
    if found is None:
        raise click.ClickException(f"no service {service!r} in {settings}")
    address = parse_address(listen)
    servers = tuple(server for group in found.groups for server in group.servers)

    async def start(nursery: trio.Nursery) -> None:
        forwarder = Forwarder(
            servers=servers, name=listen, attempt_limit_s=try_ms / 1_000
        )
        port = HttpServer(ip=address.ip, port=address.port, handle=forwarder.handle)
        await nursery.start(port.run)

    run_process(start)


if __name__ == "__main__":
    main()
