"""What embedding the parts of coordination costs a program: nothing but them."""

import subprocess
import sys

import pytest

from lavendergap import coordination

PROBE = """
import sys
import lavendergap.coordination
print(*sorted(name for name in sys.modules if name.startswith("lavendergap.")))
for name in dir(lavendergap.coordination):
    getattr(lavendergap.coordination, name)
print(*sorted({name.partition(".")[0] for name in sys.modules}))
print(*sorted(name for name in sys.modules if name.startswith("lavendergap.")))
"""
DAEMON = {"trio", "hypercorn", "capnp", "httpcore", "h11", "click", "msgspec"}
LAYERS = {"lavendergap.coordination", "lavendergap.state"}


@pytest.fixture(scope="module")
def loaded():
    """Return what a fresh interpreter has loaded after the import, and all names."""
    done = subprocess.run(
        [sys.executable, "-c", PROBE], check=True, capture_output=True, text=True
    )
    return done.stdout.splitlines()


class TestImport:
    def test_it_loads_nothing_of_the_daemon(self, loaded):
        """An embedder has its own loop and sockets.

        A library that is loaded beside them for nothing costs memory and start-up
        time, and one that changes signals or threads breaks them.
        """
        assert not DAEMON & set(loaded[1].split())

    def test_it_loads_its_own_layer_and_the_one_below(self, loaded):
        layers = {".".join(name.split(".")[:2]) for name in loaded[2].split()}
        assert layers == LAYERS

    def test_a_part_is_loaded_when_it_is_first_named(self, loaded):
        # Hosts that need a third of the parts start in hundreds at one moment.
        assert loaded[0].split() == ["lavendergap.coordination"]

    def test_a_name_that_is_none(self):
        with pytest.raises(AttributeError, match="no attribute 'Nothing'"):
            coordination.Nothing  # noqa: B018
