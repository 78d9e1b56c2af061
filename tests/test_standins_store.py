"""The platform stand-in's store: reads of the past and the limits of its history."""

import pytest

from standins import store
from standins.store import BEFORE_START, Store, StoreFullError


class TestPast:
    def test_reads_see_the_store_as_of_a_time(self):
        objects = Store()
        for now, value in ((BEFORE_START, b"seed"), (5.0, b"one"), (7.0, b"two")):
            objects.put("a", value, now)
        objects.put("b", b"", 8.0)
        seen = [objects.get("a", at) for at in (0.0, 5.0, 6.9, 9.0)]
        assert [entry and entry.value for entry in seen] == [
            b"seed",
            b"one",
            b"one",
            b"two",
        ]
        assert objects.get("b", 7.0) is None
        assert [objects.get_revision(at) for at in (0.0, 5.0, 9.0)] == [1, 2, 4]
        assert [e.key for e in objects.list_objects("", 7.0)] == ["a"]
        assert objects.find_next_write("", 5.0) == 7.0
        assert objects.find_next_write("a", 7.0) is None


class TestBounds:
    def test_history_is_limited_in_versions_and_bytes(self):
        objects = Store()
        for now in range(store.MAX_OBJECT_VERSIONS + 10):
            objects.put("many", b"", now)
        for now in range(20):
            objects.put("large", b"x" * 1_000_000, now)
        assert objects.get("many", 9.0) is None
        assert objects.get("many", 10.0) is not None
        assert objects.get("large", 11.0) is None
        assert objects.get("large", 12.0) is not None

    def test_newest_version_is_never_dropped(self):
        objects = Store()
        objects.put("a", b"x" * (store.MAX_OBJECT_HISTORY_BYTES + 1), 0.0)
        assert objects.get("a", 0.0) is not None

    def test_too_many_objects_or_bytes_are_refused(self, monkeypatch):
        monkeypatch.setattr(store, "MAX_OBJECTS", 2)
        monkeypatch.setattr(store, "MAX_BYTES", 10)
        objects = Store()
        objects.put("a", b"", 0.0)
        objects.put("b", b"", 0.0)
        with pytest.raises(StoreFullError):
            objects.put("c", b"", 0.0)
        objects.put("a", b"x" * 11, 0.0)
        with pytest.raises(StoreFullError):
            objects.put("a", b"", 0.0)
