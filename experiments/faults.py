"""The phases of a trial: each injects one fault or makes one planned change."""

import signal
import time

import deployments


# Time after which an availability zone that was taken out must receive no new requests.
ZONE_REMOVAL_S = 3.0
# At shorter intervals between replacements the instances refuse some keyed calls; see
# docs/OPERATIONS.md.
REPLACEMENT_INTERVAL_S = 8.0
PROPAGATION_TIME = "change in force everywhere, longest (s)"
REQUESTS_TO_REMOVED_ZONE = "requests in a zone out for 3 s"


def _publish_zone_state(trial, zone, state, instance_numbers=None):
    revision = trial.publish(deployments.with_zone_state(trial.document, zone, state))
    elapsed_s = trial.wait_for_revision(
        revision, trial.entries if instance_numbers is None else instance_numbers)
    trial.record_maximum(PROPAGATION_TIME, elapsed_s)
    return elapsed_s or 0.0


def _count_zone_requests(trial, zone, seconds):
    before = trial.zone_requests(zone)
    time.sleep(seconds)
    trial.add_to_measurement(REQUESTS_TO_REMOVED_ZONE, trial.zone_requests(zone) - before)


def calm(trial, seconds):
    """No fault; the baseline for the other phases."""
    time.sleep(seconds)


def ordinary_doubled(trial, seconds):
    """The rate of ordinary calls is doubled; the rate of urgent calls is unchanged."""
    ordinary = [s.name for service in trial.deployment.services
                for s in service.streams if not s.urgent]
    for name in ordinary:
        trial.command_callers("rate", stream=name, factor=2.0)
    time.sleep(seconds)
    for name in ordinary:
        trial.command_callers("rate", stream=name, factor=1.0)


def zone_out(trial, seconds):
    """An availability zone is taken out of service."""
    zone = trial.deployment.zones[0]
    elapsed_s = _publish_zone_state(trial, zone, "out")
    time.sleep(max(0.0, ZONE_REMOVAL_S - elapsed_s))
    _count_zone_requests(trial, zone, seconds)


def zone_back_cold(trial, seconds):
    """The availability zone returns to service with all of its targets cold."""
    zone = trial.deployment.zones[0]
    trial.command_upstream("restart-cold", targets=zone)
    _publish_zone_state(trial, zone, "in")
    time.sleep(seconds)


def _first_target_names(trial):
    return ["%s-01" % service.name for service in trial.deployment.services]


def _run_with_target_faults(trial, seconds, **faults):
    for name in _first_target_names(trial):
        trial.command_upstream("faults", targets=name, **faults)
    time.sleep(seconds)
    for name in _first_target_names(trial):
        trial.command_upstream("faults", targets=name)


def slow_target(trial, seconds):
    """One target of each service runs at a tenth of its normal speed."""
    _run_with_target_faults(trial, seconds, **{"slow-factor": 10.0})


def fast_failure(trial, seconds):
    """One target of each service immediately responds with status 500."""
    _run_with_target_faults(trial, seconds, **{"failing-fast": True})


def crossed_answers(trial, seconds):
    """One target of each service swaps responses between its connections."""
    _run_with_target_faults(trial, seconds, crossing=True)


def truncated_answers(trial, seconds):
    """One target of each service truncates its responses."""
    _run_with_target_faults(trial, seconds, truncating=True)


def misleading_reports(trial, seconds):
    """One target of each service is slow but reports that it is idle."""
    _run_with_target_faults(trial, seconds, misleading=True, **{"slow-factor": 3.0})


def draining(trial, seconds):
    """One target of each service reports that it is draining."""
    _run_with_target_faults(trial, seconds, draining=True)


def cold_again(trial, seconds):
    """One target of each service restarts cold without prior notice."""
    for name in _first_target_names(trial):
        trial.command_upstream("restart-cold", targets=name)
    time.sleep(seconds)


def silent_connections(trial, seconds):
    """The open connections of one target of each service stop responding without closing."""
    for name in _first_target_names(trial):
        trial.command_upstream("silence", targets=name)
    time.sleep(seconds)


def paused_instance(trial, seconds):
    """An instance is paused while the document changes, then resumes."""
    entry = trial.entries[1]
    entry.send_signal(signal.SIGSTOP)
    zone = trial.deployment.zones[1]
    _publish_zone_state(trial, zone, "out", [n for n in trial.entries if n != 1])
    time.sleep(max(ZONE_REMOVAL_S, seconds / 2))
    entry.send_signal(signal.SIGCONT)
    _count_zone_requests(trial, zone, seconds / 2)
    _publish_zone_state(trial, zone, "in")
    time.sleep(seconds / 2)


def killed_instance(trial, seconds):
    """An instance is killed and later replaced."""
    trial.kill_entry(2)
    time.sleep(seconds / 2)
    trial.replace_entry(2)
    time.sleep(seconds / 2)


def service_down(trial, seconds):
    """The configuration service and the instance list are unavailable."""
    trial.command_upstream("document-mode", mode="down")
    trial.command_upstream("instances-mode", mode="down")
    time.sleep(seconds)
    trial.command_upstream("document-mode", mode="up")
    trial.command_upstream("instances-mode", mode="up")


def service_gone_back(trial, seconds):
    """The configuration service returns a lower document revision than before."""
    trial.command_upstream("document-mode", mode="back")
    time.sleep(seconds)
    trial.command_upstream("document-mode", mode="up")


def service_far(trial, seconds):
    """The document changes while only one instance can read from the platform."""
    blocked = [trial.entry_name(number) for number in sorted(trial.entries)][1:]
    trial.command_upstream("block-readers", names=blocked)
    zone = trial.deployment.zones[2]
    _publish_zone_state(trial, zone, "out")
    _count_zone_requests(trial, zone, seconds)
    _publish_zone_state(trial, zone, "in")
    trial.command_upstream("block-readers", names=[])


def parted_peers(trial, seconds):
    """A network partition separates a third of the instances from the others."""
    names = [trial.entry_name(number) for number in sorted(trial.entries)]
    trial.command_upstream("part", names=names[:len(names) // 3])
    time.sleep(seconds)
    trial.command_upstream("part", names=[])
    time.sleep(seconds / 2)


def rolling_replacement(trial, seconds):
    """All instances are stopped and replaced one by one at the documented interval."""
    for number in sorted(trial.entries):
        start = time.monotonic()
        trial.stop_entry(number)
        trial.replace_entry(number)
        time.sleep(max(0.0, start + REPLACEMENT_INTERVAL_S - time.monotonic()))
    time.sleep(seconds / 2)


DEMO = (calm, zone_out, zone_back_cold)
ALL = (calm, ordinary_doubled, zone_out, zone_back_cold, slow_target, fast_failure,
       crossed_answers, truncated_answers, misleading_reports, draining, cold_again,
       silent_connections, paused_instance, killed_instance, service_down,
       service_gone_back, service_far, parted_peers, rolling_replacement)
BY_NAME = {phase.__name__.replace("_", "-"): phase for phase in ALL}
