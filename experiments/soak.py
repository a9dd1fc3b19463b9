"""Runs deployments on loopback through random faults and checks what must always hold.

Each seed draws a deployment, its size and a schedule of faults that overlap. The verdict
depends on what callers and targets saw, not on how long anything took.
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

KNOWN_SEEDS = pathlib.Path(__file__).resolve().parent / "soak-seeds.json"
MAX_RUN_S = 300.0
WATCH_INTERVAL_S = 0.3
# A fault lasts so long.
FAULT_S = (0.5, 5.0)
# A fault starts so long after the one before it, on average.
FAULT_GAP_S = 1.5
PAUSE_S = (0.3, 3.0)
MUST_BE_ZERO = ("duplicate-runs", "false-not-run", "wrong-answers", "stops-not-clean",
                "revisions-gone-back", "calls-left-in-instances")


class SoakTrial(trial.Trial):
    """A trial whose callers and instances reach the others through proxies."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.real_platform = self.platform
        self.platform_proxy_address = self._address(0, 4, 7000)
        self.proxies = []
        self.caller_proxies = {}
        self.lock = threading.Lock()

    def _entry_settings(self, number):
        settings = super()._entry_settings(number)
        settings["platform"] = {"document": self.platform_proxy_address,
                                "instances": self.platform_proxy_address}
        return settings

    def caller_address(self, number):
        return self._address(3, number + 1, 8080)

    def real_caller_address(self, number):
        return self._address(1, number + 1, 8080)

    def start(self):
        self.platform_proxy = self._proxy(self.platform_proxy_address, self.real_platform)
        for number in range(self.instance_count):
            self.caller_proxies[number] = self._proxy(self.caller_address(number),
                                                      self.real_caller_address(number))
        super().start()

    def start_entry(self, number):
        settings = self._entry_settings(number)
        settings["caller-listen"] = self.real_caller_address(number)
        path = self._write(self.entry_name(number) + ".json", settings)
        self.entries[number] = self._start(self.entry_name(number), "cranberryd", path)

    def _proxy(self, listen, real):
        made = proxy.Proxy(listen, real)
        self.proxies.append(made)
        return made

    def end(self):
        super().end()
        for each in self.proxies:
            each.end()


