"""What the commands write: tables at a terminal, JSON for programs, errors."""

from collections.abc import Iterable, Sequence

import click
import msgspec


def print_json(value: object) -> None:
    """Write `value` as one line of JSON on stdout."""
    click.echo(msgspec.json.encode(value).decode())


def print_note(text: str) -> None:
    """Write a line for people on stderr, so that stdout stays clean."""
    click.echo(text, err=True)


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Write a table on stdout; one that is not a terminal gets no colours."""
    # Imported here: the daemon has no use for it and would hold it in memory.
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        # As text: names and messages may hold what rich takes for markup.
        table.add_row(*(Text(str(cell)) for cell in row))
    console = Console()
    if not console.is_terminal:
        console.width = _PIPE_WIDTH
    console.print(table)


_PIPE_WIDTH = 160
