"""Builds and checks the released executable, and measures alternative builds.

`build` writes dist/lavendergap reproducibly: the same sources and dependencies give
the same bytes. `check` runs it as an operator would. `measure FILE...` starts each
file with `--version` and prints a table; the results are in docs/design/binary.md.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import click
import trio
from rich.console import Console
from rich.table import Table

from .processes import (
    DeploymentShape,
    ServiceShape,
    open_processes,
    read_usage,
    write_deployment,
)

SITE = Path("build/site")
BINARY = Path("dist/lavendergap")
ENTRY_POINT = "lavendergap.startup:main"

# The Python version that the bundled bytecode is compiled for.
INTERPRETER = f"/usr/bin/env python3.{sys.version_info.minor}"

# A fixed modification time for archived files, for a reproducible build.
BUILD_EPOCH_S = "1577836800"

# Environment variables that decide where shiv, PyInstaller and Nuitka unpack.
UNPACK_VARIABLES = ("SHIV_ROOT", "TMPDIR", "HOME", "XDG_CACHE_HOME")
N_LATER_STARTS = 5
PROCESS_SYSTEM_CALLS = "execve,clone,clone3,fork,vfork"


class CheckError(click.ClickException):
    """The built file failed a check; the message describes the failure."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartResult:
    """Duration, process count and output of one run of an executable."""

    seconds: float
    n_processes: int
    output: str


@click.group(help=__doc__)
def main() -> None:
    """Run a subcommand."""


@main.command()
def build() -> None:
    """Build dist/lavendergap."""
    # setuptools keeps copies of modules in build/, also of deleted ones.
    shutil.rmtree(SITE.parent, ignore_errors=True)
    BINARY.unlink(missing_ok=True)
    BINARY.parent.mkdir(exist_ok=True)
    _install(SITE)
    _compile(SITE)
    _archive(SITE, BINARY)
    digest = hashlib.sha256(BINARY.read_bytes()).hexdigest()
    print(f"{BINARY} {BINARY.stat().st_size} bytes sha256={digest}")


def _install(site: Path) -> None:
    """Install the package and its dependencies without machine-specific metadata."""
    _run_python(
        "pip",
        "install",
        "--quiet",
        "--disable-pip-version-check",
        "--no-compile",
        f"--target={site}",
        ".",
    )
    shutil.rmtree(site / "bin", ignore_errors=True)
    for trace in ("direct_url.json", "RECORD", "REQUESTED", "INSTALLER"):
        for path in site.glob(f"*.dist-info/{trace}"):
            path.unlink()


def _compile(site: Path) -> None:
    """Precompile every module, so that a host does not compile at each start.

    Unpacking changes modification times, which would invalidate checked bytecode.
    """
    _run_python(
        "compileall", "-q", "-s", str(site), "--invalidation-mode", "unchecked-hash",
        str(site),
    )  # fmt: skip


def _archive(site: Path, binary: Path) -> None:
    _run_python(
        "shiv",
        "--site-packages", str(site),
        "--entry-point", ENTRY_POINT,
        "--python", INTERPRETER,
        "--compressed",
        "--reproducible",
        "--output-file", str(binary),
        environment={"SOURCE_DATE_EPOCH": BUILD_EPOCH_S},
    )  # fmt: skip


def _run_python(
    module: str, *arguments: str, environment: dict[str, str] | None = None
) -> None:
    command = [sys.executable, "-m", module, *arguments]
    subprocess.run(command, check=True, env={**os.environ, **(environment or {})})


@main.command()
def check() -> None:
    """Run the built file as an operator would, with an empty unpack directory."""
    with tempfile.TemporaryDirectory() as directory:
        environment = _make_environment(Path(directory))
        version = start_file(BINARY, ["--version"], environment)
        _require(version.n_processes == 1, f"{version.n_processes} processes started")
        _require("lavendergap" in version.output, f"--version printed {version.output}")
        for example in sorted(Path("examples").glob("*.jsonc")):
            command = ["settings", "check", str(example)]
            outcome = start_file(BINARY, command, environment)
            print(f"settings check {example}: {outcome.output.strip()}")
        trio.run(_check_daemon, environment)
    print("The binary passed all checks.")


