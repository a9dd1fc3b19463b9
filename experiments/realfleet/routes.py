"""The configurations that the operator publishes, and what each version allows."""

import bisect
import dataclasses
import json
import time

# The share of the first kind's requests that use routes that were added during the run.
ADDED_ROUTE_SHARE = 0.3
# Routes that move to another service for good, one after the other, and the share of the first
# kind's requests that use one of the last that must have moved everywhere.
MOVING_ROUTES = 60
MOVED_ROUTE_SHARE = 0.4
LAST_MOVED_ROUTES = 5
# The share of the requests to added routes that use one which a plan has removed and may add again.
REMOVED_ROUTE_SHARE = 0.2
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
          "header_timeout": "3000ms", "idle_timeout": "15000ms"}
REFUSED = None


@dataclasses.dataclass(frozen=True)
class Version:
    """A configuration that the store has acknowledged."""

    acknowledged: float
    # {path prefix: {service: weight}}
    routes: dict
    number: int = 0

    def allows(self, prefix, service):
        """Tells whether a request may run at the service, or may be refused as unknown (`REFUSED`)."""
        services = self.routes.get(prefix)
        if service is REFUSED:
            return services is None
        return services is not None and services.get(service, 0) > 0


def prefix_of(path):
    """Returns the prefix of the route of a path: `/added/7/` or `/kind/`."""
    parts = path.split("/")
    return "/".join(parts[:3 if parts[1] in ("added", "moving") else 2]) + "/"


