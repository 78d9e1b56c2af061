"""The command line: its commands, error messages and exit codes."""

import os
import sys
from collections.abc import Sequence

import click

from .. import __version__
from ..errors import LavendergapError
from ..logs import Category, LogFormat, configure_logs
from .customers import customers
from .entry import entry
from .explain import explain
from .options import parse_categories
from .query import query
from .settings import settings
from .status import status

_EXIT_BROKEN_PIPE = 1
_EXIT_INTERRUPTED = 130


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="lavendergap")
@click.option(
    "--debug",
    metavar="CATEGORIES",
    callback=parse_categories,
    help=f"Log decisions: all, or some of {', '.join(Category)}.",
)
def cli(debug: tuple[Category, ...]) -> None:
    """Query a library that is split across very many shards.

    Operators control lavendergap by editing a tree of settings. `settings` checks
    and applies them, `entry` is the daemon on each entry host, `query`, `status`
    and `customers` send requests to the hosts, and `explain` evaluates their logs.

    Exit codes: 0 done, 1 failed, 2 bad settings or usage, 3 nobody could be reached,
    4 another operator's edit came first, 5 not in force everywhere in time.
    """
    if debug:
        configure_logs(level="warning", log_format=LogFormat.TEXT, debug=debug)


for command in (entry, settings, query, status, customers, explain):
    cli.add_command(command)


def run(arguments: Sequence[str]) -> int:
    """Run the command line and return its exit code."""
    try:
        result = cli.main(list(arguments), "lavendergap", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except LavendergapError as error:
        click.echo(f"lavendergap: {error}", err=True)
        return error.exit_code
    except (click.Abort, KeyboardInterrupt):
        return _EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader, such as `head`, has exited. Python would report an error when
        # it flushes stdout at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return _EXIT_BROKEN_PIPE
    except OSError as error:
        # Such as an address in use or a file that cannot be written.
        click.echo(f"lavendergap: {error}", err=True)
        return LavendergapError.exit_code
    return result if isinstance(result, int) else 0
