"""Generates the settings reference; `python -m lab.reference`.

The part of docs/operators/settings.md between two markers is generated from the table
of options in state/options.py. A test checks that the page is up to date.
"""

from collections.abc import Iterator
from pathlib import Path

from lavendergap.state.levels import Level, Option
from lavendergap.state.options import (
    BRANCHES,
    OPTIONS,
    STRAGGLERS_OPTIONS,
    list_branches,
)
from lavendergap.state.settings import GiveUpStragglers, WaitForCoverage
from lavendergap.state.values import Value, describe_kind

PAGE = Path(__file__).parent.parent / "docs" / "operators" / "settings.md"
START = "<!-- Made by `python -m lab.reference`; edit state/options.py instead. -->"
END = "<!-- End of what `python -m lab.reference` makes. -->"


def write_reference() -> str:
    """Return the reference: the branches, then the options by their lowest level."""
    lines = ["### Branches", "", *_write_branches()]
    for level in Level:
        options = [option for option in OPTIONS if option.lowest is level]
        if options:
            lines += ["", f"### {level.capitalize()}", "", *_write_options(options)]
    lines += ["", "### Stragglers", ""]
    lines.append('Inside `{"kind": "give up", ...}`; `{"kind": "wait"}` has none.')
    lines += ["", *_write_options(STRAGGLERS_OPTIONS["give up"])]
    return "\n".join(lines)


def replace_reference(page: str) -> str:
    """Return `page` with the part between the markers regenerated.

    Raises ValueError when a marker is missing.
    """
    before, found, rest = page.partition(START)
    _, ended, after = rest.partition(END)
    if not found or not ended:
        raise ValueError(f"{PAGE.name} lacks the markers {START} and {END}")
    return f"{before}{START}\n\n{write_reference()}\n\n{END}{after}"


def _write_branches() -> Iterator[str]:
    yield "| key | stands in | holds | |"
    yield "|---|---|---|---|"
    for branch in BRANCHES:
        below = ", ".join(f"`{kind.key}`" for kind in list_branches(branch.level))
        holds = f"options, {below}" if below else "options"
        key = f"{branch.key}.NAME" if branch.named else branch.key
        yield f"| `{key}` | {branch.parent} | {holds} | {branch.help} |"


def _write_options(options: tuple[Option, ...] | list[Option]) -> Iterator[str]:
    yield "| option | value | default | allowed at | |"
    yield "|---|---|---|---|---|"
    for option in options:
        value = describe_kind(option.kind)
        if option.unit:
            value += f" ({option.unit})"
        levels = ", ".join(option.levels) or "`stragglers`"
        default = _write_default(option)
        yield f"| `{option.name}` | {value} | {default} | {levels} | {option.help} |"


def _write_default(option: Option) -> str:
    if option.default is None:
        return "none: must be stated"
    shown = f"`{_show(option.default)}`"
    if option.extra_calls:
        shown += "; `0` if not idempotent"
    return shown


def _show(value: Value) -> str:
    match value:
        case WaitForCoverage():
            return '{"kind": "wait"}'
        case GiveUpStragglers():
            return '{"kind": "give up"}'
        case bool():
            return "true" if value else "false"
    return str(value)


def main() -> None:
    """Regenerate the reference page."""
    page = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(replace_reference(page), encoding="utf-8")
    print(PAGE)


if __name__ == "__main__":
    main()
