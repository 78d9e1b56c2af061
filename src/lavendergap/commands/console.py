"""Output of the commands: JSON, notes and tables."""

from collections.abc import Iterable, Sequence

import click
import msgspec


def print_json(value: object) -> None:
    """Write `value` to stdout as one line of JSON."""
    click.echo(msgspec.json.encode(value).decode())


def print_note(text: str) -> None:
    """Write a message to stderr, so that stdout holds only the output."""
    click.echo(text, err=True)


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Write a table to stdout, with colours only at a terminal."""
    # Imported here, since the daemon does not need it in memory.
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        # As Text, since rich would interpret markup in names and messages.
        table.add_row(*(Text(str(cell)) for cell in row))
    console = Console()
    if not console.is_terminal:
        console.width = _PIPE_WIDTH_COLUMNS
    console.print(table)


_PIPE_WIDTH_COLUMNS = 160