class Routes:
    """One host with a route for each request kind, and others that are added in large numbers."""

    HOST = "calls.example"

    def __init__(self, deployment, rng):
        self.deployment, self.rng = deployment, rng
        self.version = 5
        self.added = self.moved = 0
        self.removed = set()  # numbers of added routes that are not in the configuration
        # (time of the acknowledgement, number of routes added until then)
        self.additions = []
        # {request kind: {service: weight}}
        self.services = {kind.name: {kind.service: 1} for kind in deployment.kinds}
        self.versions = []  # oldest first
        self.moves = []  # times of the acknowledgements of the routes that have moved
        # Configurations that must never be in force, with the time of their writing.
        self.invalid = []

    def _path(self, name, prefix, kind, services):
        path = {"name": name, "prefix": prefix, "kind": "safe" if kind.is_idempotent else "unsafe",
                "timeout": f"{int(kind.timeout * 1000)}ms", "target_latency": "300ms",
                "priority": 1, "attempts": 2}
        if len(services) == 1:
            path["service"] = next(iter(services))
        else:
            path["traffic_split"] = [{"service": name, "weight": weight}
                                     for name, weight in services.items()]
        return path

    def table(self):
        """Returns the routes of the present configuration, as in `Version`."""
        table = {f"/{name}/": dict(services) for name, services in self.services.items()}
        first = self.deployment.kinds[0].service
        table.update({f"/moving/{index}/": {self._other_service() if index < self.moved else first:
                                            1} for index in range(MOVING_ROUTES)})
        table.update({f"/added/{index}/": {first: 1} for index in range(self.added)
                      if index not in self.removed})
        return table

    def document(self, table):
        kinds = {f"/{kind.name}/": kind for kind in self.deployment.kinds}
        first = self.deployment.kinds[0]
        paths = [self._path(prefix.strip("/").replace("/", "-"), prefix, kinds.get(prefix, first),
                            services) for prefix, services in table.items()]
        return {"version": self.version, "base_version": self.version - 1, "limits": LIMITS,
                "services": [{"name": name, "health_check": "/healthz", "max_connections": 220,
                              "protocol": "h1", "tls": False, "warmup": "3s",
                              "warmup_per_s": 8.3} for name in self.deployment.targets],
                "virtual_hosts": [{"hostname": self.HOST, "paths": paths}]}

    def publish(self, store):
        self.version += 2
        table = self.table()
        acknowledged = store.put("op/config", self.document(table))
        self.versions.append(Version(acknowledged, table, self.version))

    def publish_invalid(self, store):
        """Writes a configuration that moves the first route to a service where none does, and that
        is cut short or names an unknown service."""
        self.version += 2
        name = self.deployment.kinds[0].name
        table = dict(self.table(), **{f"/{name}/": {self._unused_service(): 1}})
        document = self.document(table)
        if self.rng.random() < 0.5:
            text = json.dumps(document)
            value = text[:-self.rng.randrange(1, 200)].encode()
        else:
            document["virtual_hosts"][0]["paths"][-1]["service"] = "unknown"
            value = json.dumps(document).encode()
        acknowledged = store.put_bytes("op/config", value)
        self.invalid.append(Version(acknowledged, table, self.version))

    def _other_service(self):
        first = self.deployment.kinds[0].service
        return next(name for name in self.deployment.targets if name != first)

    def _unused_service(self):
        return list(self.deployment.targets)[-1]

    def add_routes(self, count, store):
        self.added += count
        self.publish(store)
        self.additions.append((self.versions[-1].acknowledged, self.added))

    def toggle_routes(self, count, store):
        """Removes some of the added routes, and adds again those that were removed before."""
        chosen = set(self.rng.sample(range(self.added), min(count, self.added)))
        self.removed ^= chosen
        self.publish(store)

    def move_next(self, store):
        """Moves one route for good."""
        self.moved += 1
        self.publish(store)
        self.moves.append(self.versions[-1].acknowledged)

    def move(self, store):
        """Moves the first route between its own service, another one and a split of both."""
        kind = self.deployment.kinds[0]
        other = self._other_service()
        choices = [{kind.service: 1}, {other: 1}, {kind.service: 3, other: 1}]
        choices.remove(self.services[kind.name])
        self.services[kind.name] = self.rng.choice(choices)
        self.publish(store)

    def choose(self, kind, rng):
        """Returns host and path of a request; some use a route that must be in force everywhere."""
        settled = time.monotonic() - self.deployment.seconds("config_apply")
        moved = bisect.bisect_left(self.moves, settled)
        if moved and kind is self.deployment.kinds[0] and rng.random() < MOVED_ROUTE_SHARE:
            index = rng.randrange(max(0, moved - LAST_MOVED_ROUTES), moved)
            return self.HOST, f"/moving/{index}/{rng.randrange(1000)}"
        added = max((count for when, count in self.additions if when < settled), default=0)
        if added and kind is self.deployment.kinds[0] and rng.random() < ADDED_ROUTE_SHARE:
            if self.removed and rng.random() < REMOVED_ROUTE_SHARE:
                index = rng.choice(sorted(self.removed))
            else:
                index = rng.randrange(added)
            return self.HOST, f"/added/{index}/{rng.randrange(1000)}"
        return self.HOST, f"/{kind.name}/{rng.randrange(1000)}"

    def replaced(self, path, service, sent, handled):
        """Returns when the first version was acknowledged that no longer allows what was done with
        a request (run at the service, or `REFUSED`), if only older ones do; None if a version that
        was acknowledged before it was handled does, or none ever did."""
        prefix = prefix_of(path)
        was_allowed, replaced = False, None
        for version in self.versions:
            if version.acknowledged > handled:
                break
            if version.allows(prefix, service):
                was_allowed, replaced = True, None
            elif was_allowed and replaced is None and version.acknowledged <= sent:
                replaced = version.acknowledged
        return replaced

    def is_invalid_taken(self, path, service, handled):
        """Tells whether only an invalid configuration allows what was done with a request."""
        prefix = prefix_of(path)

        def allow(versions):
            return any(each.allows(prefix, service) for each in versions
                       if each.acknowledged <= handled)

        return allow(self.invalid) and not allow(self.versions)

    def versions_allowing(self, path, service, handled):
        """Returns the numbers, from 0, of the acknowledged versions that allow it."""
        prefix = prefix_of(path)
        return [number for number, version in enumerate(self.versions)
                if version.acknowledged <= handled and version.allows(prefix, service)]

    def always_allows(self, path, begin, end):
        """Tells whether every configuration that was the newest one at some time from `begin` to
        `end` has a route for the path."""
        prefix = prefix_of(path)
        replaced = [each.acknowledged for each in self.versions[1:]] + [float("inf")]
        return not any(version.allows(prefix, REFUSED)
                       for version, until in zip(self.versions, replaced)
                       if version.acknowledged <= end and until >= begin)

    def allowed_services(self, path, sent, transition):
        """Returns the services that the versions in force at a time allow for a path: the last
        one that was acknowledged, and those that it replaced less than `transition` before."""
        prefix = prefix_of(path)
        found = set()
        for index, version in enumerate(self.versions):
            is_last = index + 1 == len(self.versions)
            replaced = float("inf") if is_last else self.versions[index + 1].acknowledged
            if version.acknowledged <= sent and replaced + transition >= sent:
                found.update(version.routes.get(prefix, ()))
        return found
