"""Starts the processes of a trial on loopback, steers them and ends them."""

import http.client
import json
import os
import pathlib
import resource
import signal
import subprocess
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
MIN_OPEN_FILES = 16384
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
IN_FORCE_TIMEOUT_S = 20.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def raise_open_files():
    """Raises the limit of open files, and fails when that is not enough."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    if hard < MIN_OPEN_FILES:
        raise SystemExit("the limit of open files is %d, %d are needed" % (hard, MIN_OPEN_FILES))


def request(address, method, path, body=None, timeout=10.0):
    """Makes one HTTP request and returns (status, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def command(port, **members):
    """Sends a command to a control port."""
    status, _ = request(port, "POST", "/", json.dumps(members))
    if status != 200:
        raise RuntimeError("refused command: %s" % members)


class Process:
    """A process that the trial started."""

    def __init__(self, name, arguments, log):
        self.name = name
        self._log = open(log, "ab")
        self._popen = subprocess.Popen(arguments, stdout=self._log, stderr=self._log,
                                       stdin=subprocess.DEVNULL)

    @property
    def pid(self):
        return self._popen.pid

    def is_running(self):
        return self._popen.poll() is None

    def send(self, number):
        if self.is_running():
            self._popen.send_signal(number)

    def wait(self, timeout):
        """Waits for the end and returns the exit code, or None when it runs on."""
        try:
            return self._popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def end(self):
        """Ends the process whatever it does."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._popen.wait()
        self._log.close()

    def cpu_seconds(self):
        """Returns the processor time used so far."""
        try:
            fields = pathlib.Path("/proc/%d/stat" % self.pid).read_text().rsplit(")", 1)[1].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def peak_memory_mib(self):
        """Returns the largest resident size so far."""
        try:
            lines = pathlib.Path("/proc/%d/status" % self.pid).read_text().splitlines()
        except OSError:
            return 0.0
        for line in lines:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024.0
        return 0.0


class Trial:
    """Instances, targets, platform and callers of one deployment."""

    def __init__(self, deployment, instances, load, seed, network, build, direct_share=0.02,
                 body_bytes=0, keyed=True):
        self.deployment = deployment
        self.instance_count = instances
        self.load = load
        self.seed = seed
        self.network = network
        self.build = pathlib.Path(build)
        self.direct_share = direct_share
        self.body_bytes = body_bytes
        self.keyed = keyed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cranberry-trial-"))
        self.document = (REPOSITORY / deployment.document).read_text()
        self.platform = self._address(0, 1, 7000)
        self.behind_control = self._address(0, 2, 7001)
        self.callers_control = self._address(0, 3, 7002)
        self.behind = None
        self.callers = None
        self.entries = {}
        self.ended_cpu_seconds = 0.0
        self.exit_codes = {}
        self.measures = {}

    def _address(self, third, fourth, port):
        return "127.%d.%d.%d:%d" % (self.network, third, fourth, port)

    # Descriptions

    def zone_of(self, number):
        return self.deployment.zones[number % len(self.deployment.zones)]

    def entry_name(self, number):
        return "entry-%02d" % (number + 1)

    def caller_address(self, number):
        return self._address(1, number + 1, 8080)

    def peer_address(self, number):
        return self._address(1, number + 1, 7400)

    def link_address(self, number):
        return self._address(2, number + 1, 7400)

    def operator_address(self, number):
        return self._address(1, number + 1, 9090)

    def _targets(self):
        targets = []
        for position, service in enumerate(self.deployment.services):
            for number in range(service.targets):
                zone = self.zone_of(number)
                targets.append({
                    "name": "%s-%02d" % (service.name, number + 1),
                    "group": "%s-%s" % (service.name, zone),
                    "zone": zone,
                    "address": self._address(10 + position, number + 1, 9000),
                    "slots": self.deployment.slots,
                    "connections": self.deployment.connections,
                    "mean-ms": service.mean_ms,
                    "connect-ms": self.deployment.connect_ms,
                    "probe-ms": self.deployment.probe_ms,
                    "cold-in-flight": 1,
                    "warmup-ms": 10000,
                    "report-lag-ms": 100,
                })
        return targets

    def _streams(self, targets):
        streams = []
        for service in self.deployment.services:
            rate = self.load * service.targets * self.deployment.slots * 1000.0 / service.mean_ms
            for stream in service.streams:
                streams.append(self._stream(stream, rate * stream.share))
            direct = next(s for s in service.streams if s.method == "GET")
            described = self._stream(direct, rate * self.direct_share)
            described["name"] = "direct:" + service.name
            described["direct-to"] = [t["address"] for t in targets
                                      if t["name"].startswith(service.name + "-")]
            streams.append(described)
        return streams

    def _stream(self, stream, rate):
        return {
            "name": stream.name,
            "method": stream.method,
            "path": stream.path,
            "rate": rate,
            "timeout-ms": stream.timeout_ms,
            "priority": "u=1" if stream.urgent else "u=3",
            "keyed": self.keyed and not stream.idempotent,
            "body-bytes": self.body_bytes if stream.method == "POST" else 0,
        }

    def _entry_settings(self, number):
        return {
            "name": self.entry_name(number),
            "zone": self.zone_of(number),
            "caller-listen": self.caller_address(number),
            "peer-listen": self.peer_address(number),
            "operator-listen": self.operator_address(number),
            "platform": {"document": self.platform, "instances": self.platform},
        }

    # Life

    def _write(self, name, value):
        path = self.folder / name
        path.write_text(json.dumps(value, indent=1))
        return str(path)

    def _program(self, name):
        return str(self.build / "bin" / name)

    def _start(self, name, program, settings):
        return Process(name, [self._program(program), "--settings", settings],
                       self.folder / (name + ".log"))

    def start(self):
        """Starts everything and waits until all instances are ready."""
        raise_open_files()
        self._refuse_used_network()
        targets = self._targets()
        numbers = range(self.instance_count)
        deployment = {
            "platform": self.platform,
            "list-lag-ms": 500,
            "document": self.document,
            "targets": targets,
            "instances": [{"name": self.entry_name(n), "zone": self.zone_of(n),
                           "address": self.link_address(n)} for n in numbers],
            "link": [{"name": self.entry_name(n), "published": self.link_address(n),
                      "real": self.peer_address(n)} for n in numbers],
        }
        behind = {"control": self.behind_control, "deployment": deployment}
        self.behind = self._start("behind", "cranberry-standin", self._write("behind.json", behind))
        self._wait(lambda: request(self.behind_control, "GET", "/counters")[0] == 200, "stand-ins")
        for number in numbers:
            self.start_entry(number)
        for number in numbers:
            self.wait_ready(number)
        callers = {
            "control": self.callers_control,
            "callers": {
                "seed": self.seed,
                "entries": [{"caller": self.caller_address(n),
                             "operator": self.operator_address(n)} for n in numbers],
                "streams": self._streams(targets),
            },
        }
        self.callers = self._start("callers", "cranberry-standin",
                                   self._write("callers.json", callers))
        self._wait(lambda: request(self.callers_control, "GET", "/under-way")[0] == 200, "callers")
        time.sleep(1.0)

    def list_entry(self, number, state):
        """Publishes the state of an instance in the platform's list."""
        self.tell_behind("set-instance", name=self.entry_name(number),
                         zone=self.zone_of(number), address=self.link_address(number),
                         state=state)

    def unlist_entry(self, number):
        """Removes an instance from the platform's list."""
        self.tell_behind("remove-instance", name=self.entry_name(number))

    def start_entry(self, number):
        """Starts an instance."""
        settings = self._write(self.entry_name(number) + ".json", self._entry_settings(number))
        self.entries[number] = self._start(self.entry_name(number), "cranberryd", settings)

    def wait_ready(self, number):
        """Waits until an instance tells the balancer that it is ready."""
        self._wait(lambda: request(self.operator_address(number), "GET", "/readyz")[0] == 200,
                   self.entry_name(number))

    def stop_entry(self, number):
        """Asks an instance to stop; returns its exit code, None when it hangs."""
        entry = self.entries[number]
        self.list_entry(number, "leaving")
        entry.send(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        used = entry.cpu_seconds()
        while entry.is_running() and time.monotonic() < deadline:
            used = entry.cpu_seconds() or used
            time.sleep(0.05)
        code = entry.wait(0.1)
        self._forget_entry(number, used)
        self.unlist_entry(number)
        self.exit_codes.setdefault(self.entry_name(number), []).append(code)
        return code

    def kill_entry(self, number):
        """Ends an instance without notice."""
        self._forget_entry(number, self.entries[number].cpu_seconds())
        self.unlist_entry(number)

    def replace_entry(self, number):
        """Starts an instance again, lists it, and waits until it is ready."""
        self.start_entry(number)
        self.list_entry(number, "live")
        start = time.monotonic()
        self.wait_ready(number)
        self.note_largest("start of an instance until ready, longest (s)",
                          time.monotonic() - start)

    def _forget_entry(self, number, used):
        self.ended_cpu_seconds += used
        self.entries.pop(number).end()

    def _refuse_used_network(self):
        """Fails when another trial uses the addresses, since it would be steered too."""
        try:
            request(self.behind_control, "GET", "/counters", timeout=1.0)
        except OSError:
            return
        raise SystemExit("another trial uses 127.%d.0.0/16; choose another --network"
                         % self.network)

    def _wait(self, is_done, what):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if is_done():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError("%s did not get ready; logs in %s" % (what, self.folder))

    def end(self):
        """Ends every process of the trial."""
        for process in [*self.entries.values(), self.callers, self.behind]:
            if process:
                process.end()

    # Steering

    def tell_behind(self, do, **members):
        command(self.behind_control, do=do, **members)

    def tell_callers(self, do, **members):
        command(self.callers_control, do=do, **members)

    def publish(self, text):
        """Publishes a document and returns its revision."""
        self.document = text
        self.tell_behind("publish-document", text=text)
        return self.counters()["document-revision"]

    def counters(self):
        """Returns what platform and targets have counted so far."""
        return json.loads(request(self.behind_control, "GET", "/counters")[1])

    def zone_requests(self, zone):
        """Returns the requests that targets of the zone have received."""
        return sum(target["requests"] for target in self.counters()["targets"]
                   if target["zone"] == zone)

    def status(self, number):
        """Returns the status that an instance tells operators."""
        return json.loads(request(self.operator_address(number), "GET", "/status")[1])

    def wait_in_force(self, revision, numbers):
        """Waits until the revision is in force at the instances; returns seconds, or None."""
        start = time.monotonic()
        waiting = set(numbers)
        while waiting and time.monotonic() < start + IN_FORCE_TIMEOUT_S:
            waiting = {n for n in waiting if self.status(n).get("revision", 0) < revision}
            time.sleep(0.02)
        return None if waiting else time.monotonic() - start

    def note_largest(self, name, value):
        """Keeps the largest value of a measure; None is larger than any number."""
        if name in self.measures and self.measures[name] is None:
            return
        known = self.measures.get(name, 0)
        self.measures[name] = None if value is None else max(known, value)

    def note_sum(self, name, value):
        """Adds to a measure."""
        self.measures[name] = self.measures.get(name, 0) + value

    def stop_direct(self):
        """Ends the calls straight to targets, which no instance can hold back."""
        for service in self.deployment.services:
            self.tell_callers("rate", stream="direct:" + service.name, factor=0.0)

    def finish_calls(self, timeout=10.0):
        """Stops the load and waits for the calls under way."""
        self.tell_callers("stop-callers")
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if request(self.callers_control, "GET", "/under-way")[1] == "0":
                return
            time.sleep(0.05)

    def calls_left(self):
        """Returns the calls that instances still hold, when none should be."""
        return sum(self.status(number)["calls"] for number in self.entries)

    def entry_cpu_seconds(self):
        return self.ended_cpu_seconds + sum(e.cpu_seconds() for e in self.entries.values())

    def entry_peak_memory_mib(self):
        return max((e.peak_memory_mib() for e in self.entries.values()), default=0.0)

    def read(self):
        """Returns (calls, runs, counters) as recorded by the stand-ins."""
        calls = json.loads(request(self.callers_control, "GET", "/calls", timeout=60)[1])
        runs = json.loads(request(self.behind_control, "GET", "/runs", timeout=60)[1])
        return [Call(*row) for row in calls], runs, self.counters()


class Call:
    """What a caller saw of one call; times in microseconds."""

    __slots__ = ("call", "stream", "phase", "ending", "reason", "status", "latency", "overhead",
                 "address", "end_phase")

    def __init__(self, call, stream, phase, ending, reason, status, latency, overhead,
                 address, end_phase):
        self.call = call
        self.stream = stream
        self.phase = phase
        self.ending = ending
        self.reason = reason
        self.status = status
        self.latency = latency
        self.overhead = overhead
        self.address = address
        self.end_phase = end_phase
