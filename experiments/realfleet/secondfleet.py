"""Processes that are none of the fleet's, or no longer: a second fleet of the same deployment, beside
the first one or before it, and an instance that has moved while its old process lives on."""

import asyncio
import copy
import datetime
import json
import os
import random
import time

from realfleet.instance import Instance
from realfleet.routes import Routes
from realfleet.store import Store
from realfleet.target import Target

MEMBERS = 6
TARGETS_A_SERVICE = 2
FIRST_MEMBER_HOST, MOVED_HOST, STORE_HOST, FIRST_STORE_HOST = 101, 121, 249, 250
VERSION = 9002
# The counter of its store; that of the first fleet's counts from 1000.
REVISION = 500000
# The position of the instance of the first fleet that is lost, and of the one that takes its address.
LOST_INDEX = 4
# How long a fleet runs before the one under test.
EARLIER_SECONDS = 6.0


class SecondFleet:
    """Instances, store and targets of its own, whose processes know only each other. The
    configuration never changes."""

    def __init__(self, fleet, revision, store_host=STORE_HOST, folder="second", version=VERSION):
        self.fleet, self.store_host = fleet, store_host
        self.is_judged = True
        self.store = Store(random.Random("second"), revision=revision)
        self.routes = Routes(fleet.deployment, random.Random("second/routes"))
        self.routes.version = version - 2  # `publish` counts by two
        folder = os.path.join(fleet.folder, folder)
        os.mkdir(folder)
        self.instances = [
            Instance(each.name, each.zone, fleet.ip(FIRST_MEMBER_HOST + index), fleet.ports, folder,
                     fleet.second_program) for index, each in enumerate(fleet.instances[:MEMBERS])]
        self.targets = []
        self.foreign_seeds = []  # control addresses of the first fleet among its own seeds

    def take_addresses(self, indexes):
        """Members take the addresses that the first fleet's instances at the same positions have."""
        for index in indexes:
            self.instances[index].ip = self.fleet.instances[index].ip

    async def start(self):
        fleet = self.fleet
        ports = [fleet.store_port(each) for each in fleet.instances[:MEMBERS]]
        await self.store.start(fleet.ip(self.store_host), ports)
        for service in fleet.deployment.targets:
            for _ in range(TARGETS_A_SERVICE):
                await self._add_target(service)
        self.routes.publish(self.store)
        own_seeds = [each.control_address for each in self.instances]
        seeds = (self.foreign_seeds + own_seeds)[:3]
        for instance, port in zip(self.instances, ports):
            store_address = fleet.ip(self.store_host), port
            instance.write_settings(fleet.deployment, store_address, seeds)
            instance.start()

    async def _add_target(self, service):
        """Requests of the first fleet that run here are judged as well."""
        number = len(self.targets)
        zones = self.fleet.deployment.zones
        target = Target(f"s-{number}", service, zones[number % len(zones)], self.fleet.deployment,
                        self.fleet.record, self.fleet.rng)
        self.fleet.record.zones[target.name] = target.zone
        self.fleet.record.foreign_targets.add(target.name)
        await target.start(self.fleet.new_address())
        target.register(self.store)
        self.targets.append(target)

    def end(self):
        for instance in self.instances:
            instance.end()

    async def stop(self):
        self.end()
        await self.stop_stand_ins()

    async def stop_stand_ins(self):
        await asyncio.gather(*(each.stop() for each in (*self.targets, self.store)),
                             return_exceptions=True)


def lose_instance(fleet):
    """Kills an instance for good. What is answered at its address is not the fleet's from then on."""
    lost = fleet.instances[LOST_INDEX]
    fleet.record.leave_out_from_now(lost.name)
    lost.begin_disturbance()
    lost.end()


async def join_second_fleet(fleet, first_revision, takes_address=True, delay=3.0, version=VERSION):
    """Loses an instance, whose address a process of a second fleet takes, unless that has addresses
    of its own."""
    await asyncio.sleep(delay)
    lose_instance(fleet)
    second = SecondFleet(fleet, first_revision, version=version)
    if takes_address:
        second.take_addresses([LOST_INDEX])
    fleet.others.append(second)
    await second.start()


async def join_by_seed(fleet, delay=3.0):
    """A second fleet starts, one of whose seeds is an instance of the first one."""
    await asyncio.sleep(delay)
    second = SecondFleet(fleet, REVISION)
    second.foreign_seeds = [fleet.instances[LOST_INDEX].control_address]
    fleet.others.append(second)
    await second.start()


async def run_earlier(fleet, survivors=(), revision=REVISION, version=VERSION):
    """Runs a fleet at the addresses of the first instances and with the store's address, before
    those start. Its processes at the positions `survivors` live on, and have those addresses."""
    earlier = SecondFleet(fleet, revision, FIRST_STORE_HOST, "earlier", version)
    earlier.take_addresses(range(MEMBERS))
    # Whoever lives on reads the store of the fleet that comes after it.
    earlier.is_judged = fleet.record.has_second_store = False
    fleet.others.append(earlier)
    await earlier.start()
    await asyncio.sleep(EARLIER_SECONDS)
    for index, instance in enumerate(earlier.instances):
        if index in survivors:
            fleet.record.leave_out_from_now(instance.name)
            fleet.instances[index].end()
        else:
            instance.end()
    await earlier.stop_stand_ins()


class OldProcess:
    """The process of an instance that runs at another address now."""

    def __init__(self, instance, routes):
        self.instances, self.routes, self.is_judged = [copy.copy(instance)], routes, True

    def end(self):
        self.instances[0].end()

    async def stop(self):
        self.end()


async def move_instance(fleet, delay=3.0):
    """An instance starts at another address. Its old process lives on; callers no longer use it."""
    await asyncio.sleep(delay)
    instance = fleet.instances[LOST_INDEX]
    fleet.others.append(OldProcess(instance, fleet.routes))
    instance.move(fleet.ip(MOVED_HOST))
    instance.start()


def versions_in_force(instance):
    """Returns (time, version, source) of each configuration that its log says was put in force. The
    times are those of the monotonic clock, in seconds."""
    offset = time.monotonic() - time.time()
    found = []
    try:
        with open(instance.log_path, encoding="utf-8", errors="replace") as log:
            for line in log:
                # The last line of a process that was killed may be incomplete.
                if '"document-in-force"' in line and line.endswith("\n"):
                    entry = json.loads(line)
                    when = datetime.datetime.fromisoformat(entry["time"]).timestamp() + offset
                    found.append((when, int(entry["subject"]), entry["source"]))
    except FileNotFoundError:
        pass
    return found
