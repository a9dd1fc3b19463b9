"""What the stand-in of the store answers while it is away."""

import asyncio
import random
import types
import unittest

from realfleet.store import Store


def request(**query):
    transport = types.SimpleNamespace(get_extra_info=lambda _: ("127.0.0.1", 1))
    return types.SimpleNamespace(query=query, transport=transport)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = Store(random.Random(1))
        self.store.put("servers/i-1", {})

    async def test_a_store_that_refuses_says_so(self):
        self.store.begin_outage("refuse")
        self.assertEqual(503, (await self.store.on_range(request(prefix=""))).status)
        self.assertEqual(503, (await self.store.on_watch(request(prefix="", after="0"))).status)

    async def answer_of_request_before_outage(self, handler, mode, **query):
        answer = asyncio.ensure_future(handler(request(**query)))
        await asyncio.sleep(0)
        self.store.begin_outage(mode)
        self.store.put("servers/i-1", None)
        await asyncio.wait({answer}, timeout=0.3)
        self.addCleanup(answer.cancel)
        return answer

    async def test_a_waiting_watch_is_not_answered_while_the_store_is_away(self):
        for mode in ("silent", "refuse"):
            answer = await self.answer_of_request_before_outage(
                self.store.on_watch, mode, prefix="", after=str(self.store.revision),
                wait_ms="5000")
            self.check_nothing_is_told(answer, mode)
            self.store.end_outage()

    async def test_a_read_that_is_slow_is_not_answered_while_the_store_is_away(self):
        self.store.answer_time = (0.1, 0.1)
        for mode in ("silent", "refuse"):
            answer = await self.answer_of_request_before_outage(
                self.store.on_range, mode, prefix="")
            self.check_nothing_is_told(answer, mode)
            self.store.end_outage()

    def check_nothing_is_told(self, answer, mode):
        if mode == "silent":
            self.assertFalse(answer.done())
        else:
            self.assertEqual(503, answer.result().status)


if __name__ == "__main__":
    unittest.main()
