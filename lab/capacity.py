"""Generates the tables of docs/CAPACITY.md from saved figures; `make capacity`.

Each table stands between two markers in the page and is computed from
`lab/figures/*.json`. A test checks that the page is up to date.
"""

import hashlib
import re
import sys
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot

from .sizes import PARTS
from .slopes import FigureStore
from .tables import TABLES

PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
PLOT = PAGE.with_name("capacity.svg")
TABLE_PATTERN = re.compile(r"(<!-- table: ([a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)
PLOTTED_PARTS = tuple(
    part
    for part in PARTS
    if part.name in {"hop_us", "join_us", "rank_join_by_groups_us", "decode_us"}
)


class PageError(Exception):
    """The page has a marker for an unknown table."""


def fill_page(text: str, store: FigureStore) -> str:
    """Return the page with every table regenerated.

    >>> page = "<!-- table: platform -->\\nold\\n<!-- end -->"
    >>> "waiting watches | 4 |" in fill_page(page, FigureStore(directory=Path("none")))
    True
    """

    def fill(match: re.Match[str]) -> str:
        name = match[2]
        if name not in TABLES:
            raise PageError(f"no table {name!r}; known tables: {', '.join(TABLES)}")
        return f"{match[1]}\n{TABLES[name](store)}\n{match[3]}"

    return TABLE_PATTERN.sub(fill, text)


def find_missing(text: str) -> set[str]:
    """Return the names of the tables that the page lacks."""
    return set(TABLES) - {match[2] for match in TABLE_PATTERN.finditer(text)}


def digest_points(store: FigureStore) -> str:
    """Return a short digest of the plotted points, stored in the plot's metadata."""
    points = [store.get_points(part.measure, part.name) for part in PLOTTED_PARTS]
    return hashlib.sha256(repr(points).encode()).hexdigest()[:16]


def draw_plot(store: FigureStore, path: Path) -> None:
    """Plot the points, the fitted line and the target size of four parts."""
    # Without a fixed salt, the ids in the SVG file would differ between runs.
    pyplot.rcParams["svg.hashsalt"] = "lavendergap"
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6))
    for part, axis in zip(PLOTTED_PARTS, axes.flat, strict=True):
        axis.set_title(part.label, fontsize=9)
        axis.set_xlabel(part.x_unit, fontsize=8)
        axis.set_ylabel(part.unit, fontsize=8)
        slope = store.get_slope(part.measure, part.name)
        if slope is None:
            continue
        ends = (0.0, max(*slope.points, part.target_x))
        axis.plot(list(slope.points), list(slope.points.values()), "o")
        axis.plot(ends, [slope.compute(x) for x in ends], "-")
        axis.axvline(part.target_x, linestyle=":", color="grey")
    figure.tight_layout()
    metadata = {"Date": None, "Description": digest_points(store)}
    figure.savefig(path, metadata=metadata)
    pyplot.close(figure)


def main() -> None:
    """Regenerate the tables of the page and the plot."""
    store = FigureStore()
    text = PAGE.read_text()
    missing = find_missing(text)
    if missing:
        sys.exit(f"{PAGE.name} lacks the tables {', '.join(sorted(missing))}")
    PAGE.write_text(fill_page(text, store))
    draw_plot(store, PLOT)
    print(f"wrote the tables of {PAGE.name} and {PLOT.name}")


if __name__ == "__main__":
    main()
