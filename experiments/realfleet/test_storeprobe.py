"""The lateness of the stand-in of the store, beyond what a plan asks for."""

import asyncio
import random
import socket
import time
import types
import unittest

import realprocesses
from realfleet.fleet import Fleet
from realfleet.limits import NotJudged
from realfleet.record import Record
from realfleet.deployment import DEPLOYMENTS
from realfleet.store import PROBE_SECONDS, Store
from realfleet.storeprobe import StoreProbe

# Shorter than the limit, so that no single turn of the event loop counts as late.
TURN_SECONDS = 0.06
HOST = "127.0.0.1"


class StoreProbeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        with socket.socket() as free:
            free.bind((HOST, 0))
            port = free.getsockname()[1]
        self.store = Store(random.Random(1))
        await self.store.start(HOST, [port])
        self.probe = StoreProbe(HOST, port, PROBE_SECONDS)

    async def asyncTearDown(self):
        self.probe.stop()
        await asyncio.get_running_loop().run_in_executor(None, self.probe.join)
        await self.store.stop()

    async def hold_the_loop(self):
        while True:
            time.sleep(TURN_SECONDS)
            await asyncio.sleep(0)

    async def test_answers_that_are_late_by_many_short_turns_are_seen(self):
        fleet = types.SimpleNamespace(record=Record(DEPLOYMENTS["small"]))
        measure = asyncio.ensure_future(Fleet._measure_lag(fleet))
        holding = asyncio.ensure_future(self.hold_the_loop())
        self.probe.start()
        await asyncio.sleep(2)
        measure.cancel()
        holding.cancel()
        self.assertGreater(self.probe.worst_lag(), realprocesses.LONGEST_LAG_SECONDS)
        self.assertGreater(self.probe.worst_lag(), fleet.record.worst_lag)

    async def test_answers_that_a_plan_delays_are_not_late(self):
        self.store.answer_time = self.store.watch_delay = (9.0, 9.0)
        self.store.begin_outage("silent")
        self.probe.start()
        await asyncio.sleep(1)
        self.assertLess(self.probe.worst_lag(), 5)

    async def test_the_probe_is_no_call_of_an_instance(self):
        calls = dict(self.store.calls)
        self.probe.start()
        await asyncio.sleep(0.5)
        self.assertEqual(calls, self.store.calls)


class StandInsTest(unittest.TestCase):
    def check(self, store_lag):
        probe = types.SimpleNamespace(worst_lag=lambda: store_lag)
        realprocesses.check_stand_ins(types.SimpleNamespace(
            record=Record(DEPLOYMENTS["small"]), store_probe=probe, check_tasks=lambda: None))

    def test_a_run_with_a_late_store_is_not_judged(self):
        with self.assertRaisesRegex(NotJudged, "the stand-in of the store was 0.300 s late"):
            self.check(0.3)

    def test_a_run_with_a_store_within_the_limit_is_judged(self):
        self.check(0.2)


if __name__ == "__main__":
    unittest.main()