class Faults:
    """The kinds of fault; each returns the function that ends it, or None."""

    def __init__(self, running, rng):
        self._running = running
        self._rng = rng
        self._zones_out = set()

    def _entry(self):
        return self._rng.choice(sorted(self._running.entries))

    def _target(self):
        service = self._rng.choice(self._running.deployment.services)
        return "%s-%02d" % (service.name, self._rng.randrange(service.targets) + 1)

    # Planned work

    def replaced(self):
        number = self._entry()
        if self._running.stop_entry(number) is None:
            self._running.note_sum("stops that hung", 1)
        self._running.replace_entry(number)

    def zone_out(self):
        zone = self._rng.choice(self._running.deployment.zones)
        if self._zones_out:
            return None
        self._zones_out.add(zone)
        self._publish(zone, "out")

        def back():
            self._publish(zone, "in")
            self._zones_out.discard(zone)
        return back

    def _publish(self, zone, state):
        self._running.publish(
            deployments.with_zone_state(self._running.document, zone, state))

    def draining_target(self):
        return self._target_faults(draining=True)

    # Faults of processes

    def killed(self):
        number = self._entry()
        self._running.kill_entry(number)
        time.sleep(self._rng.uniform(0.0, 1.0))
        self._running.replace_entry(number)

    def paused(self):
        entry = self._running.entries[self._entry()]
        entry.send(signal.SIGSTOP)
        time.sleep(self._rng.uniform(*PAUSE_S))
        entry.send(signal.SIGCONT)

    # Faults of connections

    def caller_connections_reset(self):
        self._running.caller_proxies[self._entry()].reset_all()

    def caller_connections_silent(self):
        self._running.caller_proxies[self._entry()].silence_all()

    def caller_connections_slow(self):
        harmed = self._running.caller_proxies[self._entry()]
        harmed.set_delay(self._rng.uniform(0.005, 0.2))
        return lambda: harmed.set_delay(0.0)

    def answers_lost(self):
        harmed = self._running.caller_proxies[self._entry()]
        harmed.set_one_way(True)

        def heal():
            # Bytes are missing in the middle: such a connection is of no use.
            harmed.reset_all()
            harmed.set_one_way(False)
        return heal

    def platform_silent(self):
        self._running.platform_proxy.silence_all()

    def platform_reset(self):
        self._running.platform_proxy.reset_all()

    def platform_slow(self):
        self._running.platform_proxy.set_delay(self._rng.uniform(0.05, 0.8))
        return lambda: self._running.platform_proxy.set_delay(0.0)

    def target_connections_silent(self):
        self._running.tell_behind("silence", targets=self._target())

    # Faults of the platform and the targets

    def platform_down(self):
        return self._mode("down")

    def platform_gone_back(self):
        return self._mode("back")

    def _mode(self, mode):
        self._running.tell_behind("document-mode", mode=mode)
        if mode == "down":
            self._running.tell_behind("instances-mode", mode=mode)

        def heal():
            self._running.tell_behind("document-mode", mode="up")
            self._running.tell_behind("instances-mode", mode="up")
        return heal

    def peers_parted(self):
        names = [self._running.entry_name(n) for n in sorted(self._running.entries)]
        self._running.tell_behind("part", names=names[:max(1, len(names) // 3)])
        return lambda: self._running.tell_behind("part", names=[])

    def cold_target(self):
        self._running.tell_behind("restart-cold", targets=self._target())

    def slow_target(self):
        return self._target_faults(**{"slow-factor": self._rng.uniform(3.0, 12.0)})

    def failing_target(self):
        return self._target_faults(**{"failing-fast": True})

    def crossing_target(self):
        return self._target_faults(crossing=True)

    def truncating_target(self):
        return self._target_faults(truncating=True)

    def _target_faults(self, **faults):
        target = self._target()
        self._running.tell_behind("faults", targets=target, **faults)
        return lambda: self._running.tell_behind("faults", targets=target)


PLANNED = ("replaced", "zone_out", "draining_target")
KINDS = PLANNED + (
    "killed", "paused", "caller_connections_reset", "caller_connections_silent",
    "caller_connections_slow", "answers_lost", "platform_silent", "platform_reset",
    "platform_slow", "target_connections_silent", "platform_down", "platform_gone_back",
    "peers_parted", "cold_target", "slow_target", "failing_target", "crossing_target",
    "truncating_target")


def schedule(rng, seconds, kinds):
    """Returns (start, kind, length) in the order of their starts."""
    drawn = []
    at = rng.expovariate(1.0 / FAULT_GAP_S)
    while at < seconds:
        drawn.append((at, rng.choice(kinds), rng.uniform(*FAULT_S)))
        at += rng.expovariate(1.0 / FAULT_GAP_S)
    return drawn


def play(faults, drawn, started):
    """Starts and ends the faults; those that end later overlap with others."""
    ends = []

    def end_due(now):
        for due in sorted((e for e in ends if e[0] <= now), key=lambda e: e[0]):
            due[1]()
            ends.remove(due)

    for at, kind, length in drawn:
        while (now := time.monotonic() - started) < at:
            end_due(now)
            time.sleep(0.02)
        print("  %6.1f s  %s" % (now, kind.replace("_", " ")), flush=True)
        heal = getattr(faults, kind)()
        if heal:
            ends.append((at + length, heal))
    for _, heal in sorted(ends, key=lambda e: e[0]):
        heal()


class RevisionWatch:
    """Watches that the revision in force never goes back in one process."""

    def __init__(self, running):
        self._running = running
        self._known = {}
        self._stop = threading.Event()
        self.gone_back = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stop.wait(WATCH_INTERVAL_S):
            for number, entry in list(self._running.entries.items()):
                self._look(number, entry.pid)

    def _look(self, number, pid):
        try:
            revision = self._running.status(number).get("revision", 0)
        except (OSError, ValueError):
            return
        entry = self._running.entries.get(number)
        if entry is None or entry.pid != pid:
            return
        if revision < self._known.get(pid, 0):
            self.gone_back += 1
        self._known[pid] = revision

    def end(self):
        self._stop.set()
        self._thread.join(15.0)


def run_seed(seed, arguments):
    """Plays one seed; returns what failed, empty when all held."""
    rng = random.Random(seed)
    deployment = deployments.ALL[rng.choice(sorted(deployments.ALL))]
    instances = arguments.instances or rng.randrange(3, 10)
    is_planned_only = rng.random() < 0.25
    drawn = schedule(rng, arguments.seconds, PLANNED if is_planned_only else KINDS)
    print("seed %d: %s, %d instances%s" % (seed, deployment.name, instances,
                                           ", planned work only" if is_planned_only else ""))
    running = SoakTrial(deployment, instances, arguments.load, seed, arguments.network,
                        arguments.build, direct_share=0.0)
    watchdog = threading.Timer(MAX_RUN_S, running.end)
    watchdog.daemon = True
    watchdog.start()
    try:
        running.start()
        watch = RevisionWatch(running)
        running.tell_callers("start-callers")
        play(Faults(running, rng), drawn, time.monotonic())
        running.finish_calls()
        watch.end()
        calls, runs, counters = running.read()
        figures = summary.summarize(deployment, running.document, calls, runs, counters)
        proofs = figures["proofs"]
        proofs["calls-left-in-instances"] = running.calls_left()
        proofs["revisions-gone-back"] = watch.gone_back
        codes = [code for each in running.exit_codes.values() for code in each]
        proofs["stops-not-clean"] = sum(1 for code in codes if code != 0)
    finally:
        watchdog.cancel()
        running.end()
    failed = [name for name in MUST_BE_ZERO if proofs[name]]
    if is_planned_only and proofs["cut"]:
        failed.append("cut")
    print("  %d calls; %s" % (figures["calls"], ", ".join(
        "%s %d" % (name, proofs[name]) for name in sorted(proofs))))
    print("  %s; logs in %s" % ("FAILED: " + ", ".join(failed) if failed else "held",
                                running.folder), flush=True)
    return failed


def seeds_of(arguments):
    if arguments.known:
        return [entry["seed"] for entry in json.loads(KNOWN_SEEDS.read_text())]
    first = arguments.first if arguments.first is not None else int(time.time())
    return range(first, first + arguments.seeds)


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, help="the first seed; a fresh one by default")
    parser.add_argument("--seeds", type=int, default=5, help="how many seeds to play")
    parser.add_argument("--known", action="store_true", help="the seeds that ever failed")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of a seed's faults")
    parser.add_argument("--instances", type=int, default=0, help="instances; drawn when 0")
    parser.add_argument("--load", type=float, default=0.2, help="share of the targets' capacity")
    parser.add_argument("--network", type=int, default=20,
                        help="second number of the loopback addresses, 127.N.x.y")
    parser.add_argument("--build", default=str(trial.REPOSITORY / "build"))
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    failures = {}
    for seed in seeds_of(arguments):
        failed = run_seed(seed, arguments)
        if failed:
            failures[seed] = failed
    print("verdict: %s" % ("NOT HELD %s" % failures if failures else "held"))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
