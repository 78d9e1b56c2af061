"""Works out the tables of docs/CAPACITY.md from saved figures; `make capacity`.

The page is prose with tables between markers. Nobody copies a number by hand: each
table is made from what `lab/figures/*.json` hold, and a test holds the page to them.
"""

import hashlib
import re
import sys
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot

from .sizes import PARTS
from .slopes import Store
from .tables import TABLES

PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
PLOT = PAGE.with_name("capacity.svg")
TABLE = re.compile(r"(<!-- table: ([a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)
PLOTTED = tuple(
    part
    for part in PARTS
    if part.name in {"hop_us", "join_us", "rank_join_by_groups_us", "decode_us"}
)


class PageError(Exception):
    """The page names a table that there is not, or leaves one out."""


def fill_page(text: str, store: Store) -> str:
    """Return the page with every table worked out anew.

    >>> page = "<!-- table: platform -->\\nold\\n<!-- end -->"
    >>> "waiting watches | 4 |" in fill_page(page, Store(directory=Path("none")))
    True
    """

    def fill(match: re.Match[str]) -> str:
        name = match[2]
        if name not in TABLES:
            raise PageError(f"no table {name!r}; there are {', '.join(TABLES)}")
        return f"{match[1]}\n{TABLES[name](store)}\n{match[3]}"

    return TABLE.sub(fill, text)


def find_missing(text: str) -> set[str]:
    """Return the tables that the page does not have."""
    return set(TABLES) - {match[2] for match in TABLE.finditer(text)}


def digest_points(store: Store) -> str:
    """Return what the plot is made of, as a short digest kept in its file."""
    points = [store.get_points(part.measure, part.name) for part in PLOTTED]
    return hashlib.sha256(repr(points).encode()).hexdigest()[:16]


def draw_plot(store: Store, path: Path) -> None:
    """Draw the points of four parts with their lines, and where the size stands."""
    # Without a fixed salt the ids in the file would differ with each run.
    pyplot.rcParams["svg.hashsalt"] = "lavendergap"
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6))
    for part, axis in zip(PLOTTED, axes.flat, strict=True):
        axis.set_title(part.told, fontsize=9)
        axis.set_xlabel(part.by, fontsize=8)
        axis.set_ylabel(part.unit, fontsize=8)
        slope = store.get_slope(part.measure, part.name)
        if slope is None:
            continue
        ends = (0.0, max(*slope.points, part.at))
        axis.plot(list(slope.points), list(slope.points.values()), "o")
        axis.plot(ends, [slope.compute(x) for x in ends], "-")
        axis.axvline(part.at, linestyle=":", color="grey")
    figure.tight_layout()
    metadata = {"Date": None, "Description": digest_points(store)}
    figure.savefig(path, metadata=metadata)
    pyplot.close(figure)


def main() -> None:
    """Rewrite the tables of the page and the plot."""
    store = Store()
    text = PAGE.read_text()
    missing = find_missing(text)
    if missing:
        sys.exit(f"{PAGE.name} lacks the tables {', '.join(sorted(missing))}")
    PAGE.write_text(fill_page(text, store))
    draw_plot(store, PLOT)
    print(f"wrote the tables of {PAGE.name} and {PLOT.name}")


if __name__ == "__main__":
    main()
