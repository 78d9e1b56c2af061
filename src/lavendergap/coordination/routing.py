"""Routes of requests by host name and path, and the choice of a route's group."""

from random import Random

from ..state.routes import OneOf, Route, RouteTable


class RouteIndex:
    """Index of the routes of one table, by host name and path.

    The route with the longest matching prefix is used. A lookup tries each beginning of
    the path that ends in a slash, so its cost does not grow with the number of routes.

    >>> from lavendergap.state.routes import WeightedGroup
    >>> def make(name: str, prefix: str) -> Route:
    ...     return Route(name=name, host="a.example", prefix=prefix, idempotent=True,
    ...                  target=OneOf(groups=()), max_attempts=1, timeout_ms=1_000,
    ...                  goal_ms=100, priority=0)
    >>> table = RouteTable(version=3, routes=(make("r1", "/a/"), make("r2", "/a/b/")))
    >>> index = RouteIndex(table=table)
    >>> [index.find("a.example", path).name for path in ("/a/x", "/a/b/x", "/a/b")]
    ['r1', 'r2', 'r1']
    >>> index.find("a.example", "/c/") is None
    True
    """

    def __init__(self, *, table: RouteTable) -> None:
        self.table = table
        self._routes = {
            (route.host.lower(), route.prefix): route for route in table.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none."""
        host = host.lower()
        found = self._find(host, path)
        name, colon, port = host.rpartition(":")
        if found is None and colon and port.isdigit():
            found = self._find(name, path)
        return found

    def _find(self, host: str, path: str) -> Route | None:
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def draw_group(target: OneOf, rng: Random) -> str | None:
    """Choose a group at random by weight; return None if all weights are 0."""
    total = sum(each.weight for each in target.groups)
    if total <= 0.0:
        return None
    remaining = rng.random() * total
    for each in target.groups:
        remaining -= each.weight
        if remaining < 0.0:
            return each.group
    return target.groups[-1].group