async def _check_daemon(environment: dict[str, str]) -> None:
    """Start the daemon; it must run as one process and stop on SIGTERM with 0."""
    shape = DeploymentShape(n_hosts=1, services=(ServiceShape(name="scheduler"),))
    async with open_processes() as processes:
        deployment = write_deployment(shape=shape, directory=processes.directory)
        await processes.start_platform(deployment)
        await processes.start_backend(deployment, only=("*",))
        host = deployment.hosts[0].name
        arguments = ["--settings", str(deployment.settings), "--host", host]
        daemon = await processes.start_program(
            [str(BINARY.absolute()), "entry", *arguments],
            name="binary",
            environment=environment,
        )
        n_children = len(read_children(daemon.pid))
        rss_mb = read_usage(daemon.pid).rss_bytes / 1e6
        exit_code = await daemon.stop()
    _require(n_children == 0, f"the daemon started {n_children} processes")
    _require(exit_code == 0, f"the daemon exited with {exit_code}")
    print(f"entry: ready, one process, {rss_mb:.0f} MB resident, exited with 0")


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise CheckError(message)


def read_children(pid: int) -> tuple[int, ...]:
    """Return the ids of the running child processes of `pid`."""
    lists = Path(f"/proc/{pid}/task").glob("*/children")
    return tuple(int(child) for each in lists for child in each.read_text().split())


@main.command()
@click.argument("files", nargs=-1, type=click.Path(exists=True, path_type=Path))
def measure(files: tuple[Path, ...]) -> None:
    """Start each file with --version and print a table."""
    table = Table(
        "file", "size MB", "first start s", "later s", "processes", "left MB",
        title=f"median of {N_LATER_STARTS} later starts",
    )  # fmt: skip
    for file in files:
        table.add_row(*_measure_file(file.absolute()))
    Console(width=100).print(table)


def _measure_file(file: Path) -> tuple[str, ...]:
    with tempfile.TemporaryDirectory() as directory:
        environment = _make_environment(Path(directory))
        first = start_file(file, ["--version"], environment)
        later = [
            start_file(file, ["--version"], environment) for _ in range(N_LATER_STARTS)
        ]
        left_bytes = sum(
            path.stat().st_size for path in Path(directory).rglob("*") if path.is_file()
        )
    return (
        file.name,
        f"{file.stat().st_size / 1e6:.1f}",
        f"{first.seconds:.2f}",
        f"{statistics.median(each.seconds for each in later):.2f}",
        str(max(each.n_processes for each in [first, *later])),
        f"{left_bytes / 1e6:.1f}",
    )


def _make_environment(directory: Path) -> dict[str, str]:
    environment = dict.fromkeys(UNPACK_VARIABLES, str(directory))
    # Excludes this project's virtual environment, which the file must not need.
    environment["PATH"] = f"{Path(sys.base_prefix) / 'bin'}:/usr/bin:/bin"
    return environment


def start_file(
    file: Path, arguments: Sequence[str], environment: dict[str, str]
) -> StartResult:
    """Time a run of `file`, then count its processes in a second run.

    The count is 0 without strace. Raises `CheckError` on a nonzero exit code.
    """
    command = [str(file.absolute()), *arguments]
    started_s = time.perf_counter()
    result = subprocess.run(
        command, check=False, capture_output=True, text=True, env=environment
    )
    seconds = time.perf_counter() - started_s
    if result.returncode != 0:
        raise CheckError(
            f"{' '.join(command)}: exited with {result.returncode}: {result.stderr}"
        )
    return StartResult(
        seconds=seconds,
        n_processes=_count_processes(command, environment),
        output=result.stdout,
    )


def _count_processes(command: Sequence[str], environment: dict[str, str]) -> int:
    """Count the processes of a run by tracing system calls; 0 without strace."""
    tracer = shutil.which("strace")
    if tracer is None:
        return 0
    with tempfile.TemporaryDirectory() as directory:
        log = Path(directory) / "calls"
        trace = [
            tracer,
            "-f",
            "-qq",
            "-e",
            f"trace={PROCESS_SYSTEM_CALLS}",
            "-o",
            str(log),
        ]
        subprocess.run(
            [*trace, *command], check=True, capture_output=True, env=environment
        )
        return 1 + sum(
            "CLONE_THREAD" not in line and "execve" not in line and "= -1" not in line
            for line in log.read_text().splitlines()
            if any(f"{name}(" in line for name in ("clone", "clone3", "fork", "vfork"))
        )


if __name__ == "__main__":
    main()
