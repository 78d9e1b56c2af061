"""Merging parts into their greatest records."""

from hypothesis import given
from hypothesis import strategies as st

from lavendergap.coordination.records import (
    RECORD_BYTES,
    merge_greatest,
    split_records,
)

parts = st.lists(st.binary(max_size=6 * RECORD_BYTES), max_size=6)


class TestMerging:
    @given(parts=parts, cut=st.integers(0, 6), n_wanted=st.integers(1, 8))
    def test_merging_in_steps_changes_nothing(self, parts, cut, n_wanted):
        # Owners merge their parts, then the coordinator merges the results: the
        # distribution of parts over owners must not change the answer.
        whole = merge_greatest(parts, n_wanted=n_wanted)
        steps = [
            merge_greatest(parts[:cut], n_wanted=n_wanted),
            merge_greatest(parts[cut:], n_wanted=n_wanted),
        ]
        assert merge_greatest(steps, n_wanted=n_wanted) == whole

    @given(parts=parts, n_wanted=st.integers(1, 8))
    def test_what_is_returned_are_the_greatest_in_falling_order(self, parts, n_wanted):
        records = sorted((r for p in parts for r in split_records(p)), reverse=True)
        merged = merge_greatest(parts, n_wanted=n_wanted)
        assert split_records(merged) == records[:n_wanted]

    def test_equal_records_all_count(self):
        record = bytes(range(RECORD_BYTES))
        assert merge_greatest([record, record], n_wanted=3) == record * 2

    def test_an_incomplete_record_is_ignored(self):
        assert merge_greatest([b"\xff" * (RECORD_BYTES - 1)], n_wanted=3) == b""
