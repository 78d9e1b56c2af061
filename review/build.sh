#!/bin/sh
# Builds the stand-ins of the scripts: Python of the standard library, so that it only
# has to compile. The gateways are built by the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
