"""The options of customers and of the bounds on their limits."""

from .levels import Level, Option
from .settings import DEFAULT_LIMITS
from .values import DigestsValue, IntegerValue, NumberValue

CUSTOMER_OPTIONS: tuple[Option, ...] = (
    Option(
        name="limit_window_s",
        kind=NumberValue(low=1.0, high=600.0),
        unit="s",
        default=DEFAULT_LIMITS.window_s,
        levels=(Level.DEPLOYMENT,),
        help="The sliding window for which the bound of customers' requests holds.",
    ),
    Option(
        name="limit_overage",
        kind=NumberValue(low=0.0, high=10.0),
        unit="share of the limit",
        default=DEFAULT_LIMITS.overage,
        levels=(Level.DEPLOYMENT,),
        help="How far a customer's limit may be exceeded while hosts fail.",
    ),
    Option(
        name="limit_slack",
        kind=NumberValue(low=0.0, high=1_000_000.0),
        unit="requests",
        default=DEFAULT_LIMITS.slack,
        levels=(Level.DEPLOYMENT,),
        help="Requests by which a limit may be exceeded in each window as well.",
    ),
    Option(
        name="key_sha256",
        kind=DigestsValue(),
        levels=(Level.CUSTOMER,),
        help=(
            "SHA-256 digests of the customer's keys, as `lavendergap settings "
            "hash-key` prints them; the keys themselves do not belong in the file."
        ),
    ),
    Option(
        name="priority",
        kind=IntegerValue(low=0, high=1_000_000),
        default=0,
        levels=(Level.CUSTOMER,),
        help="Order in which waiting requests are served; 0 is the most urgent.",
    ),
    Option(
        name="rate_per_s",
        kind=NumberValue(low=0.0, high=1_000_000.0),
        unit="requests per second",
        default=0.0,
        levels=(Level.CUSTOMER,),
        help="The customer's limit over all entry hosts together; 0 for none.",
    ),
    Option(
        name="burst",
        kind=NumberValue(low=0.0, high=1_000_000.0),
        unit="requests",
        default=0.0,
        levels=(Level.CUSTOMER,),
        help="Requests that the customer may send at once, above its rate.",
    ),
    Option(
        name="share_weight",
        kind=NumberValue(low=0.0, high=1_000_000.0),
        default=0.0,
        levels=(Level.CUSTOMER,),
        help=(
            "The customer's share of busy servers, relative to customers of the same "
            "priority; 0 for its rate_per_s, or 1 without a limit."
        ),
    ),
)
