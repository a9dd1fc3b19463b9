"""Runs simulated deployments on loopback under random faults and checks correctness invariants.

Each seed selects a deployment, its size and a schedule of overlapping faults. The verdict
depends on what callers and targets observed, not on timing.
"""

import argparse
import json
import pathlib
import random
import signal
import sys
import threading
import time

import deployments
import proxy
import summary
import trial

FAILED_SEEDS_FILE = pathlib.Path(__file__).resolve().parent / "soak-seeds.json"
MAX_RUN_S = 300.0
REVISION_POLL_INTERVAL_S = 0.3
FAULT_DURATION_S = (0.5, 5.0)
MEAN_FAULT_INTERVAL_S = 1.5
PAUSE_DURATION_S = (0.3, 3.0)
MUST_BE_ZERO = ("duplicate-runs", "false-not-run", "wrong-answers", "stops-not-clean",
                "revisions-gone-back", "calls-left-in-instances")
# Checked with --workspaces. Without the calls counted in the second list the first proves nothing.
WORKSPACES_MUST_BE_ZERO = ("keys-at-targets", "runs-with-withdrawn-key", "runs-before-key-added",
                           "wrong-workspaces")
WORKSPACES_MUST_OCCUR = ("late-calls-of-old-key", "runs-of-new-key")
# A document is in force everywhere 7 s after its publication (docs/FAILURES.md, B9).
WITHDRAWAL_LIMIT_S = 7.0
KEYS_BEFORE = {"east": ["east-key"], "west": ["old-key"]}
KEYS_AFTER = {"east": ["east-key"], "west": ["new-key"]}
CALLER_KEYS = ["east-key", "new-key", "old-key"]


