"""The command line: its group of commands, its errors and exit codes."""

import os
import sys
from collections.abc import Sequence

import click

from .. import __version__
from ..errors import LavendergapError
from ..logs import Category, LogFormat, configure_logs
from .entry import entry
from .explain import explain
from .options import parse_categories
from .query import query
from .settings import settings
from .status import status

_BROKEN_PIPE = 1
_INTERRUPTED = 130


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="lavendergap")
@click.option(
    "--debug",
    metavar="CATEGORIES",
    callback=parse_categories,
    help=f"Log what is decided: all, or some of {', '.join(Category)}.",
)
def cli(debug: tuple[Category, ...]) -> None:
    """Query a library that is split across very many shards.

    Operators drive lavendergap by editing a tree of settings; `settings` checks and
    applies them, `entry` is the daemon on each entry host, `query` and `status` ask
    the hosts, and `explain` reads their logs.

    Exit codes: 0 done, 1 failed, 2 bad settings or usage, 3 nobody could be reached,
    4 another operator's edit came first, 5 not in force everywhere in time.
    """
    if debug:
        configure_logs(level="warning", log_format=LogFormat.TEXT, debug=debug)


for command in (entry, settings, query, status, explain):
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
        return _INTERRUPTED
    except BrokenPipeError:
        # The reader, such as `head`, has gone; python would complain at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return _BROKEN_PIPE
    except OSError as error:
        # An address in use, a file that cannot be written; the text names it.
        click.echo(f"lavendergap: {error}", err=True)
        return LavendergapError.exit_code
    return result if isinstance(result, int) else 0
