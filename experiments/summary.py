"""Computes results from the records of the stand-ins and renders them as text and SVG."""

import collections

from deployments import hedgeable_kinds

ENDINGS = ("answered", "not-run", "unknown", "deadline", "cut", "timeout", "wrong", "other")
PLOT_WIDTH = 900
ROW_HEIGHT = 26


def percentile(values, fraction):
    """Returns the given quantile (0 to 1) of sorted values, or None without values."""
    if not values:
        return None
    return values[min(len(values) - 1, int(fraction * len(values)))]


def quantiles(values):
    """Returns p50, p99 and p99.9 in milliseconds of values in microseconds."""
    ordered = sorted(values)
    return [None if value is None else value / 1000.0
            for value in (percentile(ordered, fraction) for fraction in (0.5, 0.99, 0.999))]


def ending_category(call):
    if call.ending in ENDINGS:
        return call.ending
    return "other"


def is_direct(call):
    # The caller sent these calls directly to a target, not through an instance.
    return call.stream.startswith("direct:")


def summarize(deployment, document, calls, runs, counters):
    """Returns the results of a trial as JSON-serializable values."""
    balanced_calls = [call for call in calls if not is_direct(call)]
    return {
        "phases": _results_by_phase(balanced_calls),
        "proofs": _check_counts(deployment, balanced_calls, runs, counters),
        "added-ms": _added_latency(deployment, hedgeable_kinds(document), calls, balanced_calls),
        "calls": len(balanced_calls),
        "measuring": sum(target["probes"] for target in counters["targets"]),
        "platform-max-calls-in-second": counters["platform-max-calls-in-second"],
    }


def _results_by_phase(calls):
    phases = {}
    for call in calls:
        rows = phases.setdefault(call.phase, {})
        rows.setdefault(call.stream, []).append(call)
    return {phase: {stream: _stream_results(members) for stream, members in sorted(rows.items())}
            for phase, rows in phases.items()}


def _stream_results(calls):
    endings = collections.Counter(ending_category(call) for call in calls)
    reasons = collections.Counter(call.ending + ":" + call.reason for call in calls
                                  if ending_category(call) != "answered")
    failed = sum(1 for call in calls if call.ending == "answered" and call.status >= 500)
    return {
        "endings": dict(endings),
        "reasons": dict(reasons),
        "server-errors": failed,
        "latency-ms": quantiles([c.latency for c in calls if c.ending == "answered"]),
    }


def _check_counts(deployment, calls, runs, counters):
    duplicates = 0
    false_not_run = 0
    for call in calls:
        count = runs.get(call.call_id, 0)
        if not deployment.find_stream(call.stream).idempotent and count > 1:
            duplicates += 1
        if call.ending in ("not-run",) and count > 0:
            false_not_run += 1
    return {
        "duplicate-runs": duplicates,
        "false-not-run": false_not_run,
        "wrong-answers": sum(1 for call in calls if call.ending == "wrong"),
        "cut": sum(1 for call in calls if call.ending == "cut"),
        "no-answer-in-time": sum(1 for call in calls if call.ending == "timeout"),
        "over-cold": sum(target["over-cold"] for target in counters["targets"]),
        "refused-connections": sum(t["refused-connections"] for t in counters["targets"]),
    }


def _added_latency(deployment, hedgeable, calls, balanced_calls):
    """Returns quantiles of the latency added outside the targets in the calm phase.

    When a hedged call is answered by its second attempt, the delay before that attempt does
    not count as target time. Kinds that allow hedging are therefore reported separately.
    """
    def overhead_quantiles(members):
        return quantiles([c.overhead for c in members
                          if c.ending == "answered" and c.phase == "calm"])

    def select_calls(has_key, is_hedgeable):
        return [c for c in balanced_calls
                if (not deployment.find_stream(c.stream).idempotent) == has_key
                and (c.stream in hedgeable) == is_hedgeable]

    direct = overhead_quantiles([c for c in calls if is_direct(c)])
    through = overhead_quantiles(select_calls(False, False))
    added = [None if through_ms is None or direct_ms is None else through_ms - direct_ms
             for through_ms, direct_ms in zip(through, direct)]
    return {"direct": direct, "through": through, "added": added,
            "through, with a key": overhead_quantiles(select_calls(True, False)),
            "through, may be hedged": overhead_quantiles(select_calls(False, True))}


def _format_number(value):
    return "-" if value is None else "%.2f" % value


def format_text(results):
    """Returns the results as a human-readable table."""
    lines = []
    for phase, rows in results["phases"].items():
        lines.append("")
        lines.append("phase %s" % phase)
        lines.append("  %-20s %8s %8s %8s %8s %5s %5s %5s %6s %9s %9s %9s" % (
            "kind", *ENDINGS[:4], *ENDINGS[4:7], "other", "p50 ms", "p99 ms", "p99.9 ms"))
        for stream, row in rows.items():
            counts = [row["endings"].get(ending, 0) for ending in ENDINGS]
            lines.append("  %-20s %8d %8d %8d %8d %5d %5d %5d %6d %9s %9s %9s" % (
                stream, *counts, *[_format_number(value) for value in row["latency-ms"]]))
            for reason, count in sorted(row["reasons"].items()):
                lines.append("      %6d  %s" % (count, reason))
    lines.append("")
    lines.append("time outside the targets (ms)     p50      p99    p99.9")
    for name in results["added-ms"]:
        values = [_format_number(value) for value in results["added-ms"][name]]
        lines.append("  %-26s %8s %8s %8s" % (name, *values))
    lines.append("")
    for name, value in results["proofs"].items():
        lines.append("%-40s %d" % (name, value))
    lines.append("%-40s %d" % ("probes of all targets", results["measuring"]))
    for name, value in results.get("resources", {}).items():
        lines.append("%-40s %s" % (name, value))
    return "\n".join(lines)


def render_svg(results, title):
    """Returns an SVG bar chart of p50 and p99 by phase and call kind."""
    rows = [(phase, stream, row["latency-ms"])
            for phase, streams in results["phases"].items() for stream, row in streams.items()
            if row["latency-ms"][1] is not None]
    largest = max((values[1] for _, _, values in rows), default=1.0)
    height = 60 + ROW_HEIGHT * len(rows)
    elements = ['<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" '
                'font-family="sans-serif" font-size="12">' % (PLOT_WIDTH, height),
                '<rect width="100%" height="100%" fill="white"/>',
                '<text x="10" y="22" font-size="16">%s: p50 (dark) and p99 (light), ms</text>'
                % title]
    for index, (phase, stream, values) in enumerate(rows):
        y = 44 + ROW_HEIGHT * index
        elements.append('<text x="10" y="%d">%s / %s</text>' % (y + 12, phase, stream))
        for value, color in ((values[1], "#9ecae1"), (values[0], "#08519c")):
            width = 1 + 480.0 * value / largest
            elements.append('<rect x="300" y="%d" width="%.1f" height="16" fill="%s"/>'
                            % (y, width, color))
        elements.append('<text x="%.1f" y="%d">%.1f / %.1f</text>'
                        % (308 + 480.0 * values[1] / largest, y + 12, values[0], values[1]))
    elements.append("</svg>")
    return "\n".join(elements)
