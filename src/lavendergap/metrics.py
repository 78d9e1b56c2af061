"""The metrics of the daemon."""

from prometheus_client import REGISTRY, Counter, Gauge, Histogram

LATENCY_BUCKETS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.14, 0.2, 0.28, 0.4, 0.8, 1.6, 5)

requests = Counter(
    "lavendergap_requests",
    "Requests of callers by service and outcome.",
    ["service", "outcome"],
)
request_seconds = Histogram(
    "lavendergap_request_seconds",
    "Time from a caller's request to its answer.",
    ["service"],
    buckets=LATENCY_BUCKETS,
)
coverage_share = Histogram(
    "lavendergap_coverage_share",
    "Share of the snapshot that an answer covered.",
    ["service"],
    buckets=(0.5, 0.8, 0.9, 0.95, 0.99, 1.0),
)
attempts = Counter(
    "lavendergap_attempts",
    "Calls to backend servers by service and cause (first, retry, hedge).",
    ["service", "cause"],
)
attempt_ends = Counter(
    "lavendergap_attempt_ends",
    "Ends of calls to backend servers by service and reason.",
    ["service", "reason"],
)
cut_requests = Counter(
    "lavendergap_cut_requests",
    "Callers' requests that this process ended without an answer.",
)
rejected_input = Counter(
    "lavendergap_rejected_input",
    "Malformed input refused, by port and problem.",
    ["port", "problem"],
)
refused_keys = Counter(
    "lavendergap_refused_keys",
    "Requests refused for their key, by reason (none, unknown, several).",
    ["reason"],
)
dropped_answers = Counter(
    "lavendergap_dropped_answers",
    "Answers that failed a check and were not used, by check.",
    ["check"],
)
early_answers = Counter(
    "lavendergap_early_answers",
    "Answers of backend servers that came before their requests were sent completely.",
)
backend_connections = Gauge(
    "lavendergap_backend_connections", "Open connections to backend servers."
)
peer_channels = Gauge("lavendergap_peer_channels", "Open channels to peers.")
channel_losses = Counter(
    "lavendergap_channel_losses", "Channels to peers lost, by reason.", ["reason"]
)
store_losses = Counter(
    "lavendergap_store_losses",
    "Calls to the platform's store without an answer, by feed and reason.",
    ["feed", "reason"],
)
ignored_listings = Counter(
    "lavendergap_ignored_listings",
    "Listings of the store older than this host's copy, by feed.",
    ["feed"],
)
store_epoch = Gauge(
    "lavendergap_store_epoch",
    "How often the store was restored from an older copy, as known here, by feed.",
    ["feed"],
)
settings_version = Gauge(
    "lavendergap_settings_version", "Version of the settings in force here."
)
evacuated_data_centres = Gauge(
    "lavendergap_evacuated_data_centres",
    "Data centres whose backend servers get nothing, as operators asked.",
)
strikes = Counter(
    "lavendergap_strikes", "Requests under which servers ended and that none answered."
)
held_contents = Gauge(
    "lavendergap_held_contents", "Kinds of request that are kept from servers now."
)
log_lines_dropped = Counter(
    "lavendergap_log_lines_dropped", "Log lines dropped because stderr was full."
)

limit_admitted = Counter(
    "lavendergap_limit_admitted",
    "Requests of customers with a limit that were admitted, by customer.",
    ["customer"],
)
limit_refused = Counter(
    "lavendergap_limit_refused",
    "Requests of customers with a limit that were refused, by customer and reason.",
    ["customer", "reason"],
)
permit_seconds = Histogram(
    "lavendergap_permit_seconds",
    "Time from asking another host for permits to its reply.",
    buckets=(0.001, 0.002, 0.004, 0.008, 0.015, 0.025, 0.05),
)
limit_reserve = Counter(
    "lavendergap_limit_reserve",
    "Permits granted here from the reserve above customers' limits.",
)

MAX_CUSTOMER_LABELS = 100
OTHER_CUSTOMERS = "other"
_customer_labels: set[str] = set()


def label_customer(name: str) -> str:
    """Return the label of a customer: its name, or a common one beyond the first ones.

    Each label costs memory here and in the operators' metrics store for good.
    """
    if name not in _customer_labels:
        if len(_customer_labels) >= MAX_CUSTOMER_LABELS:
            return OTHER_CUSTOMERS
        _customer_labels.add(name)
    return name


__all__ = ["REGISTRY"]
