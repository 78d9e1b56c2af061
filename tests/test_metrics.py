"""The operators' pages document every metric and every decision in the logs."""

import re
from pathlib import Path

from prometheus_client import CollectorRegistry

from lavendergap import metrics
from lavendergap.transport.gossip import GossipMetrics

ROOT = Path(__file__).parents[1]
SOURCE = ROOT / "src" / "lavendergap"
PAGES = ROOT / "docs" / "operators"
PREFIX = "lavendergap_"
DEFINED = re.compile(r'(?:Counter|Gauge|Histogram)\(\s*"(lavendergap_\w+)"')
DECIDED = re.compile(r'log_decision\(\s*\w+,\s*"([^"]+)"')


def collect_names():
    """Return the names of all metrics of the daemon, as Prometheus exports them."""
    registry = CollectorRegistry()
    GossipMetrics(registry=registry)
    families = [*metrics.REGISTRY.collect(), *registry.collect()]
    return {
        family.name + ("_total" if family.type == "counter" else "")
        for family in families
        if family.name.startswith(PREFIX)
    }


def read_names(page):
    """Return the metrics in the table rows of a page."""
    text = (PAGES / page).read_text()
    return set(re.findall(r"^\| `(lavendergap_\w+)`", text, re.MULTILINE))


def read_source():
    """Return the text of every module of the package."""
    return [path.read_text() for path in SOURCE.rglob("*.py")]


class TestMetricsPage:
    """docs/operators/metrics.md."""

    def test_it_has_a_row_for_each_metric_and_no_other(self):
        assert read_names("metrics.md") == collect_names()

    def test_every_metric_definition_is_collected(self):
        defined = {n for text in read_source() for n in DEFINED.findall(text)}
        known = {name.removesuffix("_total") for name in collect_names()}
        assert defined == known

    def test_alerts_use_existing_metrics(self):
        text = (PAGES / "alerts.md").read_text()
        used = set(re.findall(r"\blavendergap_\w+", text))
        assert {name.removesuffix("_bucket") for name in used} <= collect_names()


class TestLogsPage:
    """docs/operators/logs.md."""

    def test_it_names_each_decision(self):
        text = (PAGES / "logs.md").read_text()
        decided = {n for source in read_source() for n in DECIDED.findall(source)}
        # Attempts are logged under their cause, which is not a literal in the code.
        decided |= {"retry", "hedge"}
        assert {name for name in decided if f"`{name}`" not in text} == set()
