"""Store, targets and instances of one run, on loopback addresses of their own."""

import asyncio
import os
import random
import socket
import tempfile
import time

from realfleet.tests.datagramloss import DatagramLoss
from realfleet.instance import Instance
from realfleet.limits import NotJudged, RunFailed
from realfleet.record import Record
from realfleet.routes import Routes
from realfleet.store import PROBE_SECONDS, Store
from realfleet.storeprobe import StoreProbe
from realfleet.target import Target

STORE_HOST, TARGET_HOST, UNREACHABLE_HOST = 250, 251, 252
# A target serves for this long after it has left, in addition to the bound.
SERVES_ON_SECONDS = 4.0
READY_LIMIT_SECONDS = 30
STOP_LIMIT_SECONDS = 10


class Fleet:
    def __init__(self, deployment, seed, program, parts, loss=None, counting="ones"):
        self.deployment = deployment
        self.rng = random.Random(f"{seed}/fleet")
        self.folder = tempfile.mkdtemp(prefix="cranberry-real-")
        own = random.Random(os.getpid())
        self.network = f"127.{own.randint(16, 250)}.{own.randint(1, 250)}"
        first = own.randint(20000, 28000)
        self.ports = {"front": first, "readiness": first + 1, "control": first + 2,
                      "internal": first + 16}
        self.next_port = first + 200
        self.record = Record(deployment)
        self.store = Store(random.Random(f"{seed}/store"), counting)
        self.probe_port = first + 39
        self.store_probe = StoreProbe(self.ip(STORE_HOST), self.probe_port, PROBE_SECONDS)
        self.routes = Routes(deployment, self.rng)
        self.targets, self.instances, self.tasks = [], [], []
        self.others = []  # see `secondfleet`
        # Runs before the stand-ins and the instances of this fleet start.
        self.prelude = None
        self.second_program = self.next_program = program
        datagram_loss = DatagramLoss(loss, seed, self.folder) if loss else None
        for index in range(deployment.instances):
            zone = deployment.zones[index % len(deployment.zones)]
            name = f"edge-{zone}-{index // len(deployment.zones) + 1}"
            self.instances.append(Instance(name, zone, self.ip(index + 1), self.ports, self.folder,
                                           program, datagram_loss))
            if loss and index in loss.isolated:
                datagram_loss.isolated_names.add(name)
            if loss and index in loss.deaf:
                datagram_loss.deaf_names.add(name)
        self._write_settings(parts)

    def ip(self, host):
        return f"{self.network}.{host}"

    def store_port(self, instance):
        """Each instance reaches the store at a port of its own."""
        return self.ports["front"] + 40 + self.instances.index(instance)

    def _write_settings(self, parts):
        """Instances of different parts never hear each other: of the three seeds, each part
        reaches only its own. With no parts each instance is alone."""
        parts = parts or len(self.instances)
        unreachable = f"{self.ip(UNREACHABLE_HOST)}:{self.ports['control']}"
        seeds = self.instances[:3]
        for index, instance in enumerate(self.instances):
            part = index % parts
            if parts <= len(seeds):
                reached = [each.control_address if number % parts == part else unreachable
                           for number, each in enumerate(seeds)]
            else:
                # Parts without one of the common seeds have seeds of their own, too.
                reached = [self.instances[part].control_address, unreachable, unreachable]
            store_address = self.ip(STORE_HOST), self.store_port(instance)
            instance.write_settings(self.deployment, store_address, reached)

    def new_address(self):
        while True:
            self.next_port += 1
            with socket.socket() as probe:
                try:
                    probe.bind((self.ip(TARGET_HOST), self.next_port))
                    return self.ip(TARGET_HOST), self.next_port
                except OSError:
                    continue

    async def add_target(self, name, service, zone, address=None):
        """Starts a target, at a new address unless one is given, such as "127.0.0.1:20000"."""
        target = Target(name, service, zone, self.deployment, self.record, self.rng)
        self.record.zones[name] = zone
        host, _, port = address.partition(":") if address else ("", "", "")
        await target.start((host, int(port)) if address else self.new_address())
        target.register(self.store)
        self.targets.append(target)

    async def remove_target(self, target, is_stated):
        """Does nothing when another fault has removed the target already."""
        if target.name in self.record.leaving:
            return
        serves_on = self.deployment.seconds("drain") + SERVES_ON_SECONDS
        if is_stated:
            target.drain(self.store)
            await asyncio.sleep(serves_on)
            target.unregister(self.store)
        else:
            target.unregister(self.store)
            await asyncio.sleep(serves_on)
        self.targets.remove(target)
        await target.stop()

    async def evacuate(self, zone, seconds):
        """Evacuates a zone for a while."""
        key = f"op/evacuate/{zone}"
        evacuation = [zone, self.store.put(key, {}), None]
        self.record.evacuations.append(evacuation)
        await asyncio.sleep(seconds)
        evacuation[2] = self.store.put(key, None)

    async def start(self):
        if self.prelude:
            await self.prelude(self)
        await self.store.start(self.ip(STORE_HOST), [
            self.probe_port, *(self.store_port(each) for each in self.instances)])
        names = (f"i-{number}" for number in range(1, 1000))
        for service, count in self.deployment.targets.items():
            for index in range(count):
                zone = self.deployment.zones[index % len(self.deployment.zones)]
                await self.add_target(next(names), service, zone)
        self.routes.publish(self.store)
        for instance in self.instances:
            instance.start()
            self.run(instance.watch_readiness())
            self.run(instance.watch_memory())
        self.run(self._measure_lag())
        self.run(self.store.beat())
        deadline = time.monotonic() + READY_LIMIT_SECONDS
        while not all(each.is_ready for each in self.instances if not each.is_ended):
            if time.monotonic() > deadline:
                raise NotJudged("some instances did not become ready: " + ", ".join(
                    each.name for each in self.instances if not each.is_ready))
            await asyncio.sleep(0.1)
        self.store_probe.start()
        await asyncio.sleep(self.deployment.seconds("contact"))

    def run(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def _measure_lag(self):
        while True:
            begin = time.monotonic()
            await asyncio.sleep(0.02)
            lag = time.monotonic() - begin - 0.02
            self.record.worst_lag = max(self.record.worst_lag, lag)

    def check_tasks(self):
        """A fault that has failed was not played."""
        for task in self.tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise RunFailed(f"a part of the run failed: {task.exception()!r}")

    def end_processes(self):
        for instance in (*self.instances, *self.others):
            instance.end()

    async def stop(self):
        self.end_processes()
        self.store_probe.stop()
        for task in self.tasks:
            task.cancel()
        # What is left after that ends with the event loop.
        await asyncio.wait({asyncio.gather(
            *(each.stop() for each in (*self.targets, self.store, *self.others)),
            return_exceptions=True)}, timeout=STOP_LIMIT_SECONDS)
