"""Checks the specifications in this directory with Spin, exhaustively.

Each specification must hold as it stands, and must fail in each variant that takes
a safeguard out or claims that a wanted outcome is never reached. Prints a table and
ends with 1 if any verdict is not the expected one, with 2 if Spin could not be run.
"""

import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

DIRECTORY = Path(__file__).resolve().parent
MAX_DEPTH = 1_000_000
TIMEOUT_S = 120
N_AT_ONCE = 2

STORED = re.compile(r"^\s*(\d+) states, stored", re.MULTILINE)
ERRORS = re.compile(r"errors: (\d+)")
INCOMPLETE = ("max search depth too small", "Search not completed", "out of memory")


@dataclass(frozen=True, kw_only=True, slots=True)
class Variant:
    """A specification with one macro defined; without one it must hold."""

    model: str
    macro: str | None = None

    @property
    def expected(self) -> str:
        """The verdict that this variant must have."""
        return "holds" if self.macro is None else "fails"


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """What Spin found. A search that ended early has the verdict "incomplete"."""

    variant: Variant
    n_states: int
    found: str

    @property
    def is_expected(self) -> bool:
        """Whether the specification did what it must."""
        return self.found == self.variant.expected


def list_variants(model: str) -> list[Variant]:
    """Return the specification itself, then each macro that its text tests for."""
    text = (DIRECTORY / f"{model}.pml").read_text()
    macros = re.findall(r"^#ifn?def (\w+)", text, re.MULTILINE)
    whole = Variant(model=model)
    return [whole] + [Variant(model=model, macro=m) for m in dict.fromkeys(macros)]


def check(variant: Variant) -> Verdict:
    """Build and run the verifier of one variant in a directory of its own."""
    with tempfile.TemporaryDirectory(prefix="model-") as directory:
        source = DIRECTORY / f"{variant.model}.pml"
        macros = [] if variant.macro is None else [f"-D{variant.macro}"]
        _run(["spin", *macros, "-a", str(source)], directory)
        _run(["gcc", "-O2", "-DSAFETY", "-w", "-o", "pan", "pan.c"], directory)
        report = _run(["./pan", f"-m{MAX_DEPTH}"], directory)
    return read_report(variant, report)


def read_report(variant: Variant, report: str) -> Verdict:
    """Return the verdict that a verifier's report gives."""
    stored = STORED.search(report)
    errors = ERRORS.search(report)
    if stored is None or errors is None:
        raise RuntimeError(f"no verdict in the verifier's report:\n{report}")
    if int(errors[1]) > 0:
        # A deadlock or a bad index is a mistake in the specification, never the
        # broken promise that a variant is meant to show.
        found = "fails" if "assertion violated" in report else "mistaken"
    elif any(mark in report for mark in INCOMPLETE):
        found = "incomplete"
    else:
        found = "holds"
    return Verdict(variant=variant, n_states=int(stored[1]), found=found)


def _run(command: list[str], directory: str) -> str:
    done = subprocess.run(
        command, cwd=directory, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    if done.returncode != 0:
        raise RuntimeError(f"{command[0]} failed:\n{done.stdout}{done.stderr}")
    return done.stdout


def main() -> int:
    """Check all variants of all specifications; return the exit code."""
    models = sorted(path.stem for path in DIRECTORY.glob("*.pml"))
    variants = [variant for model in models for variant in list_variants(model)]
    try:
        with ThreadPoolExecutor(N_AT_ONCE) as pool:
            verdicts = list(pool.map(check, variants))
    except (OSError, RuntimeError, subprocess.TimeoutExpired) as error:
        print(f"model check could not run: {error}", file=sys.stderr)
        return 2
    print(f"{'model':<10}{'variant':<30}{'states':>10}  {'verdict':<12}expected")
    for verdict in verdicts:
        variant = verdict.variant
        name = variant.macro or "(as it stands)"
        mark = "" if verdict.is_expected else "  <-- NOT AS EXPECTED"
        print(
            f"{variant.model:<10}{name:<30}{verdict.n_states:>10}  "
            f"{verdict.found:<12}{variant.expected}{mark}"
        )
    n_wrong = sum(not verdict.is_expected for verdict in verdicts)
    print(f"variants={len(verdicts)} not_as_expected={n_wrong}")
    return 1 if n_wrong else 0


if __name__ == "__main__":
    sys.exit(main())
