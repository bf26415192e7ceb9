"""Route table: the routes of a policy by host and prefix of the path, found without looking at each."""


class RouteTable:
    """The routes of one policy.

    >>> table = RouteTable({'a': {'host': 'H', 'prefix': '/'}, 'b': {'host': 'h', 'prefix': '/x/'}})
    >>> [found and found[0] for found in (table.find('h', '/x/1'), table.find('h', '/y'), table.find('i', '/'))]
    ['b', 'a', None]
    """

    def __init__(self, routes: dict[str, dict]):
        self.prefixes: dict[str, dict[str, tuple[str, dict]]] = {}  # host -> prefix -> route
        for name, route in routes.items():
            self.prefixes.setdefault(route['host'].lower(), {}).setdefault(route['prefix'], (name, route))
        self.lengths = {
            host: sorted({len(prefix) for prefix in rows}, reverse=True)
            for host, rows in self.prefixes.items()
        }

    def find(self, host: str, path: str) -> tuple[str, dict] | None:
        """The name and the route with the longest prefix of a path: `table.find('h', '/x/1')`."""
        rows = self.prefixes.get(host)
        if rows is None:
            return None
        for length in self.lengths[host]:
            if length <= len(path) and (found := rows.get(path[:length])):
                return found
        return None
