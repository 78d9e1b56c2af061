#!/bin/sh
# Prepares the cases 4 to 8: the stand-ins run from source, with the libraries that the
# build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:src:." \
    python3 -c "import review.rig_2, standins.leafservers, standins.objectstore"
