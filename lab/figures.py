"""Prints the figures of a measurement and saves them for the documentation.

Each measurement ends with `report`, which prints tables and a last line `name=value
...` for programs, and writes `lab/figures/<measure>.json`. Pages such as
docs/CAPACITY.md may only quote figures from these files.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

DIRECTORY = Path(__file__).with_name("figures")
CONSOLE_WIDTH = 100

Value = float | int | str


@dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """The results of one run, with its time, machine and conditions.

    `load_average` is the machine's over the last minute of the run. Far above `n_cores`
    it means that short times mostly reflect contention with other processes.
    """

    measure: str
    at: str
    n_cores: int
    load_average: float
    conditions: dict[str, Value]
    figures: dict[str, float]


def make_figures(
    measure: str,
    figures: Mapping[str, float],
    *,
    conditions: Mapping[str, Value] | None = None,
) -> Figures:
    """Return the figures of a run that has just ended on this machine."""
    return Figures(
        measure=measure,
        at=datetime.now(UTC).isoformat(timespec="seconds"),
        n_cores=os.cpu_count() or 1,
        load_average=round(os.getloadavg()[0], 1),
        conditions=dict(conditions or {}),
        figures={name: round(float(value), 6) for name, value in figures.items()},
    )


def save_figures(figures: Figures, *, directory: Path = DIRECTORY) -> Path:
    """Write the figures to `<measure>.json`, replacing those of the last run."""
    directory.mkdir(exist_ok=True)
    path = directory / f"{figures.measure}.json"
    encoded = msgspec.json.format(msgspec.json.encode(figures), indent=2)
    path.write_bytes(encoded + b"\n")
    return path


def load_figures(measure: str, *, directory: Path = DIRECTORY) -> Figures:
    """Read the figures of the last run; raises FileNotFoundError without one."""
    path = directory / f"{measure}.json"
    return msgspec.json.decode(path.read_bytes(), type=Figures)


def format_line(figures: Mapping[str, float]) -> str:
    """Return the `name=value` line that ends a run's output.

    >>> format_line({"extra_load": 0.03125, "coverage": 1.0})
    'extra_load=0.0312 coverage=1'
    """
    return " ".join(f"{name}={value:.4g}" for name, value in figures.items())


def report(figures: Figures, *tables: Table, is_saved: bool = True) -> None:
    """Print tables, conditions and the last line; save the figures."""
    console = Console(width=CONSOLE_WIDTH)
    for table in tables:
        console.print(table)
    conditions = {
        **figures.conditions,
        "cores": figures.n_cores,
        "load_average": figures.load_average,
    }
    console.print(", ".join(f"{name} {value}" for name, value in conditions.items()))
    if is_saved:
        save_figures(figures)
    # Not printed by rich, which would wrap the line.
    print(format_line(figures.figures), flush=True)
