"""`lavendergap customers`: shows customers, their limits and who counts them."""

from collections.abc import Iterable, Mapping

import click
import msgspec
import trio

from ..entry.status import CountingRole, CustomerStatus, GatewayStatus
from ..errors import UnreachableError
from ..state.settings import Address
from .console import print_json, print_note, print_table
from .hosts import GatewayAnswer, Unreachable, fetch_gateways
from .options import json_option

_COLUMNS = ("CUSTOMER", "PER SECOND", "BURST", "USED", "REFUSED", "COUNTED BY")


class CustomerUse(msgspec.Struct, kw_only=True):
    """A customer over all hosts that answered.

    `roles` holds how each counting host counts, and `asked` how many hosts ask each
    host for permits.
    """

    name: str
    rate_per_s: float
    burst: float
    n_used: int = 0
    n_refused: int = 0
    roles: dict[str, CountingRole] = {}
    asked: dict[str, int] = {}

    def add(self, host: str, customer: CustomerStatus) -> None:
        """Add what one host reports."""
        self.n_used += customer.n_used
        self.n_refused += customer.n_refused
        if customer.role:
            self.roles[host] = customer.role
        if customer.counted_by:
            n_hosts = self.asked.get(customer.counted_by, 0)
            self.asked[customer.counted_by] = n_hosts + 1


def _parse_addresses(
    _context: click.Context, _parameter: click.Parameter, texts: tuple[str, ...]
) -> tuple[Address, ...]:
    addresses = []
    for text in texts:
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdecimal() or not 0 < int(port) < 65_536:
            raise click.BadParameter(f"expected IP:PORT, found {text!r}")
        addresses.append(Address(ip=ip, port=int(port)))
    return tuple(addresses)


@click.command()
@click.argument("addresses", nargs=-1, required=True, callback=_parse_addresses)
@json_option
def customers(addresses: tuple[Address, ...], as_json: bool) -> None:
    """Show the customers of gateway hosts, their limits and use, and who counts them.

    ADDRESSES are the IP:PORT addresses of the hosts' status, one or all of them. USED
    and REFUSED are requests within the last window, of all hosts that answer.
    """
    answers = trio.run(fetch_gateways, addresses)
    statuses = [each for each in answers.values() if isinstance(each, GatewayStatus)]
    if not statuses:
        reasons = {a.reason for a in answers.values() if isinstance(a, Unreachable)}
        raise UnreachableError(
            f"none of {len(answers)} hosts answers ({', '.join(sorted(reasons))}); "
            "give the addresses of their status, `admin` in their settings files"
        )
    found = merge_customers(statuses)
    if as_json:
        print_json({"hosts": _describe_hosts(answers), "customers": found})
        return
    print_table(_COLUMNS, (_make_row(each) for each in found))
    for note in _make_notes(answers, statuses, n_shown=len(found)):
        print_note(note)


def merge_customers(statuses: Iterable[GatewayStatus]) -> list[CustomerUse]:
    """Return the customers of all hosts, the most used first.

    Limits are those of the host with the newest routes.
    """
    found: dict[str, CustomerUse] = {}
    for status in sorted(statuses, key=lambda each: -each.routes_version):
        for each in status.customers:
            use = found.setdefault(
                each.name,
                CustomerUse(
                    name=each.name, rate_per_s=each.rate_per_s, burst=each.burst
                ),
            )
            use.add(status.host, each)
    return sorted(
        found.values(), key=lambda use: (-use.n_used - use.n_refused, use.name)
    )


def _make_row(use: CustomerUse) -> tuple[object, ...]:
    counting = [f"{host} ({role})" for host, role in sorted(use.roles.items())]
    # Hosts that were asked for permits, but did not report that they count.
    counting += [f"{host} (?)" for host in sorted(use.asked) if host not in use.roles]
    limit = f"{use.rate_per_s:g}" if use.rate_per_s else "no limit"
    burst = f"{use.burst:g}" if use.rate_per_s else ""
    return (use.name, limit, burst, use.n_used, use.n_refused, ", ".join(counting))


def _describe_hosts(answers: Mapping[str, GatewayAnswer]) -> dict[str, object]:
    return {
        address: (
            {"reason": answer.reason}
            if isinstance(answer, Unreachable)
            else {
                "host": answer.host,
                "routes_version": answer.routes_version,
                "limit_window_s": answer.limit_window_s,
                "n_customers": answer.n_customers,
            }
        )
        for address, answer in answers.items()
    }


def _make_notes(
    answers: Mapping[str, GatewayAnswer],
    statuses: list[GatewayStatus],
    *,
    n_shown: int,
) -> Iterable[str]:
    newest = max(status.routes_version for status in statuses)
    old = [each for each in statuses if each.routes_version != newest]
    yield (
        f"version {newest} of the manifest on {len(statuses) - len(old)} of "
        f"{len(answers)} hosts, window {statuses[0].limit_window_s:g} s"
    )
    for status in sorted(old, key=lambda each: each.host):
        yield f"version {status.routes_version} on {status.host}"
    for status in sorted(statuses, key=lambda each: each.host):
        if problem := status.unready or status.warning:
            yield f"{status.host}: {problem}"
    for address, answer in sorted(answers.items()):
        if isinstance(answer, Unreachable):
            yield f"{address} does not answer: {answer.reason}"
    n_known = max(status.n_customers for status in statuses)
    if n_known > n_shown:
        yield f"{n_shown} of {n_known} customers shown, the most used ones"
