"""A second fleet beside the first one, with a short program in place of the one under test."""

import json
import os
import tempfile
import unittest
from unittest import mock

from realfleet import judges
from realfleet.deployment import DEPLOYMENTS
from realfleet.fleet import Fleet
from realfleet.secondfleet import (LOST_INDEX, MEMBERS, VERSION, join_by_seed, join_second_fleet,
                                   move_instance, run_earlier)

DEPLOYMENT = DEPLOYMENTS["small"]


class SecondFleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        program = os.path.join(folder.name, "program")
        with open(program, "w", encoding="utf-8") as file:
            file.write("#!/bin/sh\nexec /bin/sleep 60\n")
        os.chmod(program, 0o755)
        with mock.patch("tempfile.mkdtemp", lambda prefix: folder.name):
            self.fleet = Fleet(DEPLOYMENT, 1, program, 1)
        self.addAsyncCleanup(self.fleet.stop)
        self.first = self.fleet.instances
        self.first[LOST_INDEX].start()

    async def join(self, **options):
        await join_second_fleet(self.fleet, 500000, delay=0.0, **options)
        return self.fleet.others[0]

    def settings(self, instance):
        with open(instance.settings_path, encoding="utf-8") as file:
            return dict(line.rstrip("\n").split("=", 1) for line in file)

    async def test_a_process_of_the_second_fleet_takes_the_address_of_a_lost_instance(self):
        second = await self.join()
        lost, member = self.first[LOST_INDEX], second.instances[LOST_INDEX]
        self.assertFalse(lost.is_running)
        self.assertTrue(all(each.is_running for each in second.instances))
        self.assertEqual((lost.name, lost.control_address), (member.name, member.control_address))
        shared = {each.ip for each in self.first} & {each.ip for each in second.instances}
        self.assertEqual({lost.ip}, shared)
        self.fleet.end_processes()
        self.assertFalse(any(each.is_running for each in second.instances))

    async def test_a_second_fleet_apart_shares_no_address(self):
        second = await self.join(takes_address=False)
        shared = {each.ip for each in self.first} & {each.ip for each in second.instances}
        self.assertEqual((MEMBERS, set()), (len(second.instances), shared))

    async def test_a_second_fleet_knows_only_its_own_members_store_and_targets(self):
        second = await self.join()
        seeds = ",".join(each.control_address for each in second.instances[:3])
        stores = set()
        for each in second.instances:
            settings = self.settings(each)
            self.assertEqual(seeds, settings["network.seeds"])
            stores.add(settings["provider.provider.address"].partition(":")[0])
        self.assertEqual(1, len(stores))
        self.assertNotIn(self.settings(self.first[0])["provider.provider.address"], stores)
        self.assertGreater(second.store.history[0][1], 500000)
        self.assertEqual([VERSION], [each.number for each in second.routes.versions])
        self.assertEqual(set(DEPLOYMENT.targets), {each.service for each in second.targets})

    async def test_a_second_fleet_may_have_an_instance_of_the_first_among_its_seeds(self):
        await join_by_seed(self.fleet, delay=0.0)
        first, second = self.first, self.fleet.others[0].instances
        self.assertTrue(first[LOST_INDEX].is_running)
        self.assertEqual([first[LOST_INDEX].control_address, second[0].control_address,
                          second[1].control_address],
                         self.settings(second[3])["network.seeds"].split(","))

    async def test_what_is_sent_to_an_address_after_it_was_taken_is_left_out(self):
        record, kind, lost = self.fleet.record, DEPLOYMENT.kinds[0], self.first[LOST_INDEX]
        record.sent("before", kind, lost, "/handset-lookup/1")
        await self.join()
        record.sent("after", kind, lost, "/handset-lookup/1")
        record.sent("other", kind, self.first[0], "/handset-lookup/1")
        record.arrivals = [(1.0, each, "i-1", kind.service) for each in ("before", "after", "other")]
        record.leave_out_replaced()
        self.assertEqual({"before", "other"}, set(record.requests))
        self.assertEqual(["before", "other"], [each[1] for each in record.arrivals])

    def write_log(self, instance, version):
        with open(instance.log_path, "w", encoding="utf-8") as log:
            log.write(json.dumps({"time": "2026-12-07T02:15:30.171Z", "event": "document-in-force",
                                  "source": "store", "subject": str(version)},
                                 separators=(",", ":")) + "\n")

    def judge_foreign(self, second):
        fleets = [(each.instances, each.routes) for each in (self.fleet, second)]
        return judges.judge_foreign(self.fleet.record, fleets)

    async def test_a_configuration_of_the_other_fleet_in_force_is_broken_in_either(self):
        second = await self.join()
        self.fleet.routes.publish(self.fleet.store)
        own = self.fleet.routes.versions[-1].number
        self.write_log(self.first[0], own)
        self.write_log(second.instances[1], VERSION)
        self.assertFalse(self.judge_foreign(second).is_broken)
        self.write_log(self.first[0], VERSION)
        self.write_log(second.instances[1], own)
        self.assertEqual(2, len(self.judge_foreign(second).cases))

    async def test_a_request_that_runs_at_a_target_of_the_other_fleet_is_broken(self):
        record, kind, lost = self.fleet.record, DEPLOYMENT.kinds[0], self.first[LOST_INDEX]
        second = await self.join()
        record.sent("first", kind, self.first[0], "/handset-lookup/1")
        record.sent("second", kind, lost, "/handset-lookup/1")
        for target, attempt in (("i-1", "first"), ("s-1", "second"),
                                ("s-1", "first"), ("i-1", "second")):
            record.arrived(attempt, target, kind.service, 1.0)
        record.leave_out_replaced()
        cases = self.judge_foreign(second).cases
        self.assertEqual([("ran at i-1", "second"), ("ran at s-1", "first")],
                         [each[1:3] for each in cases])

    async def test_a_survivor_that_reads_the_store_of_the_fleet_may_use_its_targets(self):
        record, kind, lost = self.fleet.record, DEPLOYMENT.kinds[0], self.first[LOST_INDEX]
        lost.kill()
        with mock.patch("realfleet.secondfleet.EARLIER_SECONDS", 0.0):
            await run_earlier(self.fleet, survivors=(LOST_INDEX,))
        record.sent("survivor", kind, lost, "/handset-lookup/1")
        record.sent("first", kind, self.first[0], "/handset-lookup/1")
        record.arrived("survivor", "i-1", kind.service, 1.0)
        record.arrived("first", "s-1", kind.service, 1.0)
        record.leave_out_replaced()
        self.assertEqual(["first"], [each[1] for each in record.crossed])

    async def test_an_old_process_lives_on_while_its_instance_runs_at_another_address(self):
        instance = self.first[LOST_INDEX]
        old_address, old_process = instance.control_address, instance.process
        await move_instance(self.fleet, delay=0.0)
        self.assertIsNone(old_process.poll())
        self.assertTrue(instance.is_running)
        settings = self.settings(instance)
        self.assertNotEqual(old_address, settings["network.listen.control"])
        self.assertEqual(instance.control_address, settings["network.listen.control"])
        self.assertEqual((instance.name, instance.ip), (settings["self.node"], settings["self.ip"]))
        self.fleet.end_processes()
        self.assertIsNotNone(old_process.poll())

    async def test_an_earlier_run_may_count_revisions_and_versions_near_those_of_the_next(self):
        with mock.patch("realfleet.secondfleet.EARLIER_SECONDS", 0.0):
            await run_earlier(self.fleet, survivors=(), revision=1036, version=40)
        earlier = self.fleet.others[0]
        self.assertEqual([40], [each.number for each in earlier.routes.versions])
        self.assertEqual(1037, earlier.store.history[0][1])

    async def test_of_an_earlier_run_only_the_survivors_live_on_and_keep_their_addresses(self):
        with mock.patch("realfleet.secondfleet.EARLIER_SECONDS", 0.0):
            self.first[LOST_INDEX].kill()
            await run_earlier(self.fleet, survivors=(LOST_INDEX,))
        earlier = self.fleet.others[0]
        running = [index for index, each in enumerate(earlier.instances) if each.is_running]
        self.assertEqual([LOST_INDEX], running)
        self.first[LOST_INDEX].start()
        self.assertFalse(self.first[LOST_INDEX].is_running)
        for own, other in zip(self.first, earlier.instances):
            self.assertEqual(own.control_address, other.control_address)
            self.assertEqual(self.settings(own)["provider.provider.address"],
                             self.settings(other)["provider.provider.address"])


if __name__ == "__main__":
    unittest.main()