class SoakTrial(trial.Trial):
    """A trial with fault-injecting proxies in front of the instances and the platform."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.platform_listen_address = self.platform_address
        self.platform_proxy_address = self._loopback_address(0, 4, 7000)
        self.proxies = []
        self.caller_proxies = {}
        self.lock = threading.Lock()

    def _entry_settings(self, number):
        settings = super()._entry_settings(number)
        settings["platform"] = {"document": self.platform_proxy_address,
                                "instances": self.platform_proxy_address}
        return settings

    def caller_address(self, number):
        return self._loopback_address(3, number + 1, 8080)

    def caller_listen_address(self, number):
        return self._loopback_address(1, number + 1, 8080)

    def start(self):
        self.platform_proxy = self._start_proxy(self.platform_proxy_address,
                                                self.platform_listen_address)
        for number in range(self.instance_count):
            self.caller_proxies[number] = self._start_proxy(self.caller_address(number),
                                                            self.caller_listen_address(number))
        super().start()

    def start_entry(self, number):
        settings = self._entry_settings(number)
        settings["caller-listen"] = self.caller_listen_address(number)
        path = self._write_json(self.entry_name(number) + ".json", settings)
        self.entries[number] = self._start_process(self.entry_name(number), "cranberryd", path)

    def _start_proxy(self, listen_address, upstream_address):
        new_proxy = proxy.Proxy(listen_address, upstream_address)
        self.proxies.append(new_proxy)
        return new_proxy

    def shut_down(self):
        super().shut_down()
        for started_proxy in self.proxies:
            started_proxy.stop()


class FaultInjector:
    """Injects faults. Each fault method returns a function that ends the fault, or None."""

    def __init__(self, active_trial, rng):
        self._trial = active_trial
        self._rng = rng
        self._zones_out = set()

    def _random_entry(self):
        return self._rng.choice(sorted(self._trial.entries))

    def _random_target(self):
        service = self._rng.choice(self._trial.deployment.services)
        return "%s-%02d" % (service.name, self._rng.randrange(service.targets) + 1)

    # Planned changes

    def replaced(self):
        number = self._random_entry()
        if self._trial.stop_entry(number) is None:
            self._trial.add_to_measurement("stops that hung", 1)
        self._trial.replace_entry(number)

    def zone_out(self):
        zone = self._rng.choice(self._trial.deployment.zones)
        if self._zones_out:
            return None
        self._zones_out.add(zone)
        self._publish_zone_state(zone, "out")

        def restore_zone():
            self._publish_zone_state(zone, "in")
            self._zones_out.discard(zone)
        return restore_zone

    def _publish_zone_state(self, zone, state):
        self._trial.publish(
            deployments.with_zone_state(self._trial.document, zone, state))

    def key_replaced(self):
        replace_key(self._trial)

    def draining_target(self):
        return self._inject_target_faults(draining=True)

    # Process faults

    def killed(self):
        number = self._random_entry()
        self._trial.kill_entry(number)
        time.sleep(self._rng.uniform(0.0, 1.0))
        self._trial.replace_entry(number)

    def paused(self):
        entry = self._trial.entries[self._random_entry()]
        entry.send_signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(*PAUSE_DURATION_S))
        entry.send_signal(signal.SIGCONT)

    # Connection faults

    def caller_connections_reset(self):
        self._trial.caller_proxies[self._random_entry()].reset_connections()

    def caller_connections_silent(self):
        self._trial.caller_proxies[self._random_entry()].silence_connections()

    def caller_connections_slow(self):
        caller_proxy = self._trial.caller_proxies[self._random_entry()]
        caller_proxy.set_delay(self._rng.uniform(0.005, 0.2))
        return lambda: caller_proxy.set_delay(0.0)

    def answers_lost(self):
        caller_proxy = self._trial.caller_proxies[self._random_entry()]
        caller_proxy.set_responses_dropped(True)

        def recover():
            # Discarded bytes leave gaps in the response streams, so the connections are unusable.
            caller_proxy.reset_connections()
            caller_proxy.set_responses_dropped(False)
        return recover

    def platform_silent(self):
        self._trial.platform_proxy.silence_connections()

    def platform_reset(self):
        self._trial.platform_proxy.reset_connections()

    def platform_slow(self):
        self._trial.platform_proxy.set_delay(self._rng.uniform(0.05, 0.8))
        return lambda: self._trial.platform_proxy.set_delay(0.0)

    def target_connections_silent(self):
        self._trial.command_upstream("silence", targets=self._random_target())

    # Platform, peer network and target faults

    def platform_down(self):
        return self._set_platform_mode("down")

    def platform_gone_back(self):
        return self._set_platform_mode("back")

    def _set_platform_mode(self, mode):
        self._trial.command_upstream("document-mode", mode=mode)
        if mode == "down":
            self._trial.command_upstream("instances-mode", mode=mode)

        def recover():
            self._trial.command_upstream("document-mode", mode="up")
            self._trial.command_upstream("instances-mode", mode="up")
        return recover

    def peers_parted(self):
        names = [self._trial.entry_name(n) for n in sorted(self._trial.entries)]
        self._trial.command_upstream("part", names=names[:max(1, len(names) // 3)])
        return lambda: self._trial.command_upstream("part", names=[])

    def cold_target(self):
        self._trial.command_upstream("restart-cold", targets=self._random_target())

    def slow_target(self):
        return self._inject_target_faults(**{"slow-factor": self._rng.uniform(3.0, 12.0)})

    def failing_target(self):
        return self._inject_target_faults(**{"failing-fast": True})

    def crossing_target(self):
        return self._inject_target_faults(crossing=True)

    def truncating_target(self):
        return self._inject_target_faults(truncating=True)

    def _inject_target_faults(self, **settings):
        target = self._random_target()
        self._trial.command_upstream("faults", targets=target, **settings)
        return lambda: self._trial.command_upstream("faults", targets=target)


PLANNED_FAULTS = ("replaced", "zone_out", "draining_target")
ALL_FAULTS = PLANNED_FAULTS + (
    "killed", "paused", "caller_connections_reset", "caller_connections_silent",
    "caller_connections_slow", "answers_lost", "platform_silent", "platform_reset",
    "platform_slow", "target_connections_silent", "platform_down", "platform_gone_back",
    "peers_parted", "cold_target", "slow_target", "failing_target", "crossing_target",
    "truncating_target")


def draw_schedule(rng, seconds, kinds):
    """Returns tuples (start, kind, duration), ordered by start time."""
    schedule = []
    at = rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
    while at < seconds:
        schedule.append((at, rng.choice(kinds), rng.uniform(*FAULT_DURATION_S)))
        at += rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
    return schedule


def run_schedule(injector, schedule, started):
    """Starts and ends the faults at their scheduled times; faults may overlap."""
    pending_recoveries = []

    def run_due_recoveries(now):
        for recovery in sorted((e for e in pending_recoveries if e[0] <= now),
                               key=lambda e: e[0]):
            recovery[1]()
            pending_recoveries.remove(recovery)

    for at, kind, duration_s in schedule:
        while (now := time.monotonic() - started) < at:
            run_due_recoveries(now)
            time.sleep(0.02)
        print("  %6.1f s  %s" % (now, kind.replace("_", " ")), flush=True)
        recover = getattr(injector, kind)()
        if recover:
            pending_recoveries.append((at + duration_s, recover))
    for _, recover in sorted(pending_recoveries, key=lambda e: e[0]):
        recover()


def replace_key(active_trial):
    """Publishes a document without the old key of a workspace and with a new one."""
    published = deployments.with_workspaces(active_trial.document, KEYS_AFTER)
    active_trial.key_added_at = time.monotonic()
    active_trial.publish(published)
    active_trial.key_withdrawn_at = time.monotonic()


def check_workspaces(active_trial, calls, runs, counters):
    """Returns the number of violations of each invariant of workspaces."""
    _, body = trial.send_request(active_trial.upstream_control, "GET", "/workspaces", timeout=60)
    workspaces = json.loads(body)
    ran = [call for call in calls if call.key and call.call_id in runs]
    owner = {key: [name] for keys in (KEYS_BEFORE, KEYS_AFTER) for name in keys
             for key in keys[name]}
    deadline = (active_trial.key_withdrawn_at + WITHDRAWAL_LIMIT_S) * 1e6
    return {
        "keys-at-targets": sum(target["keys-received"] for target in counters["targets"]),
        "runs-with-withdrawn-key": sum(
            1 for call in ran if call.key == "old-key" and call.sent_at > deadline),
        "runs-before-key-added": sum(
            1 for call in ran if call.key == "new-key"
            and call.sent_at + call.latency < active_trial.key_added_at * 1e6),
        "wrong-workspaces": sum(
            1 for call in ran if workspaces.get(call.call_id) != owner[call.key]),
        "late-calls-of-old-key": sum(
            1 for call in calls if call.key == "old-key" and call.sent_at > deadline),
        "runs-of-new-key": sum(1 for call in ran if call.key == "new-key"),
    }


class RevisionMonitor:
    """Detects a decrease of the document revision that a running instance has applied."""

    def __init__(self, active_trial):
        self._trial = active_trial
        self._last_revisions = {}
        self._stop = threading.Event()
        self.regressions = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stop.wait(REVISION_POLL_INTERVAL_S):
            for number, entry in list(self._trial.entries.items()):
                self._check_revision(number, entry.pid)

    def _check_revision(self, number, pid):
        try:
            revision = self._trial.status(number).get("revision", 0)
        except (OSError, ValueError):
            return
        entry = self._trial.entries.get(number)
        if entry is None or entry.pid != pid:
            return
        if revision < self._last_revisions.get(pid, 0):
            self.regressions += 1
        self._last_revisions[pid] = revision

    def stop(self):
        self._stop.set()
        self._thread.join(15.0)


def run_seed(seed, arguments):
    """Runs one seed and returns the names of the violated invariants."""
    rng = random.Random(seed)
    deployment = deployments.ALL[rng.choice(sorted(deployments.ALL))]
    instances = arguments.instances or rng.randrange(3, 10)
    is_planned_only = rng.random() < 0.25
    schedule = draw_schedule(rng, arguments.seconds,
                             PLANNED_FAULTS if is_planned_only else ALL_FAULTS)
    print("seed %d: %s, %d instances%s" % (seed, deployment.name, instances,
                                           ", planned changes only" if is_planned_only else ""))
    active_trial = SoakTrial(deployment, instances, arguments.load, seed, arguments.network,
                             arguments.build, direct_share=0.0)
    if arguments.workspaces:
        active_trial.caller_keys = CALLER_KEYS
        active_trial.document = deployments.with_workspaces(active_trial.document, KEYS_BEFORE)
    watchdog = threading.Timer(MAX_RUN_S, active_trial.shut_down)
    watchdog.daemon = True
    watchdog.start()
    try:
        active_trial.start()
        revision_monitor = RevisionMonitor(active_trial)
        active_trial.command_callers("start-callers")
        injector = FaultInjector(active_trial, rng)
        if arguments.workspaces:
            schedule = sorted(schedule + [(arguments.seconds / 4, "key_replaced", 0.0)])
        run_schedule(injector, schedule, time.monotonic())
        active_trial.drain_calls()
        revision_monitor.stop()
        calls, runs, counters = active_trial.read_results()
        results = summary.summarize(deployment, active_trial.document, calls, runs, counters)
        counts = results["proofs"]
        counts["calls-left-in-instances"] = active_trial.count_open_calls()
        counts["revisions-gone-back"] = revision_monitor.regressions
        if arguments.workspaces:
            counts.update(check_workspaces(active_trial, calls, runs, counters))
        exit_codes = [code for codes in active_trial.exit_codes.values() for code in codes]
        counts["stops-not-clean"] = sum(1 for code in exit_codes if code != 0)
    finally:
        watchdog.cancel()
        active_trial.shut_down()
    failed = [name for name in MUST_BE_ZERO if counts[name]]
    if arguments.workspaces:
        failed += [name for name in WORKSPACES_MUST_BE_ZERO if counts[name]]
        failed += [name for name in WORKSPACES_MUST_OCCUR if not counts[name]]
    if is_planned_only and counts["cut"]:
        failed.append("cut")
    print("  %d calls; %s" % (results["calls"], ", ".join(
        "%s %d" % (name, counts[name]) for name in sorted(counts))))
    print("  %s; logs in %s" % ("FAILED: " + ", ".join(failed) if failed else "held",
                                active_trial.work_folder), flush=True)
    return failed


def select_seeds(arguments):
    if arguments.known:
        return [entry["seed"] for entry in json.loads(FAILED_SEEDS_FILE.read_text())]
    first = arguments.first if arguments.first is not None else int(time.time())
    return range(first, first + arguments.seeds)


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int,
                        help="first seed; derived from the current time by default")
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds to run")
    parser.add_argument("--known", action="store_true",
                        help="run the seeds that failed in the past (soak-seeds.json)")
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="duration of fault injection per seed")
    parser.add_argument("--instances", type=int, default=0,
                        help="number of instances; 0 selects a random number")
    parser.add_argument("--load", type=float, default=0.2,
                        help="offered load as a fraction of the capacity of the targets")
    parser.add_argument("--workspaces", action="store_true",
                        help="callers send keys, one of which is replaced during the run")
    parser.add_argument("--network", type=int, default=20,
                        help="N in the loopback addresses 127.N.x.y")
    parser.add_argument("--build", default=str(trial.REPOSITORY / "build"))
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    failures = {}
    for seed in select_seeds(arguments):
        failed = run_seed(seed, arguments)
        if failed:
            failures[seed] = failed
    print("verdict: %s" % ("NOT HELD %s" % failures if failures else "held"))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
