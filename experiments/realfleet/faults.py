"""Faults that a seed plays, in series and overlapping."""

import asyncio
import itertools
import signal
import time

from realfleet import endless
from realfleet.routes import MOVING_ROUTES
from realfleet.store import ANSWER_FAULTS

MOST_ADDED_ROUTES = 4000
STALE_SECONDS = 5.5
TURN_AWAY_MODES = ("busy", "many", "reset", "silent")


class Faults:
    """The faults that plans are made of. Each is a coroutine that runs beside the traffic."""

    def __init__(self, fleet, rng):
        self.fleet, self.rng = fleet, rng
        self.numbers = itertools.count(100)

    async def reset_targets(self, share, count, every, length):
        """Targets of the busiest service reset a share of their requests."""
        service = self.fleet.deployment.kinds[0].service
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, every))
            chosen = [each for each in self.fleet.targets if each.service == service]
            chosen = self.rng.sample(chosen, max(1, int(len(chosen) * count)))
            for target in chosen:
                target.reset_share = share
            await asyncio.sleep(length)
            for target in chosen:
                target.reset_share = 0.0

    def _staying_targets(self):
        return [each for each in self.fleet.targets if not each.is_draining
                and not each.has_lapsed and each.name not in self.fleet.record.leaving]

    async def replace_targets(self, gap, stated=0.6, beside_outages=True):
        """Targets leave one after the other, new ones take their place. A share of them states
        first that it leaves."""
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            if self.fleet.store.outage and not beside_outages:
                continue
            ready = self._staying_targets()
            target = self.rng.choice(ready)
            await self.fleet.add_target(f"i-{next(self.numbers)}", target.service, target.zone)
            self.fleet.run(self.fleet.remove_target(
                target, is_stated=self.rng.random() < stated))

    async def exchange_store(self, distance, delay=5.0):
        """Another store with the same content takes the place of the first one."""
        await asyncio.sleep(delay)
        self.fleet.store.exchange(distance)

    async def change_configuration(self, gap, added=0):
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            if added and self.rng.random() < 0.5:
                self.fleet.routes.add_routes(added, self.fleet.store)
            else:
                self.fleet.routes.move(self.fleet.store)

    async def change_routes(self, gap, added=100, invalid=0.0):
        """Moves and splits the first route, and adds, removes and returns others. A share of the
        configurations is invalid; a valid one follows soon."""
        routes, store = self.fleet.routes, self.fleet.store
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            choice = self.rng.random()
            if choice < invalid:
                routes.publish_invalid(store)
            elif choice < 0.5 and routes.moved < MOVING_ROUTES:
                routes.move_next(store)
            elif choice < 0.65 or not routes.added and choice > 0.85:
                routes.move(store)
            elif choice < 0.85 and routes.added + added <= MOST_ADDED_ROUTES:
                routes.add_routes(added, store)
            else:
                routes.toggle_routes(max(1, added // 4), store)

    async def turn_away(self, share, gap, length, is_counted, first=()):
        """The store turns a share of the instances away, each in one way, those at the positions
        `first` among them, and serves the others. If it is not counted, the rules hold as though
        nothing had happened."""
        fleet = self.fleet
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            count = max(len(first), round(share * len(fleet.instances)))
            chosen = [fleet.instances[index] for index in first]
            others = [each for each in fleet.instances if each not in chosen]
            chosen += self.rng.sample(others, count - len(chosen))
            fleet.store.turn_away({fleet.store_port(each): self.rng.choice(TURN_AWAY_MODES)
                                   for each in chosen})
            fleet.record.notes.setdefault("turned away", []).append(
                [each.name for each in chosen])
            await asyncio.sleep(length)
            fleet.store.serve_all()
            if not is_counted:
                fleet.store.refusals.pop()

    async def write_foreign_entries(self, per_second):
        """Another writer changes its entries all the while."""
        store = self.fleet.store
        for number in itertools.count():
            await asyncio.sleep(self.rng.expovariate(per_second))
            store.put(f"servers/b-{number % 300}", {"owner": "other", "number": number})

    async def spoil_answers(self, share, instances, kinds=ANSWER_FAULTS):
        """A share of the store's answers to some instances is lost, reset, cut or garbled, in all
        the run, in which the rules hold as though nothing had happened."""
        fleet = self.fleet
        chosen = self.rng.sample(fleet.instances, round(instances * len(fleet.instances)))
        for instance in chosen:
            fleet.store.answer_faults[fleet.store_port(instance)] = {
                kind: share / len(kinds) for kind in kinds}

    async def evacuate_zones(self, gap, beyond):
        """Evacuates one zone after the other, for `beyond` longer than the bound."""
        deployment = self.fleet.deployment
        zones = self.rng.sample(deployment.zones, len(deployment.zones))
        for zone in itertools.cycle(zones):
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            await self.fleet.evacuate(zone, deployment.seconds("evacuate") + beyond)

    async def kill(self, share, gap, pause=0.2):
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            count = max(1, int(len(self.fleet.instances) * share))
            chosen = self.rng.sample(self.fleet.instances, count)
            await asyncio.gather(*(each.restart(pause) for each in chosen))

    async def count_reads_of_restart(self, instances, settle, wait):
        """Counts the calls of the store in the time after some instances are killed, less those
        of as long a time before."""
        await asyncio.sleep(settle)
        calls = self.fleet.store.calls
        before = dict(calls)
        await asyncio.sleep(wait)
        begin = dict(calls)
        await asyncio.gather(*(each.restart(0.1) for each in instances))
        await asyncio.sleep(wait)
        self.fleet.record.notes["reads of the restart"] = {
            name: calls[name] - 2 * begin[name] + before[name] for name in calls}

    async def kill_in_turn(self, gap):
        for instance in itertools.cycle(self.rng.sample(self.fleet.instances,
                                                        len(self.fleet.instances))):
            await asyncio.sleep(gap)
            await instance.restart(0.1)

    async def stop_in_turn(self, gap):
        grace = self.fleet.deployment.seconds("grace")
        for instance in itertools.cycle(self.fleet.instances):
            await asyncio.sleep(gap)
            await instance.stop_and_start(grace)

    async def stop_overlapping(self, gap, share):
        """Stops one process after the other, up to a share of them at the same time."""
        fleet = self.fleet
        stopping = {}
        for instance in itertools.cycle(fleet.instances):
            await asyncio.sleep(gap)
            stopping = {name: task for name, task in stopping.items() if not task.done()}
            if instance.name not in stopping and len(stopping) < share * len(fleet.instances):
                stopping[instance.name] = fleet.run(
                    instance.stop_and_start(fleet.deployment.seconds("grace")))

    async def slow_targets(self, share, factor, every, length):
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, every))
            targets = self.fleet.targets
            chosen = self.rng.sample(targets, max(1, int(len(targets) * share)))
            for target in chosen:
                target.slowness = factor
            await asyncio.sleep(length)
            for target in chosen:
                target.slowness = 1.0

    async def cut_from_store(self, count, gap, length):
        """Cuts the links of some instances to the store. "A machine is in touch [if] it had a path
        in both directions to the platform"."""
        fleet = self.fleet
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            chosen = self.rng.sample(fleet.instances, count)
            ports = {fleet.store_port(each) for each in chosen}
            for instance in chosen:
                instance.begin_disturbance()
            fleet.store.cut_ports |= ports
            await asyncio.sleep(length)
            fleet.store.cut_ports -= ports
            for instance in chosen:
                instance.end_disturbance()

    async def answer_without_end(self, share, length):
        """Targets write without end in place of responses or health answers, each in one way
        after the other."""
        kinds = itertools.cycle(endless.RESPONSES)
        while True:
            chosen = self.rng.sample(self.fleet.targets, int(len(self.fleet.targets) * share))
            for index, target in enumerate(chosen):
                if index % 2:
                    target.endless_response = (*next(kinds), index % 4 == 3)
                else:
                    target.endless_health = (*next(kinds), index % 4 == 2)
            await asyncio.sleep(length)
            for target in chosen:
                target.endless_response = target.endless_health = None

    async def answer_reads_without_end(self, gap, length):
        store = self.fleet.store
        for kind in itertools.cycle(endless.RESPONSES):
            await asyncio.sleep(gap)
            store.endless_response = kind
            store.outages.append([time.monotonic(), None])
            await asyncio.sleep(length)
            store.endless_response = None
            store.end_outage()

    async def request_without_end(self, count):
        """Sends requests without end to the ports of all instances."""
        kinds = itertools.cycle(endless.REQUESTS)
        addresses = [(each.ip, each.ports[port]) for each in self.fleet.instances[:3]
                     for port in ("front", "readiness", "control") for _ in range(count)]
        while True:
            await asyncio.gather(*(
                endless.send(address, *next(kinds), is_slow=index % 5 == 4)
                for index, address in enumerate(addresses)), return_exceptions=True)
            await asyncio.sleep(0.2)

    def share_processor(self, share):
        return [each.run_in_slices(share) for each in self.fleet.instances]

    async def freeze(self, gap, longest, shortest=0.3):
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            await self.rng.choice(self.fleet.instances).freeze(
                self.rng.uniform(shortest, longest))

    async def roll_out(self, gap):
        """Stops one instance after the other, and starts the next program in its place."""
        fleet = self.fleet
        for instance in fleet.instances:
            await asyncio.sleep(gap)
            fleet.run(instance.replace_program(fleet.next_program,
                                               fleet.deployment.seconds("grace")))

    async def interrupt_store(self, gap, length):
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            self.fleet.store.begin_outage(self.rng.choice(("refuse", "silent")))
            await asyncio.sleep(length)
            self.fleet.store.end_outage()

    async def lapse_records(self, gap, length):
        """While the store is away, the records of a third of the targets lapse, with all those of
        one service after the other among them. The targets are alive all the while."""
        targets = self.fleet.deployment.targets
        for service in itertools.cycle(self.rng.sample(sorted(targets), len(targets))):
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            await self._lapse_once(service, length)

    async def _lapse_once(self, service, length):
        store = self.fleet.store
        store.begin_outage(self.rng.choice(("refuse", "silent")))
        begin = length * self.rng.uniform(0.3, 0.8)
        await asyncio.sleep(begin)
        chosen, services = self._choose_lapsing(service)
        lapse = {"services": services, "begin": time.monotonic(), "returned": None}
        self.fleet.record.lapses.append(lapse)
        for target in chosen:
            target.lapse(store)
        await asyncio.sleep(length - begin)
        store.end_outage()
        lapse["returned"] = time.monotonic()
        # "Entries that expired while the store was unavailable are back within about two seconds"
        await asyncio.gather(*(self._register_after(self.rng.uniform(0.5, 1.8), target)
                               for target in chosen))

    def _choose_lapsing(self, service):
        """Returns the targets, and the services of which they are all."""
        staying = self._staying_targets()
        chosen = [each for each in staying if each.service == service]
        others = [each for each in staying if each.service != service]
        missing = max(0, len(staying) // 3 - len(chosen))
        chosen += self.rng.sample(others, missing)
        left = {each.service for each in staying if each not in chosen}
        return chosen, {each.service for each in chosen} - left

    async def _register_after(self, seconds, target):
        await asyncio.sleep(seconds)
        target.register_again(self.fleet.store)

    async def slow_store(self, answer_time, every, length):
        """All answers of the store take longer for a while."""
        store = self.fleet.store
        usual = store.answer_time
        while True:
            store.answer_time = answer_time
            await asyncio.sleep(length)
            store.answer_time = usual
            await asyncio.sleep(every - length)

    async def compact_store(self, gap):
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            self.fleet.store.compact()

    async def freeze_leaving_targets(self, gap, longest):
        """Targets stand still for a while, and state at that moment that they leave."""
        fleet = self.fleet
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            target = self.rng.choice(self._staying_targets())
            await fleet.add_target(f"i-{next(self.numbers)}", target.service, target.zone)
            # Another fault may have removed it meanwhile.
            if target in self._staying_targets():
                fleet.run(target.stand_still(self.rng.uniform(1.0, longest)))
                fleet.run(fleet.remove_target(target, is_stated=True))

    async def reuse_addresses(self, gap):
        """A target ends, and one of another service starts at its address."""
        fleet, services = self.fleet, sorted(self.fleet.deployment.targets)
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            fleet.run(self._reuse_address(self.rng.choice(self._staying_targets()),
                                          self.rng.choice(services)))

    async def _reuse_address(self, target, service):
        fleet = self.fleet
        await fleet.add_target(f"i-{next(self.numbers)}", target.service, target.zone)
        if target not in self._staying_targets():
            return
        await fleet.remove_target(target, is_stated=self.rng.random() < 0.5)
        await asyncio.sleep(fleet.deployment.seconds("addr_reuse"))
        await fleet.add_target(f"i-{next(self.numbers)}", service, target.zone, target.address)

    async def change_settings(self, gap, share):
        """The settings files of a share of the instances change, with SIGHUP or without it."""
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            count = max(1, int(share * len(self.fleet.instances)))
            for instance in self.rng.sample(self.fleet.instances, count):
                with open(instance.settings_path, "a", encoding="utf-8") as file:
                    file.write(f"self.generation={next(self.numbers)}\n")
                if self.rng.random() < 0.7:
                    instance.send_signal(signal.SIGHUP)

    async def replace_bursts(self, gap, share):
        """A third or so of the targets of two zones leave within a second, some without stating
        it, and others crash."""
        fleet = self.fleet
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.7, 1.3))
            zones = self.rng.sample(fleet.deployment.zones, 2)
            found = [each for each in self._staying_targets() if each.zone in zones]
            for target in self.rng.sample(found, max(1, int(share * len(found)))):
                await fleet.add_target(f"i-{next(self.numbers)}", target.service, target.zone)
                if target not in self._staying_targets():
                    continue
                if self.rng.random() < 0.3:
                    target.reset_share = 1.0
                fleet.run(fleet.remove_target(target, is_stated=self.rng.random() < 0.6))
                await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def forget_history(self, gap, ends_waits, is_counted):
        """The store forgets its history, and watches miss what is changed shortly before. Reads
        that may be stale are `STALE_SECONDS` behind then."""
        fleet, store = self.fleet, self.fleet.store
        while True:
            await asyncio.sleep(gap * self.rng.uniform(0.5, 1.5))
            store.page_age = lambda after: STALE_SECONDS
            store.refusals.append([time.monotonic(), None])
            store.begin_silence(ends_waits)
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
            fleet.routes.move_next(store)
            fleet.routes.add_routes(20, store)
            target = self.rng.choice(self._staying_targets())
            await fleet.add_target(f"i-{next(self.numbers)}", target.service, target.zone)
            fleet.run(fleet.remove_target(target, is_stated=True))
            await asyncio.sleep(0.6)
            store.end_silence()
            store.refusals[-1][1] = time.monotonic()
            if not is_counted:
                store.refusals.pop()
