"""Measures how the calls of queries spread over hosts of different capacity.

No network: owners are chosen by `Placement` for the queries of all hosts, one each.
`python -m lab.ownership`
"""

from collections import Counter
from statistics import mean, quantiles

from lavendergap.coordination.placement import Placement
from lavendergap.coordination.ranking import rank_hosts
from lavendergap.state.member import convert_to_capacity

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
CORES = {
    f"{data_centre}-{number}": 0.361 if number < 32 else 2.15
    for data_centre in DATA_CENTRES
    for number in range(34)
}
HOSTS = {name: name[:4] for name in CORES}
CAPACITIES = {name: convert_to_capacity(cores) for name, cores in CORES.items()}
N_DRAWS = 200
BOUND = 1.25

Owners = dict[tuple[str, str], str]


def make_shards(draw: int, n_shards: int) -> dict[str, frozenset[str]]:
    """Return the shards of an index, each with servers in two data centres."""
    return {
        f"index{draw}-{n:03}": frozenset(DATA_CENTRES) - {DATA_CENTRES[n % 3]}
        for n in range(n_shards)
    }


def rank_all(
    shards: dict[str, frozenset[str]],
    hosts: dict[str, str],
    capacities: dict[str, int],
) -> dict[tuple[str, str], tuple[str, ...]]:
    """Return the ranked hosts by the caller's data centre and shard."""
    ranked = {}
    for data_centre in DATA_CENTRES:
        placement = Placement(own_data_centre=data_centre)
        placement.replace_hosts(hosts, capacities)
        placement.replace_servers(shards, [tuple(shards)])
        for shard in shards:
            ranked[data_centre, shard] = placement.rank(shard)
    return ranked


def choose_first(ranked: dict[tuple[str, str], tuple[str, ...]]) -> Owners:
    """Return the first-ranked owners."""
    return {key: hosts[0] for key, hosts in ranked.items()}


def choose_by_load(
    ranked: dict[tuple[str, str], tuple[str, ...]],
    *,
    is_bounded: bool,
    hosts_near: dict[str, str] = HOSTS,
) -> Owners:
    """Return the owners of whole buckets by the load that other buckets cause.

    Bounded: the first of all hosts near whose load stays within the bound, else the one
    with the least load for its cores. Otherwise the better of the first two.
    """
    buckets: dict[tuple[str, ...], list[tuple[str, str]]] = {}
    for key, hosts in ranked.items():
        buckets.setdefault(hosts, []).append(key)
    loads: Counter[str] = Counter()
    owners: Owners = {}
    for hosts, keys in sorted(buckets.items(), key=lambda item: item[1][0]):
        near = [name for name, at in hosts_near.items() if at == HOSTS[hosts[0]]]
        choices = list(hosts[:2])
        if is_bounded:
            choices = rank_hosts("\0".join(keys[0]), near, CAPACITIES)
        after = {name: (loads[name] + len(keys)) / CORES[name] for name in choices}
        limit = BOUND * len(ranked) / sum(CORES.values())
        within = [name for name in choices if after[name] <= limit]
        owner = (
            within[0]
            if is_bounded and within
            else min(choices, key=lambda name: after[name])
        )
        loads[owner] += len(keys)
        owners |= dict.fromkeys(keys, owner)
    return owners


def measure(owners: Owners) -> tuple[float, float, float, float]:
    """Return the busiest host's calls per core, the large hosts' share, and owners.

    The calls are relative to those per core of all hosts. Owners are for each query:
    all, and those in other data centres.
    """
    loads = Counter(owners.values())
    average = len(owners) / sum(CORES.values())
    busiest = max(n / CORES[name] for name, n in loads.items()) / average
    large = sum(n for name, n in loads.items() if CORES[name] > 1)
    asked = {(key[0], owner) for key, owner in owners.items()}
    n_remote = sum(HOSTS[owner] != data_centre for data_centre, owner in asked)
    n_queries = len(DATA_CENTRES)
    return busiest, large / len(owners), len(asked) / n_queries, n_remote / n_queries


def measure_moves(
    capacities: dict[str, int], n_shards: int, *, by_load: dict[str, bool] | None = None
) -> float:
    """Return the mean share of groups that change owners when a host leaves."""

    def choose(hosts: dict[str, str]) -> Owners:
        ranked = rank_all(shards, hosts, capacities)
        if by_load is None:
            return choose_first(ranked)
        return choose_by_load(ranked, hosts_near=hosts, **by_load)

    shards = make_shards(0, n_shards)
    before = choose(HOSTS)
    moved = []
    for lost in HOSTS:
        after = choose({name: at for name, at in HOSTS.items() if name != lost})
        moved.append(mean(before[key] != after[key] for key in before))
    return mean(moved)


def main() -> None:
    """Print the tables."""
    print(f"{'shards':>6} {'owners':<24} {'busiest mean':>12} {'p95':>6} ", end="")
    print(f"{'large hosts':>11} {'hosts a query':>13} {'remote':>6} ", end="")
    print(f"{'moved by a loss':>15}")
    for n_shards in (90, 135):
        draws = [make_shards(draw, n_shards) for draw in range(N_DRAWS)]
        equal = [rank_all(shards, HOSTS, {}) for shards in draws]
        weighted = [rank_all(shards, HOSTS, CAPACITIES) for shards in draws]
        moved = {"equal": measure_moves({}, n_shards)}
        moved["weighted"] = measure_moves(CAPACITIES, n_shards)
        for name, is_bounded in (("two choices", False), ("bounded", True)):
            moved[f"weighted, {name}"] = measure_moves(
                CAPACITIES, n_shards, by_load={"is_bounded": is_bounded}
            )
        variants = {
            "equal": [choose_first(each) for each in equal],
            "weighted": [choose_first(each) for each in weighted],
            "weighted, two choices": [
                choose_by_load(each, is_bounded=False) for each in weighted
            ],
            "weighted, bounded": [
                choose_by_load(each, is_bounded=True) for each in weighted
            ],
        }
        for name, chosen in variants.items():
            rows = list(map(measure, chosen))
            busiest = [row[0] for row in rows]
            print(
                f"{n_shards:>6} {name:<24} {mean(busiest):>12.1f} "
                f"{quantiles(busiest, n=20)[-1]:>6.1f} "
                f"{mean(row[1] for row in rows):>11.2f} "
                f"{mean(row[2] for row in rows):>13.1f} "
                f"{mean(row[3] for row in rows):>6.1f} "
                f"{moved[name]:>15.4f}"
            )


if __name__ == "__main__":
    main()
