"""Builds the one file that ships, checks it, and measures files built in other ways.

`build` makes dist/lavendergap, byte for byte the same from the same sources and
dependencies. `check` runs it as an operator would. `measure FILE...` starts each
file with `--version` and prints a table; docs/design/binary.md holds the outcome.
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

# The version whose compiled files the binary carries.
INTERPRETER = f"/usr/bin/env python3.{sys.version_info.minor}"

# Any fixed moment: archives hold the times of their files.
BUILD_EPOCH_S = "1577836800"

# Where the binary unpacks; also the variable that PyInstaller and Nuitka heed.
UNPACK_VARIABLES = ("SHIV_ROOT", "TMPDIR", "HOME", "XDG_CACHE_HOME")
N_STARTS = 5
SYSTEM_CALLS = "execve,clone,clone3,fork,vfork"


class CheckError(click.ClickException):
    """The built file does not do what it has to; the message says what it did."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """What was seen of one start of a file."""

    seconds: float
    n_processes: int
    output: str


@click.group(help=__doc__)
def main() -> None:
    """Group the commands."""


@main.command()
def build() -> None:
    """Build dist/lavendergap."""
    # All of it: setuptools keeps its own copies of modules there, deleted ones too.
    shutil.rmtree(SITE.parent, ignore_errors=True)
    BINARY.unlink(missing_ok=True)
    BINARY.parent.mkdir(exist_ok=True)
    _install(SITE)
    _compile(SITE)
    _archive(SITE, BINARY)
    digest = hashlib.sha256(BINARY.read_bytes()).hexdigest()
    print(f"{BINARY} {BINARY.stat().st_size} bytes sha256={digest}")


def _install(site: Path) -> None:
    """Install the package and its dependencies, without traces of this machine."""
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
    """Compile every module ahead, so that a host does not do it at each new start.

    Unchecked: unpacking gives files new times, which would make checked ones stale.
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
    """Run the built file as an operator would, on an empty memory file system."""
    with tempfile.TemporaryDirectory() as place:
        environment = _make_environment(Path(place))
        version = start_file(BINARY, ["--version"], environment)
        _require(version.n_processes == 1, f"{version.n_processes} processes started")
        _require("lavendergap" in version.output, f"--version said {version.output}")
        for example in sorted(Path("examples").glob("*.jsonc")):
            command = ["settings", "check", str(example)]
            outcome = start_file(BINARY, command, environment)
            print(f"settings check {example}: {outcome.output.strip()}")
        trio.run(_check_daemon, environment)
    print("The binary is as it should be.")


async def _check_daemon(environment: dict[str, str]) -> None:
    """Start the daemon from the file; it must be one process, and end when asked."""
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
    _require(exit_code == 0, f"the daemon ended with {exit_code}")
    print(f"entry: ready, one process, {rss_mb:.0f} MB resident, ended with 0")


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise CheckError(message)


def read_children(pid: int) -> tuple[int, ...]:
    """Return the ids of the processes that `pid` has started and that still live."""
    lists = Path(f"/proc/{pid}/task").glob("*/children")
    return tuple(int(child) for each in lists for child in each.read_text().split())


@main.command()
@click.argument("files", nargs=-1, type=click.Path(exists=True, path_type=Path))
def measure(files: tuple[Path, ...]) -> None:
    """Start each file with --version on a memory file system, and print a table."""
    table = Table(
        "file", "size MB", "first start s", "later s", "processes", "left MB",
        title=f"median of {N_STARTS} later starts",
    )  # fmt: skip
    for file in files:
        table.add_row(*_measure_file(file.absolute()))
    Console(width=100).print(table)


def _measure_file(file: Path) -> tuple[str, ...]:
    with tempfile.TemporaryDirectory() as place:
        environment = _make_environment(Path(place))
        first = start_file(file, ["--version"], environment)
        later = [start_file(file, ["--version"], environment) for _ in range(N_STARTS)]
        left_bytes = sum(
            path.stat().st_size for path in Path(place).rglob("*") if path.is_file()
        )
    return (
        file.name,
        f"{file.stat().st_size / 1e6:.1f}",
        f"{first.seconds:.2f}",
        f"{statistics.median(each.seconds for each in later):.2f}",
        str(max(each.n_processes for each in [first, *later])),
        f"{left_bytes / 1e6:.1f}",
    )


def _make_environment(place: Path) -> dict[str, str]:
    environment = dict.fromkeys(UNPACK_VARIABLES, str(place))
    # Without this project's own environment: the file must stand by itself.
    environment["PATH"] = f"{Path(sys.base_prefix) / 'bin'}:/usr/bin:/bin"
    return environment


def start_file(
    file: Path, arguments: Sequence[str], environment: dict[str, str]
) -> Start:
    """Run `file` to its end, timed; count its processes in a second run if we can.

    Raises `CheckError` when it ends with anything but 0.
    """
    command = [str(file.absolute()), *arguments]
    started_s = time.perf_counter()
    result = subprocess.run(
        command, check=False, capture_output=True, text=True, env=environment
    )
    seconds = time.perf_counter() - started_s
    if result.returncode != 0:
        raise CheckError(
            f"{' '.join(command)}: ended with {result.returncode}: {result.stderr}"
        )
    return Start(
        seconds=seconds,
        n_processes=_count_processes(command, environment),
        output=result.stdout,
    )


def _count_processes(command: Sequence[str], environment: dict[str, str]) -> int:
    """Count the processes of a run by the calls that make them; 0 without strace."""
    tracer = shutil.which("strace")
    if tracer is None:
        return 0
    with tempfile.TemporaryDirectory() as place:
        log = Path(place) / "calls"
        trace = [tracer, "-f", "-qq", "-e", f"trace={SYSTEM_CALLS}", "-o", str(log)]
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
