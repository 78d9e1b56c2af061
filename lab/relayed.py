"""Runs the daemon behind a relay for its peers' channels.

The relay listens at the host's address for peers, the daemon at another one. Membership
datagrams still reach the daemon directly, so that its peers consider the host live
while its channels are silent.
"""

from pathlib import Path

import click
import trio

from lavendergap.entry.daemon import Daemon
from lavendergap.logs import configure_logs
from lavendergap.state.settings import Address, Host, Settings
from standins.fleet import parse_address, read_settings


class RelayedDaemon(Daemon):
    """Accepts peers' channels at `bind` instead of the host's address for peers."""

    def __init__(self, *, settings: Settings, own: Host, bind: Address) -> None:
        super().__init__(settings=settings, own=own)
        self._bind = bind

    async def _listen(self) -> trio.SocketListener:
        [listener] = await trio.open_tcp_listeners(self._bind.port, host=self._bind.ip)
        return listener


@click.command()
@click.option("--settings", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--host", required=True)
@click.option(
    "--bind", required=True, help="IP:PORT where peers' channels are accepted."
)
def main(settings: Path, host: str, bind: str) -> None:
    """Run the daemon of a host until SIGTERM."""
    configure_logs()
    read = read_settings(settings)
    own = read.get_host(host)
    if own is None:
        raise click.ClickException(f"no host {host!r} in {settings}")
    daemon = RelayedDaemon(settings=read, own=own, bind=parse_address(bind))
    trio.run(daemon.run)


if __name__ == "__main__":
    main()
