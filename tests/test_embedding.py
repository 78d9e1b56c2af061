"""Importing `lavendergap.coordination` loads only it and the state layer."""

import subprocess
import sys

import pytest

from lavendergap import coordination

SCRIPT = """
import sys
import lavendergap.coordination
print(*sorted(name for name in sys.modules if name.startswith("lavendergap.")))
for name in dir(lavendergap.coordination):
    getattr(lavendergap.coordination, name)
print(*sorted({name.partition(".")[0] for name in sys.modules}))
print(*sorted(name for name in sys.modules if name.startswith("lavendergap.")))
"""
DAEMON_MODULES = {"trio", "hypercorn", "capnp", "httpcore", "h11", "click", "msgspec"}
LAYERS = {"lavendergap.coordination", "lavendergap.state"}


@pytest.fixture(scope="module")
def loaded():
    """Return what a fresh interpreter has loaded after the import, and all names."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], check=True, capture_output=True, text=True
    )
    return done.stdout.splitlines()


class TestImport:
    def test_it_loads_nothing_of_the_daemon(self, loaded):
        """Guards against imports that cost an embedding program memory and time.

        Some could also change its signals or threads.
        """
        assert not DAEMON_MODULES & set(loaded[1].split())

    def test_it_loads_its_own_layer_and_the_one_below(self, loaded):
        layers = {".".join(name.split(".")[:2]) for name in loaded[2].split()}
        assert layers == LAYERS

    def test_a_module_is_loaded_when_a_name_is_first_used(self, loaded):
        # Hosts that need few of the modules start at the same time after a power
        # failure.
        assert loaded[0].split() == ["lavendergap.coordination"]

    def test_an_unknown_name_raises_attribute_error(self):
        with pytest.raises(AttributeError, match="no attribute 'Nothing'"):
            coordination.Nothing  # noqa: B018
