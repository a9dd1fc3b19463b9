"""One process of the program under test, with the settings of the platform."""

import asyncio
import bisect
import contextlib
import ctypes
import os
import re
import signal
import subprocess
import time

import aiohttp


MEMORY_MEGABYTES = 260
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Lets the kernel end this process with the one that started it, however that ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Instance:
    """Started, signalled and ended by its process id. Remembers when it was disturbed.

    Faults may overlap. While any of them keeps the process down, nothing else starts one; the last
    of them does. A process stays stopped until the last fault that stopped it continues it.
    """

    def __init__(self, name, zone, ip, ports, folder, program, loss=None):
        self.name, self.zone, self.ip, self.ports = name, zone, ip, ports
        self.program = program
        self.loss = loss  # of the datagrams that it sends; see `tests.datagramloss`
        self.settings_path = os.path.join(folder, f"{name}.conf")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None
        self.is_ready = False
        self.is_ended = False
        self.down_count = 0  # faults that keep the process from being started
        self.freezes = set()  # those that stopped the present process by SIGSTOP
        self.disturbances = []  # [begin, end or None]
        self.disturbance_count = 0
        self.unplanned = []  # the same, without stops and starts
        self.starts = []  # times of the starts of its processes
        self.stops = []  # times of SIGTERM
        self.peak_megabytes = 0.0
        self.own_ends = []  # (time, exit code) of a process that ended by itself

    @property
    def control_address(self):
        return f"{self.ip}:{self.ports['control']}"

    def write_settings(self, deployment, store_address, seeds):
        lines = [
            f"self.node={self.name}", "self.role=entry", "self.machine_class=edge",
            "self.serves=edge,control", f"self.ip={self.ip}", f"self.zone={self.zone}",
            "self.region=loopback", "self.in_tolerance=false", "self.bootstrap=false",
            "self.limits.cpu_share=0.2", "self.limits.cores=1",
            f"self.limits.memory_mb={MEMORY_MEGABYTES}",
            "self.limits.max_fds=4100", "self.limits.link_mbps=1000.0", "self.limits.disk_mb=0",
            f"network.listen.front={self.ip}:{self.ports['front']}",
            f"network.listen.readiness={self.ip}:{self.ports['readiness']}",
            f"network.listen.control={self.control_address}",
            f"network.internal_port_range={self.ports['internal']},{self.ports['internal'] + 15}",
            "network.seeds=" + ",".join(seeds),
            "provider.discovery=platform", "provider.entry=vip", "provider.heartbeat=1500ms",
            f"provider.provider.address={store_address[0]}:{store_address[1]}",
            "provider.provider.form=read", "provider.provider.reads_per_s=2000",
            "provider.provider.history=20s", "provider.provider.value_bytes=1048576",
        ]
        lines += [f"network.zones.{zone}=loopback" for zone in deployment.zones]
        lines += [f"terms.bounds.{name}={value}" for name, value in deployment.bounds.items()]
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def start(self):
        """Starts a process, unless one runs, a fault keeps it down or the run has ended."""
        if self.is_ended or self.down_count or self.is_running:
            return
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["CRANBERRYSPOOL_BOOT"] = self.settings_path
        if self.loss:
            environment.update(self.loss.environment(self.name))
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([self.program], env=environment, stdout=log,
                                            stdin=subprocess.DEVNULL, stderr=subprocess.STDOUT,
                                            preexec_fn=end_with_parent)
        self.freezes.clear()
        self.starts.append(time.monotonic())
        with self.disturbed():
            pass

    def incarnation(self, when):
        """Returns the number of the process that ran at a time."""
        return bisect.bisect_right(self.starts, when)

    def move(self, ip):
        """Lets the next process have another address, and a settings file and log of its own."""
        own = rf"^((self\.ip|network\.listen\.\w+)=){re.escape(self.ip)}\b"
        with open(self.settings_path, encoding="utf-8") as file:
            text = re.sub(own, rf"\g<1>{ip}", file.read(), flags=re.MULTILINE)
        self.ip, self.process = ip, None
        self.settings_path += ".moved"
        self.log_path += ".moved"
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(text)

    def end(self):
        """Ends the process; no fault starts one from now on."""
        self.is_ended = True
        self.kill()

    def begin_disturbance(self):
        if not self.disturbance_count:
            self.disturbances.append([time.monotonic(), None])
        self.disturbance_count += 1

    def end_disturbance(self):
        self.disturbance_count -= 1
        if not self.disturbance_count:
            self.disturbances[-1][1] = time.monotonic()

    @contextlib.contextmanager
    def disturbed(self):
        self.begin_disturbance()
        try:
            yield
        finally:
            self.end_disturbance()

    @contextlib.contextmanager
    def kept_down(self):
        """Starts a process at the end. While one still runs, that alone is no disturbance."""
        self.down_count += 1
        try:
            yield
        finally:
            self.down_count -= 1
            self.start()

    @contextlib.contextmanager
    def frozen(self):
        owner = object()
        self.freezes.add(owner)
        self.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.freezes.discard(owner)
            if not self.freezes:
                self.send_signal(signal.SIGCONT)

    def was_disturbed(self, begin, end):
        return any(first <= end and (last is None or last >= begin)
                   for first, last in self.disturbances)

    @contextlib.contextmanager
    def hit(self):
        """An unplanned disturbance."""
        span = [time.monotonic(), None]
        self.unplanned.append(span)
        with self.disturbed():
            try:
                yield
            finally:
                span[1] = time.monotonic()

    def was_hit(self, begin, end):
        return any(first <= end and (last is None or last >= begin)
                   for first, last in self.unplanned)

    def send_signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        if self.is_running:
            self.process.kill()
            self.process.wait()

    async def restart(self, pause):
        with self.hit(), self.kept_down():
            self.kill()
            await asyncio.sleep(pause)

    async def stop_and_start(self, grace):
        """Does nothing when the process is stopping already or is not there."""
        if self.down_count or not self.is_running:
            return
        with self.kept_down():
            # "no kill, start by the bench, SIGTERM": in touch again `contact` after the signal.
            with self.disturbed():
                self.stops.append(time.monotonic())
                self.send_signal(signal.SIGTERM)
            deadline = time.monotonic() + grace
            while self.is_running and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            with self.disturbed():
                self.kill()

    async def replace_program(self, program, grace):
        """Stops the process; from then on another program runs."""
        self.program = program
        await self.stop_and_start(grace)

    async def freeze(self, seconds):
        with self.hit(), self.frozen():
            await asyncio.sleep(seconds)

    def resident_megabytes(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def processor_seconds(self):
        """Returns the processor time of the process that runs at present."""
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def watch_memory(self):
        """Notes the peak of the process's memory, and starts it again when it has ended by
        itself, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            if self.is_running:
                try:
                    self.peak_megabytes = max(self.peak_megabytes, self.resident_megabytes())
                except OSError:
                    continue
            elif not self.down_count and not self.is_ended:
                self.own_ends.append((time.monotonic(), self.process.returncode))
                self.start()

    async def run_in_slices(self, share, period=0.1):
        """Gives the process a share of each period, as a quota of the processor does."""
        while True:
            with self.frozen():
                await asyncio.sleep(period * (1 - share))
            await asyncio.sleep(period * share)

    async def watch_readiness(self):
        """Asks for readiness once a second, as the platform's balancer does."""
        misses = 2
        timeout = aiohttp.ClientTimeout(total=1)
        url = f"http://{self.ip}:{self.ports['readiness']}/readyz"
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(url) as answer:
                        misses = 0 if answer.status == 200 else misses + 1
                except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
                    misses += 1
                self.is_ready = misses < 2
                await asyncio.sleep(1 if self.is_ready else 0.2)
