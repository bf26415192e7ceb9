"""A table of a policy's routes by host and path prefix, for lookup without a scan of all routes."""


class RouteTable:
    """The routes of one policy.

    >>> table = RouteTable({'a': {'host': 'H', 'prefix': '/'}, 'b': {'host': 'h', 'prefix': '/x/'}})
    >>> [found and found[0] for found in (table.find('h', '/x/1'), table.find('h', '/y'), table.find('i', '/'))]
    ['b', 'a', None]
    """

    def __init__(self, routes: dict[str, dict]):
        self.routes_by_host: dict[str, dict[str, tuple[str, dict]]] = {}  # host -> prefix -> (name, route)
        for name, route in routes.items():
            self.routes_by_host.setdefault(route['host'].lower(), {}).setdefault(
                route['prefix'], (name, route)
            )
        self.prefix_lengths = {
            host: sorted({len(prefix) for prefix in by_prefix}, reverse=True)
            for host, by_prefix in self.routes_by_host.items()
        }

    def find(self, host: str, path: str) -> tuple[str, dict] | None:
        """Return the name and the route with the longest matching prefix, None if no route matches."""
        by_prefix = self.routes_by_host.get(host)
        if by_prefix is None:
            return None
        for length in self.prefix_lengths[host]:
            if length <= len(path) and (found := by_prefix.get(path[:length])):
                return found
        return None
