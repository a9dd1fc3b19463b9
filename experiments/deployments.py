"""The two deployments: sizes, latencies and the calls that their callers make."""

import dataclasses
import re


@dataclasses.dataclass(frozen=True)
class Stream:
    """Calls of one kind, as a share of the load of their service."""

    name: str
    method: str
    path: str
    share: float
    timeout_ms: int
    urgent: bool
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Service:
    """A service, its targets and its streams."""

    name: str
    targets: int
    mean_ms: float
    streams: tuple


@dataclasses.dataclass(frozen=True)
class Deployment:
    """All that an experiment needs to know of a deployment."""

    name: str
    document: str
    zones: tuple
    slots: int
    connections: int
    connect_ms: float
    probe_ms: float
    services: tuple

    def stream(self, name):
        """Returns the stream of that name."""
        for service in self.services:
            for stream in service.streams:
                if stream.name == name:
                    return stream
        raise KeyError(name)


def _get(name, path, share, timeout_ms, urgent):
    return Stream(name, "GET", path, share, timeout_ms, urgent, True)


LAGOS = Deployment(
    name="lagos",
    document="examples/lagos.json",
    zones=("ikeja", "lekki", "yaba"),
    slots=6,
    connections=250,
    connect_ms=1,
    probe_ms=6,
    services=(
        Service("ledger-read", 15, 20, (
            _get("get-valuation", "/ledger-read/valuations/{id}", 0.3, 500, True),
            _get("get-piece", "/ledger-read/pieces/{id}", 0.7, 1000, False))),
        Service("certdesk", 10, 20, (
            Stream("issue-certificate", "POST", "/certdesk/certificates", 0.4, 2000, False, False),
            _get("get-certificate", "/certdesk/certificates/{id}", 0.6, 500, True))),
        Service("assay-pay", 6, 20, (
            Stream("place-deposit", "POST", "/assay-pay/deposits", 0.5, 2000, True, False),
            _get("get-deposit", "/assay-pay/deposits/{id}", 0.5, 1000, False))),
        Service("quickcheck", 6, 20, (
            Stream("run-check", "POST", "/quickcheck/checks", 0.6, 500, True, True),
            _get("get-history", "/quickcheck/history/{id}", 0.4, 2000, False))),
    ))

CENTRAL_BELT = Deployment(
    name="central-belt",
    document="examples/central-belt.json",
    zones=("gla", "edi", "lvs"),
    slots=3,
    connections=200,
    connect_ms=1,
    probe_ms=6,
    services=(
        Service("records", 15, 20, (
            _get("get-handset", "/records/handsets/{id}", 0.5, 500, True),
            _get("search-handsets", "/records/handsets?q={id}", 0.5, 2000, False))),
        Service("enrolment", 6, 20, (
            Stream("enrol-handset", "POST", "/enrolment/handsets", 0.6, 3000, False, False),
            _get("get-enrolment", "/enrolment/handsets/{id}", 0.4, 1000, False))),
        Service("activation", 6, 20, (
            Stream("activate-line", "POST", "/activation/lines", 0.6, 3000, True, False),
            _get("get-line", "/activation/lines/{id}", 0.4, 1000, False))),
        Service("compliance", 6, 20, (
            Stream("check-handset", "POST", "/compliance/checks", 0.6, 500, True, True),
            _get("get-report", "/compliance/reports/{id}", 0.4, 2000, False))),
    ))

ALL = {deployment.name: deployment for deployment in (LAGOS, CENTRAL_BELT)}


def hedged_kinds(text):
    """Returns the names of the kinds that the document allows to hedge."""
    kinds = re.findall(r'\{[^{}]*"method"[^{}]*\}', text)
    return {re.search(r'"name": "([^"]+)"', kind)[1] for kind in kinds
            if '"hedging": true' in kind}


def with_zone_state(text, zone, state):
    """Returns the document with one availability zone taken out or put in."""
    pattern = r'(\{"name": "%s", "state": )"(in|out)"' % re.escape(zone)
    changed, count = re.subn(pattern, r'\1"%s"' % state, text)
    if count != 1:
        raise ValueError("the document has no zone " + zone)
    return changed
