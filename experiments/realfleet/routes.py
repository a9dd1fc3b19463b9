"""The configuration that the operator publishes, and which service each version allows."""

import time

# The share of the first kind's requests that use routes that were added during the run.
ADDED_ROUTE_SHARE = 0.3
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
          "header_timeout": "3000ms", "idle_timeout": "15000ms"}


class Routes:
    """One host with a route for each request kind, and others that are added in large numbers."""

    HOST = "calls.example"

    def __init__(self, deployment, rng):
        self.deployment, self.rng = deployment, rng
        self.version = 5
        self.added = 0
        # (time of the acknowledgement, number of routes added until then)
        self.additions = []
        self.services = {kind.name: kind.service for kind in deployment.kinds}
        # (time of the acknowledgement, {request kind: service}), oldest first
        self.versions = []

    def _path(self, name, prefix, kind, service):
        return {"name": name, "prefix": prefix, "kind": "safe" if kind.is_idempotent else "unsafe",
                "timeout": f"{int(kind.timeout * 1000)}ms", "target_latency": "300ms",
                "priority": 1, "service": service, "attempts": 2}

    def document(self):
        paths = [self._path(kind.name, f"/{kind.name}/", kind, self.services[kind.name])
                 for kind in self.deployment.kinds]
        first = self.deployment.kinds[0]
        paths += [self._path(f"added-{index}", f"/added/{index}/", first, first.service)
                  for index in range(self.added)]
        return {"version": self.version, "base_version": self.version - 1, "limits": LIMITS,
                "services": [{"name": name, "health_check": "/healthz", "max_connections": 220,
                              "protocol": "h1", "tls": False, "warmup": "3s",
                              "warmup_per_s": 8.3} for name in self.deployment.targets],
                "virtual_hosts": [{"hostname": self.HOST, "paths": paths}]}

    def publish(self, store):
        self.version += 2
        acknowledged = store.put("op/config", self.document())
        self.versions.append((acknowledged, dict(self.services)))

    def add_routes(self, count, store):
        self.added += count
        self.publish(store)
        self.additions.append((self.versions[-1][0], self.added))

    def move(self, store):
        """Moves the first route between its own service and another one."""
        kind = self.deployment.kinds[0]
        others = [name for name in self.deployment.targets if name != kind.service]
        current = self.services[kind.name]
        self.services[kind.name] = others[0] if current == kind.service else kind.service
        self.publish(store)

    def choose(self, kind, rng):
        """Returns host and path of a request; some use a route that must be in force everywhere."""
        settled = time.monotonic() - self.deployment.seconds("config_apply")
        added = max((count for when, count in self.additions if when < settled), default=0)
        if added and kind is self.deployment.kinds[0] and rng.random() < ADDED_ROUTE_SHARE:
            return self.HOST, f"/added/{rng.randrange(added)}/{rng.randrange(1000)}"
        return self.HOST, f"/{kind.name}/{rng.randrange(1000)}"

    def moved_away(self, path, service, sent, arrived):
        """Returns when the last version was acknowledged that no longer allows the service for
        requests of this path, or None if a version that was acknowledged before it arrived does,
        unless that version was replaced before it was sent."""
        name = path.split("/")[1]
        if name not in self.services:
            return None
        moved = None
        for acknowledged, services in self.versions:
            if acknowledged > arrived:
                break
            if services[name] == service:
                moved = None
            elif moved is None and acknowledged <= sent:
                moved = acknowledged
        return moved

    def allowed_services(self, path, sent, transition):
        """Returns the services that the versions in force at a time allow for a path: the last
        one that was acknowledged, and those that it replaced less than `transition` before."""
        name = path.split("/")[1]
        if name not in self.services:
            return {self.deployment.kinds[0].service}
        found = set()
        for index, (acknowledged, services) in enumerate(self.versions):
            is_last = index + 1 == len(self.versions)
            replaced = float("inf") if is_last else self.versions[index + 1][0]
            if acknowledged <= sent and replaced + transition >= sent:
                found.add(services[name])
        return found
