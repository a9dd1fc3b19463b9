"""One process of the program under test, with the settings of the platform."""

import asyncio
import os
import signal
import subprocess
import time

import aiohttp


MEMORY_MEGABYTES = 260


class Instance:
    """Started, signalled and ended by its process id. Remembers when it was disturbed."""

    def __init__(self, name, zone, ip, ports, folder, program):
        self.name, self.zone, self.ip, self.ports = name, zone, ip, ports
        self.program = program
        self.settings_path = os.path.join(folder, f"{name}.conf")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None
        self.is_ready = False
        self.disturbances = []  # [begin, end or None]
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

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["CRANBERRYSPOOL_BOOT"] = self.settings_path
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([self.program], env=environment, stdout=log,
                                            stdin=subprocess.DEVNULL, stderr=subprocess.STDOUT)
        self.end_disturbance()
        self.disturbances.append([time.monotonic(), time.monotonic()])

    def begin_disturbance(self):
        if not self.disturbances or self.disturbances[-1][1] is not None:
            self.disturbances.append([time.monotonic(), None])

    def end_disturbance(self):
        if self.disturbances and self.disturbances[-1][1] is None:
            self.disturbances[-1][1] = time.monotonic()

    def was_disturbed(self, begin, end):
        return any(first <= end and (last is None or last >= begin)
                   for first, last in self.disturbances)

    def kill(self):
        if self.process.poll() is None:
            self.begin_disturbance()
            self.process.kill()
            self.process.wait()

    async def restart(self, pause):
        self.kill()
        await asyncio.sleep(pause)
        self.start()

    async def stop_and_start(self, grace):
        self.begin_disturbance()
        self.stops.append(time.monotonic())
        self.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + grace
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        self.kill()
        self.start()

    async def freeze(self, seconds):
        self.begin_disturbance()
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)
        self.end_disturbance()

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
            if self.process.poll() is None:
                try:
                    self.peak_megabytes = max(self.peak_megabytes, self.resident_megabytes())
                except OSError:
                    continue
            elif self.disturbances[-1][1] is not None:
                self.own_ends.append((time.monotonic(), self.process.returncode))
                self.start()

    async def run_in_slices(self, share, period=0.1):
        """Gives the process a share of each period, as a quota of the processor does."""
        while True:
            process = self.process
            if process.poll() is None:
                process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(period * (1 - share))
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
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
