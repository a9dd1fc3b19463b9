"""The example deployments: sizes, latencies and the traffic of their callers."""

import dataclasses
import hashlib
import json
import re


@dataclasses.dataclass(frozen=True)
class CallStream:
    """Calls of one kind. `share` is their fraction of the load of the service."""

    name: str
    method: str
    path: str
    share: float
    timeout_ms: int
    urgent: bool
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Service:
    """A service with its number of targets and its call streams."""

    name: str
    targets: int
    mean_ms: float
    streams: tuple


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The parameters of a simulated deployment.

    `slots` is the number of requests that a target processes concurrently, `connections` the
    number of connections that it accepts.
    """

    name: str
    document_path: str
    zones: tuple
    slots: int
    connections: int
    connect_ms: float
    probe_ms: float
    services: tuple

    def find_stream(self, name):
        """Returns the call stream with the given name."""
        for service in self.services:
            for stream in service.streams:
                if stream.name == name:
                    return stream
        raise KeyError(name)


def _get_stream(name, path, share, timeout_ms, urgent):
    return CallStream(name, "GET", path, share, timeout_ms, urgent, True)


LAGOS = Deployment(
    name="lagos",
    document_path="examples/lagos.json",
    zones=("ikeja", "lekki", "yaba"),
    slots=6,
    connections=250,
    connect_ms=1,
    probe_ms=6,
    services=(
        Service("ledger-read", 15, 20, (
            _get_stream("get-valuation", "/ledger-read/valuations/{id}", 0.3, 500, True),
            _get_stream("get-piece", "/ledger-read/pieces/{id}", 0.7, 1000, False))),
        Service("certdesk", 10, 20, (
            CallStream("issue-certificate", "POST", "/certdesk/certificates", 0.4, 2000, False,
                       False),
            _get_stream("get-certificate", "/certdesk/certificates/{id}", 0.6, 500, True))),
        Service("assay-pay", 6, 20, (
            CallStream("place-deposit", "POST", "/assay-pay/deposits", 0.5, 2000, True, False),
            _get_stream("get-deposit", "/assay-pay/deposits/{id}", 0.5, 1000, False))),
        Service("quickcheck", 6, 20, (
            CallStream("run-check", "POST", "/quickcheck/checks", 0.6, 500, True, True),
            _get_stream("get-history", "/quickcheck/history/{id}", 0.4, 2000, False))),
    ))

CENTRAL_BELT = Deployment(
    name="central-belt",
    document_path="examples/central-belt.json",
    zones=("gla", "edi", "lvs"),
    slots=3,
    connections=200,
    connect_ms=1,
    probe_ms=6,
    services=(
        Service("records", 15, 20, (
            _get_stream("get-handset", "/records/handsets/{id}", 0.5, 500, True),
            _get_stream("search-handsets", "/records/handsets?q={id}", 0.5, 2000, False))),
        Service("enrolment", 6, 20, (
            CallStream("enrol-handset", "POST", "/enrolment/handsets", 0.6, 3000, False, False),
            _get_stream("get-enrolment", "/enrolment/handsets/{id}", 0.4, 1000, False))),
        Service("activation", 6, 20, (
            CallStream("activate-line", "POST", "/activation/lines", 0.6, 3000, True, False),
            _get_stream("get-line", "/activation/lines/{id}", 0.4, 1000, False))),
        Service("compliance", 6, 20, (
            CallStream("check-handset", "POST", "/compliance/checks", 0.6, 500, True, True),
            _get_stream("get-report", "/compliance/reports/{id}", 0.4, 2000, False))),
    ))

ALL = {deployment.name: deployment for deployment in (LAGOS, CENTRAL_BELT)}


def hedgeable_kinds(text):
    """Returns the names of the call kinds for which the document enables hedging."""
    kinds = re.findall(r'\{[^{}]*"method"[^{}]*\}', text)
    return {re.search(r'"name": "([^"]+)"', kind)[1] for kind in kinds
            if '"hedging": true' in kind}


def with_workspaces(text, keys):
    """Returns the document with the given workspaces, a mapping of names to lists of keys."""
    workspaces = [{"name": name, "key-digests": [
        "sha256:" + hashlib.sha256(key.encode()).hexdigest() for key in keys[name]]}
        for name in sorted(keys)]
    without = re.sub(r'\n  "workspaces": .*,', "", text, count=1)
    return re.sub(r"^\{", '{\n  "workspaces": %s,' % json.dumps(workspaces), without, count=1,
                  flags=re.MULTILINE)


def with_zone_state(text, zone, state):
    """Returns the document with the state of one availability zone set to "in" or "out"."""
    pattern = r'(\{"name": "%s", "state": )"(in|out)"' % re.escape(zone)
    updated, count = re.subn(pattern, r'\1"%s"' % state, text)
    if count != 1:
        raise ValueError("the document does not define zone " + zone)
    return updated
