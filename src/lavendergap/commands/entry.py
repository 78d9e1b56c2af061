"""`lavendergap entry`: the daemon on an entry host."""

from pathlib import Path

import click

from ..logs import LogFormat, configure_logs
from ..state.tree import load_settings
from .options import settings_option


@click.command()
@settings_option
@click.option(
    "--host", required=True, metavar="NAME", help="This host's name in the settings."
)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="The lowest level that is logged.",
)
@click.option(
    "--log-format",
    type=click.Choice([form.value for form in LogFormat]),
    default=LogFormat.AUTO.value,
    show_default=True,
    help="JSON lines or text; auto is text at a terminal.",
)
@click.pass_context
def entry(
    context: click.Context,
    settings_path: Path,
    host: str,
    log_level: str,
    log_format: str,
) -> None:
    """Serve callers on this entry host until SIGTERM.

    The host's addresses and data centre are read from FILE. Newer settings come
    from the platform or from peers and replace those of FILE.
    """
    settings = load_settings(settings_path)
    # Imported here, since no other command needs the daemon.
    from ..entry.daemon import run_entry

    handler = configure_logs(
        level=log_level,
        log_format=LogFormat(log_format),
        debug=context.find_root().params["debug"],
    )
    try:
        run_entry(settings, host, str(settings_path))
    finally:
        handler.close()
