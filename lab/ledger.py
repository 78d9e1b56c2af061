"""A backend stand-in that counts runs by booking instead of by attempt."""

from pathlib import Path
from typing import Any

import click
import msgspec

from standins.backend import BackendServer, Call, Fleet
from standins.faults import BackendFaults
from standins.fleet import list_servers, parse_address, read_settings
from standins.http import HttpServer
from standins.process import run_process

QUEUE_PER_SLOT = 2


class LedgerServer(BackendServer):
    """Counts each run of /run under the `query` of its body, the booking's id.

    The same booking may arrive in several attempts, from several hosts and with several
    tickets. Only its own id shows whether it ran twice.
    """

    def _count_run(self, call: Call) -> None:
        self.counts.run += 1
        body: Any = msgspec.json.decode(call.request.body)
        self.runs[body["query"]] += 1


@click.command()
@click.option("--settings", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--control", required=True, help="IP:PORT of the control port.")
@click.option("--service-ms", type=float, default=20.0, show_default=True)
def main(settings: Path, control: str, service_ms: float) -> None:
    """Serve every backend server of a settings file."""
    servers = list_servers(read_settings(settings), ("*",))
    address = parse_address(control)
    faults = BackendFaults(service_ms=service_ms)

    async def start(nursery: Any) -> None:
        fleet = Fleet(
            servers=tuple(
                LedgerServer(
                    server=server,
                    faults=faults,
                    queue_limit=server.slots * QUEUE_PER_SLOT,
                )
                for server in servers
            )
        )
        for server in fleet.servers:
            await nursery.start(server.run)
        port = HttpServer(ip=address.ip, port=address.port, handle=fleet.handle)
        await nursery.start(port.run)

    run_process(start)


if __name__ == "__main__":
    main()
