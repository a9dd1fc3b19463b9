"""Size, bounds and traffic of a deployment that runs as real processes on loopback."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """Requests of one kind. Durations are in seconds."""

    name: str
    service: str
    method: str
    is_idempotent: bool
    per_second: float
    work: float
    deadline: float
    timeout: float
    repeats: int
    body_bytes: int = 0
    # Whether callers send further requests before the first one is answered.
    is_pipelined: bool = False


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Instances, targets and traffic, with the bounds that the settings state."""

    zones: tuple
    instances: int
    # The number of targets by service.
    targets: dict
    slots: int
    queue: int
    kinds: tuple
    bounds: dict
    resets_when_full: bool = True
    # The share of requests that take `tail_factor` times as long as others.
    tail_share: float = 0.0
    tail_factor: float = 1.0
    # The share of callers that keep their connections open.
    kept_share: float = 0.5

    def seconds(self, name):
        """Returns a bound that is a duration, in seconds."""
        text = self.bounds[name]
        return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


def _bounds(drain, slack):
    return {
        "seed_lag": "3s", "addr_reuse": "2s", "contact": "3000ms", "ack": "4000ms",
        "catch_up": "4s", "drain": drain, "grace": "6s", "loss_slack": "200ms",
        "config_apply": drain, "downgrade_slack": "250ms", "outer": "5000ms",
        "retry_budget_ratio": "0.2", "retry_window": "10s", "budget_slack": slack,
        "warmup_overage": "1.5", "warmup_tolerance": "5", "evacuate": "5000ms",
        "recovery": "15s", "probes_per_s": "60",
    }


# Kinds, targets and bounds follow the sites that the users' reports name.
DEPLOYMENTS = {
    "small": Deployment(
        zones=("gla", "edi", "lvs"), instances=13,
        targets={"records": 14, "enrolment": 6, "activation": 6, "compliance": 6},
        slots=3, queue=6, bounds=_bounds("2000ms", "56"),
        kinds=(
            RequestKind("handset-lookup", "records", "GET", True, 58, 0.12, 1.5, 0.8, 1),
            RequestKind("device-enrol", "enrolment", "POST", False, 20, 0.16, 2.0, 1.0, 1, 1200),
            RequestKind("sim-activate", "activation", "PUT", False, 14, 0.084, 1.0, 1.0, 1, 1200),
            RequestKind("compliance-check", "compliance", "GET", True, 20, 0.048, 0.6, 0.6, 1),
        )),
    # 0.4 of the traffic of the site whose kinds and bounds it has.
    "spool": Deployment(
        zones=("ikeja", "lekki", "yaba"), instances=17,
        targets={"ledger-read": 16, "certdesk": 11, "assay-pay": 6, "quickcheck": 6},
        slots=6, queue=24, bounds=_bounds("2000ms", "62"), resets_when_full=False,
        kept_share=1.0,
        kinds=(
            RequestKind("valuation-lookup", "ledger-read", "GET", True, 68, 0.094, 2.0, 1.0, 2),
            RequestKind("cert-issue", "certdesk", "POST", False, 35, 0.12, 2.5, 1.2, 2, 1200),
            RequestKind("test-deposit", "assay-pay", "PUT", False, 24, 0.066, 1.2, 1.2, 2, 4000),
            RequestKind("sale-check", "quickcheck", "GET", True, 24, 0.038, 1.0, 1.0, 2,
                        is_pipelined=True),
        )),
    "medium": Deployment(
        zones=("recife", "fortaleza", "salvador", "natal"), instances=48,
        targets={"guia": 24, "entrega": 20}, slots=6, queue=24,
        bounds=_bounds("2500ms", "190"), resets_when_full=False,
        tail_share=0.03, tail_factor=7.0,
        kinds=(
            RequestKind("next-turn", "guia", "GET", True, 120, 0.19, 5.0, 2.5, 2),
            RequestKind("stop-assign", "guia", "POST", False, 36, 0.25, 6.0, 3.0, 2, 4000),
            RequestKind("round-view", "entrega", "GET", True, 50, 0.47, 10.0, 5.0, 2),
            RequestKind("drop-confirm", "entrega", "DELETE", False, 14, 0.15, 3.0, 1.5, 2),
        )),
}
