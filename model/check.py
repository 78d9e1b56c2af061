"""Checks the specifications in this directory exhaustively with Spin.

Each specification must hold unmodified, and must fail in each variant that removes a
safeguard or asserts that an expected outcome is unreachable. Prints a table. Exits with
1 if a verdict is not the expected one, with 2 if Spin could not be run.
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
MAX_CONCURRENT_CHECKS = 2

STORED_PATTERN = re.compile(r"^\s*(\d+) states, stored", re.MULTILINE)
ERRORS_PATTERN = re.compile(r"errors: (\d+)")
INCOMPLETE_MARKS = (
    "max search depth too small",
    "Search not completed",
    "out of memory",
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Variant:
    """A specification with at most one macro defined."""

    model: str
    macro: str | None = None

    @property
    def expected(self) -> str:
        """The expected verdict: "holds" without a macro, else "fails"."""
        return "holds" if self.macro is None else "fails"


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The result of a check; "incomplete" means that the search ended early."""

    variant: Variant
    n_states: int
    found: str

    @property
    def is_expected(self) -> bool:
        """Whether the verdict is the expected one."""
        return self.found == self.variant.expected


def list_variants(model: str) -> list[Variant]:
    """Return the unmodified specification, then a variant for each of its macros."""
    text = (DIRECTORY / f"{model}.pml").read_text()
    macros = re.findall(r"^#ifn?def (\w+)", text, re.MULTILINE)
    unmodified = Variant(model=model)
    return [unmodified] + [Variant(model=model, macro=m) for m in dict.fromkeys(macros)]


def check(variant: Variant) -> Verdict:
    """Build and run the verifier of one variant in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="model-") as directory:
        source = DIRECTORY / f"{variant.model}.pml"
        macros = [] if variant.macro is None else [f"-D{variant.macro}"]
        _run(["spin", *macros, "-a", str(source)], directory)
        _run(["gcc", "-O2", "-DSAFETY", "-w", "-o", "pan", "pan.c"], directory)
        report = _run(["./pan", f"-m{MAX_DEPTH}"], directory)
    return read_report(variant, report)


def read_report(variant: Variant, report: str) -> Verdict:
    """Parse a verifier's report; raises RuntimeError without a verdict in it."""
    stored = STORED_PATTERN.search(report)
    errors = ERRORS_PATTERN.search(report)
    if stored is None or errors is None:
        raise RuntimeError(f"no verdict in the verifier's report:\n{report}")
    if int(errors[1]) > 0:
        # A deadlock or a bad index is a mistake in the specification, not a violation
        # of the checked property.
        found = "fails" if "assertion violated" in report else "mistaken"
    elif any(mark in report for mark in INCOMPLETE_MARKS):
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
        with ThreadPoolExecutor(MAX_CONCURRENT_CHECKS) as pool:
            verdicts = list(pool.map(check, variants))
    except (OSError, RuntimeError, subprocess.TimeoutExpired) as error:
        print(f"model check could not run: {error}", file=sys.stderr)
        return 2
    print(f"{'model':<10}{'variant':<30}{'states':>10}  {'verdict':<12}expected")
    for verdict in verdicts:
        variant = verdict.variant
        name = variant.macro or "(unmodified)"
        mark = "" if verdict.is_expected else "  <-- UNEXPECTED"
        print(
            f"{variant.model:<10}{name:<30}{verdict.n_states:>10}  "
            f"{verdict.found:<12}{variant.expected}{mark}"
        )
    n_wrong = sum(not verdict.is_expected for verdict in verdicts)
    print(f"variants={len(verdicts)} not_as_expected={n_wrong}")
    return 1 if n_wrong else 0


if __name__ == "__main__":
    sys.exit(main())
