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


if __name__ == "__main__":
    unittest.main()
