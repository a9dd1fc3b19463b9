"""Starts, controls and stops the processes of a trial on loopback."""

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
REVISION_TIMEOUT_S = 20.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def raise_open_file_limit():
    """Raises the open file limit to its maximum and exits when that is too low."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    if hard_limit < MIN_OPEN_FILES:
        raise SystemExit("the open file limit is %d, but %d are required"
                         % (hard_limit, MIN_OPEN_FILES))


def send_request(address, method, path, body=None, timeout=10.0):
    """Sends one HTTP request and returns (status, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def send_command(control_address, **members):
    """Sends a command to the control port of a stand-in process."""
    status, _ = send_request(control_address, "POST", "/", json.dumps(members))
    if status != 200:
        raise RuntimeError("stand-in rejected command: %s" % members)


class Process:
    """A child process of the trial."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self._log = open(log_path, "ab")
        self._popen = subprocess.Popen(arguments, stdout=self._log, stderr=self._log,
                                       stdin=subprocess.DEVNULL)

    @property
    def pid(self):
        return self._popen.pid

    def is_running(self):
        return self._popen.poll() is None

    def send_signal(self, signal_number):
        if self.is_running():
            self._popen.send_signal(signal_number)

    def wait(self, timeout):
        """Waits for the process to exit and returns its exit code, or None on timeout."""
        try:
            return self._popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        """Kills the process, also when it is stopped or does not respond."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self._popen.wait()
        self._log.close()

    def cpu_seconds(self):
        """Returns the CPU time used so far, or 0 when the process has exited."""
        try:
            fields = pathlib.Path("/proc/%d/stat" % self.pid).read_text().rsplit(")", 1)[1].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def peak_memory_mib(self):
        """Returns the peak resident set size so far, or 0 when the process has exited."""
        try:
            lines = pathlib.Path("/proc/%d/status" % self.pid).read_text().splitlines()
        except OSError:
            return 0.0
        for line in lines:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024.0
        return 0.0


class Trial:
    """The running instances, targets, platform and callers of one deployment."""

    def __init__(self, deployment, instances, load, seed, network, build_folder, direct_share=0.02,
                 body_bytes=0, sends_keys=True):
        self.deployment = deployment
        self.instance_count = instances
        self.load = load
        self.seed = seed
        self.network = network
        self.build_folder = pathlib.Path(build_folder)
        self.direct_share = direct_share
        self.body_bytes = body_bytes
        self.sends_keys = sends_keys
        self.caller_keys = []
        self.work_folder = pathlib.Path(tempfile.mkdtemp(prefix="cranberry-trial-"))
        self.document = (REPOSITORY / deployment.document_path).read_text()
        self.platform_address = self._loopback_address(0, 1, 7000)
        self.upstream_control = self._loopback_address(0, 2, 7001)
        self.callers_control = self._loopback_address(0, 3, 7002)
        self.upstream_process = None
        self.caller_process = None
        self.entries = {}
        self.stopped_entries_cpu_seconds = 0.0
        self.exit_codes = {}
        self.measurements = {}

    def _loopback_address(self, third, fourth, port):
        return "127.%d.%d.%d:%d" % (self.network, third, fourth, port)

    # Names, addresses and settings

    def zone_of(self, number):
        return self.deployment.zones[number % len(self.deployment.zones)]

    def entry_name(self, number):
        return "entry-%02d" % (number + 1)

    def caller_address(self, number):
        return self._loopback_address(1, number + 1, 8080)

    def peer_address(self, number):
        return self._loopback_address(1, number + 1, 7400)

    def published_peer_address(self, number):
        return self._loopback_address(2, number + 1, 7400)

    def operator_address(self, number):
        return self._loopback_address(1, number + 1, 9090)

    def _target_settings(self):
        targets = []
        for position, service in enumerate(self.deployment.services):
            for number in range(service.targets):
                zone = self.zone_of(number)
                targets.append({
                    "name": "%s-%02d" % (service.name, number + 1),
                    "group": "%s-%s" % (service.name, zone),
                    "zone": zone,
                    "address": self._loopback_address(10 + position, number + 1, 9000),
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

    def _stream_settings(self, targets):
        streams = []
        for service in self.deployment.services:
            rate = self.load * service.targets * self.deployment.slots * 1000.0 / service.mean_ms
            for stream in service.streams:
                streams.append(self._describe_stream(stream, rate * stream.share))
            first_get_stream = next(s for s in service.streams if s.method == "GET")
            direct_stream = self._describe_stream(first_get_stream, rate * self.direct_share)
            direct_stream["name"] = "direct:" + service.name
            direct_stream["direct-to"] = [t["address"] for t in targets
                                          if t["name"].startswith(service.name + "-")]
            streams.append(direct_stream)
        return streams

    def _describe_stream(self, stream, rate):
        return {
            "name": stream.name,
            "method": stream.method,
            "path": stream.path,
            "rate": rate,
            "timeout-ms": stream.timeout_ms,
            "priority": "u=1" if stream.urgent else "u=3",
            "keyed": self.sends_keys and not stream.idempotent,
            "body-bytes": self.body_bytes if stream.method == "POST" else 0,
        }

    def _entry_settings(self, number):
        return {
            "name": self.entry_name(number),
            "zone": self.zone_of(number),
            "caller-listen": self.caller_address(number),
            "peer-listen": self.peer_address(number),
            "operator-listen": self.operator_address(number),
            "platform": {"document": self.platform_address, "instances": self.platform_address},
        }

    # Process lifecycle

    def _write_json(self, name, value):
        path = self.work_folder / name
        path.write_text(json.dumps(value, indent=1))
        return str(path)

    def _program_path(self, name):
        return str(self.build_folder / "bin" / name)

    def _start_process(self, name, program, settings):
        return Process(name, [self._program_path(program), "--settings", settings],
                       self.work_folder / (name + ".log"))

    def start(self):
        """Starts all processes and waits until all instances are ready."""
        raise_open_file_limit()
        self._check_network_unused()
        targets = self._target_settings()
        numbers = range(self.instance_count)
        deployment = {
            "platform": self.platform_address,
            "list-lag-ms": 500,
            "document": self.document,
            "targets": targets,
            "instances": [{"name": self.entry_name(n), "zone": self.zone_of(n),
                           "address": self.published_peer_address(n)} for n in numbers],
            "link": [{"name": self.entry_name(n), "published": self.published_peer_address(n),
                      "real": self.peer_address(n)} for n in numbers],
        }
        upstream_settings = {"control": self.upstream_control, "deployment": deployment}
        self.upstream_process = self._start_process(
            "behind", "cranberry-standin", self._write_json("behind.json", upstream_settings))
        self._wait_until(
            lambda: send_request(self.upstream_control, "GET", "/counters")[0] == 200, "stand-ins")
        for number in numbers:
            self.start_entry(number)
        for number in numbers:
            self.wait_ready(number)
        caller_settings = {
            "control": self.callers_control,
            "callers": {
                "seed": self.seed,
                "keys": self.caller_keys,
                "entries": [{"caller": self.caller_address(n),
                             "operator": self.operator_address(n)} for n in numbers],
                "streams": self._stream_settings(targets),
            },
        }
        self.caller_process = self._start_process("callers", "cranberry-standin",
                                                  self._write_json("callers.json", caller_settings))
        self._wait_until(
            lambda: send_request(self.callers_control, "GET", "/under-way")[0] == 200, "callers")
        time.sleep(1.0)

    def publish_entry_state(self, number, state):
        """Publishes an instance with the given state in the instance list of the platform."""
        self.command_upstream("set-instance", name=self.entry_name(number),
                              zone=self.zone_of(number),
                              address=self.published_peer_address(number), state=state)

    def remove_published_entry(self, number):
        """Removes an instance from the instance list of the platform."""
        self.command_upstream("remove-instance", name=self.entry_name(number))

    def start_entry(self, number):
        """Starts an instance."""
        settings = self._write_json(self.entry_name(number) + ".json", self._entry_settings(number))
        self.entries[number] = self._start_process(self.entry_name(number), "cranberryd", settings)

    def wait_ready(self, number):
        """Waits until the readiness check of an instance succeeds."""
        self._wait_until(
            lambda: send_request(self.operator_address(number), "GET", "/readyz")[0] == 200,
            self.entry_name(number))

    def stop_entry(self, number):
        """Stops an instance gracefully; returns its exit code, or None on timeout."""
        entry = self.entries[number]
        self.publish_entry_state(number, "leaving")
        entry.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        cpu_seconds = entry.cpu_seconds()
        while entry.is_running() and time.monotonic() < deadline:
            cpu_seconds = entry.cpu_seconds() or cpu_seconds
            time.sleep(0.05)
        code = entry.wait(0.1)
        self._remove_entry(number, cpu_seconds)
        self.remove_published_entry(number)
        self.exit_codes.setdefault(self.entry_name(number), []).append(code)
        return code

    def kill_entry(self, number):
        """Kills an instance without a graceful shutdown."""
        self._remove_entry(number, self.entries[number].cpu_seconds())
        self.remove_published_entry(number)

    def replace_entry(self, number):
        """Starts a replacement instance, publishes it, and waits until it is ready."""
        self.start_entry(number)
        self.publish_entry_state(number, "live")
        start = time.monotonic()
        self.wait_ready(number)
        self.record_maximum("start of an instance until ready, longest (s)",
                            time.monotonic() - start)

    def _remove_entry(self, number, cpu_seconds):
        self.stopped_entries_cpu_seconds += cpu_seconds
        self.entries.pop(number).kill()

    def _check_network_unused(self):
        """Exits when another trial uses the addresses, as commands would reach that trial too."""
        try:
            send_request(self.upstream_control, "GET", "/counters", timeout=1.0)
        except OSError:
            return
        raise SystemExit("another trial is using 127.%d.0.0/16; choose another --network"
                         % self.network)

    def _wait_until(self, is_done, subject):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if is_done():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError("%s did not become ready within 30 s; see the logs in %s"
                           % (subject, self.work_folder))

    def shut_down(self):
        """Kills all processes of the trial."""
        for process in [*self.entries.values(), self.caller_process, self.upstream_process]:
            if process:
                process.kill()

    # Control; `do` names the command in the JSON that a stand-in receives

    def command_upstream(self, do, **members):
        send_command(self.upstream_control, do=do, **members)

    def command_callers(self, do, **members):
        send_command(self.callers_control, do=do, **members)

    def publish(self, text):
        """Publishes a document and returns its revision."""
        self.document = text
        self.command_upstream("publish-document", text=text)
        return self.counters()["document-revision"]

    def counters(self):
        """Returns the counters of the simulated platform and targets."""
        return json.loads(send_request(self.upstream_control, "GET", "/counters")[1])

    def zone_requests(self, zone):
        """Returns the number of requests received by the targets of the zone."""
        return sum(target["requests"] for target in self.counters()["targets"]
                   if target["zone"] == zone)

    def status(self, number):
        """Returns the status from the operator interface of an instance."""
        return json.loads(send_request(self.operator_address(number), "GET", "/status")[1])

    def wait_for_revision(self, revision, numbers):
        """Waits until the instances have applied the revision; returns seconds, None on timeout."""
        start = time.monotonic()
        pending = set(numbers)
        while pending and time.monotonic() < start + REVISION_TIMEOUT_S:
            pending = {n for n in pending if self.status(n).get("revision", 0) < revision}
            time.sleep(0.02)
        return None if pending else time.monotonic() - start

    def record_maximum(self, name, value):
        """Records the maximum of a measurement; None (timed out) exceeds any number."""
        if name in self.measurements and self.measurements[name] is None:
            return
        previous = self.measurements.get(name, 0)
        self.measurements[name] = None if value is None else max(previous, value)

    def add_to_measurement(self, name, value):
        """Adds a value to a cumulative measurement."""
        self.measurements[name] = self.measurements.get(name, 0) + value

    def stop_direct_calls(self):
        """Stops the calls sent directly to targets, since no instance can limit them."""
        for service in self.deployment.services:
            self.command_callers("rate", stream="direct:" + service.name, factor=0.0)

    def drain_calls(self, timeout=10.0):
        """Stops issuing calls and waits for the calls in progress."""
        self.command_callers("stop-callers")
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if send_request(self.callers_control, "GET", "/under-way")[1] == "0":
                return
            time.sleep(0.05)

    def count_open_calls(self):
        """Returns the number of calls still open at the instances; 0 is expected after draining."""
        return sum(self.status(number)["calls"] for number in self.entries)

    def entry_cpu_seconds(self):
        return self.stopped_entries_cpu_seconds + sum(
            e.cpu_seconds() for e in self.entries.values())

    def entry_peak_memory_mib(self):
        return max((e.peak_memory_mib() for e in self.entries.values()), default=0.0)

    def read_results(self):
        """Returns (calls, runs, counters) as recorded by the stand-ins.

        `runs` maps the id of a call to the number of times that targets ran it.
        """
        calls = json.loads(send_request(self.callers_control, "GET", "/calls", timeout=60)[1])
        runs = json.loads(send_request(self.upstream_control, "GET", "/runs", timeout=60)[1])
        return [Call(*row) for row in calls], runs, self.counters()


class Call:
    """The outcome of one call as observed by its caller; times in microseconds."""

    __slots__ = ("call_id", "stream", "phase", "ending", "reason", "status", "latency", "overhead",
                 "address", "end_phase", "key", "sent_at")

    def __init__(self, call_id, stream, phase, ending, reason, status, latency, overhead,
                 address, end_phase, key="", sent_at=0):
        self.call_id = call_id
        self.stream = stream
        self.phase = phase
        self.ending = ending
        self.reason = reason
        self.status = status
        self.latency = latency
        self.overhead = overhead
        self.address = address
        self.end_phase = end_phase
        self.key = key
        self.sent_at = sent_at
