"""Runs the daemon so that its peers' channels come through a relay.

The relay stands at the host's address for peers, and the daemon listens for channels
elsewhere. Datagrams of membership go straight to the daemon, so that its peers go on
to believe in it while the channels are silent: the harder case.
"""

from pathlib import Path

import click
import trio

from lavendergap.entry.daemon import Daemon
from lavendergap.logs import configure_logs
from lavendergap.state.settings import Address, Host, Settings
from standins.fleet import parse_address, read_settings


class RelayedDaemon(Daemon):
    """Takes peers' channels at `bind` in place of the host's own address."""

    def __init__(self, *, settings: Settings, own: Host, bind: Address) -> None:
        super().__init__(settings=settings, own=own)
        self._bind = bind

    async def _listen(self) -> trio.SocketListener:
        [listener] = await trio.open_tcp_listeners(self._bind.port, host=self._bind.ip)
        return listener


@click.command()
@click.option("--settings", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--host", required=True)
@click.option("--bind", required=True, help="IP:PORT to take peers' channels at.")
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
