"""Tests that the capacity page is up to date with the saved figures."""

import shutil

import pytest

from lab.capacity import PAGE, PLOT, PageError, digest_points, fill_page, find_missing
from lab.figures import DIRECTORY, make_figures, save_figures
from lab.parts import make_answers, make_search, measure_points, pass_through_codec
from lab.sizes import OWNERS_PER_QUERY, PARTS
from lab.slopes import FigureStore, fit_line
from lab.tables import TABLES


class TestPage:
    """docs/CAPACITY.md and its plot, as committed."""

    def test_tables_agree_with_the_saved_figures(self):
        text = PAGE.read_text()
        assert fill_page(text, FigureStore()) == text, "run `make capacity`"

    def test_no_table_is_left_out(self):
        assert find_missing(PAGE.read_text()) == set()

    def test_plot_agrees_with_the_saved_figures(self):
        assert digest_points(FigureStore()) in PLOT.read_text(), "run `make capacity`"

    def test_a_changed_figure_changes_the_page(self, tmp_path):
        shutil.copy(DIRECTORY / "parts.json", tmp_path)
        store = FigureStore(directory=tmp_path)
        before = fill_page(PAGE.read_text(), store)
        store.runs["parts"].figures["hop_us_at_1"] *= 2
        assert fill_page(before, store) != before

    def test_an_unknown_table_is_refused(self):
        with pytest.raises(PageError, match="no table 'wishes'"):
            fill_page("<!-- table: wishes -->\n<!-- end -->", FigureStore())


class TestWithoutFigures:
    """Tables without the figures of any run."""

    @pytest.mark.parametrize("name", sorted(TABLES))
    def test_every_table_can_be_made(self, name, tmp_path):
        assert TABLES[name](FigureStore(directory=tmp_path)).startswith("| ")

    def test_values_without_figures_are_shown_as_not_measured(self, tmp_path):
        rows = TABLES["slopes"](FigureStore(directory=tmp_path)).splitlines()[2:]
        assert len(rows) == len(PARTS)
        assert all(row.endswith("| not measured |") for row in rows)

    def test_incomplete_sum_is_labelled_as_such(self, tmp_path):
        points = {"hop_us_at_1": 200.0, "hop_us_at_85": 2_000.0}
        save_figures(make_figures("parts", points), directory=tmp_path)
        table = TABLES["queries"](FigureStore(directory=tmp_path))
        assert "all that is measured" in table
        assert "leaf call | 17,000 | not measured | not measured |" in table


class TestLine:
    """Fitting a line through measured points."""

    def test_a_point_off_the_line_shows_as_error(self):
        assert fit_line({1: 1.0, 2: 2.0, 3: 3.0}).error == pytest.approx(0.0)
        assert fit_line({1: 1.0, 2: 4.0, 3: 3.0}).error > 0.2

    def test_fit_minimizes_relative_deviations(self):
        line = fit_line({1: 240.0, 5: 370.0, 20: 750.0, 85: 2_100.0})
        assert line.compute(1) == pytest.approx(240.0, rel=0.1)

    def test_owners_per_query_assume_independent_hashing(self):
        # Fewer than the 85 shards of a query, as some shards share an owner.
        assert pytest.approx(78.8, abs=0.1) == OWNERS_PER_QUERY


class TestParts:
    """Helpers of the measurement of single parts."""

    def test_points_are_keyed_by_size(self):
        points = measure_points({1: lambda: None, 5: lambda: None}, n_rounds=2)
        assert set(points) == {1, 5}
        assert all(spent >= 0 for spent in points.values())

    @pytest.mark.parametrize("make", [make_search, make_answers])
    def test_measured_messages_can_be_encoded_and_decoded(self, make):
        pass_through_codec(make(85))
