"""What the stand-in of the store answers while it is away."""

import asyncio
import json
import random
import types
import unittest

from realfleet.store import BEAT_SECONDS, COUNTINGS, Store


class Transport:
    def __init__(self, port):
        self.port, self.written = port, b""
        self.is_aborted = self.is_closed = False

    def get_extra_info(self, _name):
        return "127.0.0.1", self.port

    def abort(self):
        self.is_aborted = True

    def close(self):
        self.is_closed = True

    def write(self, data):
        self.written += data


def request(port=1, **query):
    return types.SimpleNamespace(query=query, transport=Transport(port))


class StoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = Store(random.Random(1))
        self.store.put("servers/i-1", {})

    async def test_a_store_that_refuses_says_so(self):
        self.store.begin_outage("refuse")
        self.assertEqual(503, (await self.store.on_range(request(prefix=""))).status)
        self.assertEqual(503, (await self.store.on_watch(request(prefix="", after="0"))).status)

    async def test_a_watch_waits_for_a_change_however_the_revision_is_counted(self):
        for counting in COUNTINGS:
            store = Store(random.Random(1), counting)
            store.put("servers/i-1", {})
            beating = asyncio.ensure_future(store.beat())
            self.addCleanup(beating.cancel)
            after = store.revision
            answer = asyncio.ensure_future(store.on_watch(
                request(prefix="", after=str(after), wait_ms="2000")))
            await asyncio.sleep(3 * BEAT_SECONDS)
            self.assertFalse(answer.done(), counting)
            store.put("servers/i-2", {})
            events = json.loads((await answer).body)["events"]
            self.assertEqual(["servers/i-2"], [each["key"] for each in events], counting)

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

    async def test_a_store_that_turns_a_reader_away_serves_others(self):
        statuses = {"busy": 503, "many": 429, "reset": 503}
        for mode, status in statuses.items():
            self.store.turn_away({1: mode})
            query = request(prefix="")
            self.assertEqual(status, (await self.store.on_range(query)).status)
            self.assertEqual(mode == "reset", query.transport.is_aborted)
            self.assertEqual(200, (await self.store.on_range(request(2, prefix=""))).status)
            self.store.serve_all()
        self.assertTrue(self.store.was_unstable(0, float("inf")))
        self.assertFalse(self.store.was_disturbed(0, float("inf")))
        self.assertEqual(200, (await self.store.on_range(request(prefix=""))).status)

    async def test_an_answer_of_changes_holds_the_oldest_of_more_than_500(self):
        after = self.store.revision
        for number in range(501):
            self.store.put(f"servers/a-{number}", {})
        query = request(prefix="", after=str(after), wait_ms="0")
        answer = json.loads((await self.store.on_watch(query)).body)
        self.assertEqual(500, len(answer["events"]))
        self.assertEqual(after + 500, answer["as_of"])
        query.query["after"] = str(answer["as_of"])
        answer = json.loads((await self.store.on_watch(query)).body)
        self.assertEqual((1, self.store.revision), (len(answer["events"]), answer["as_of"]))

    async def watch_during_silence(self, ends_waits):
        query = request(prefix="", after=str(self.store.revision), wait_ms="50")
        watch = asyncio.ensure_future(self.store.on_watch(query))
        await asyncio.sleep(0)
        self.store.begin_silence(ends_waits)
        self.store.put("servers/i-2", {})
        await asyncio.wait({watch}, timeout=0.2)
        self.addCleanup(watch.cancel)
        return query, watch

    async def test_a_watch_hears_nothing_before_history_is_forgotten_and_is_cut(self):
        query, watch = await self.watch_during_silence(ends_waits=False)
        self.assertFalse(watch.done())
        self.store.end_silence()
        self.assertTrue(query.transport.is_aborted)
        late = request(prefix="", after=query.query["after"])
        self.assertEqual(410, (await self.store.on_watch(late)).status)

    async def test_a_watch_whose_wait_ends_before_history_is_forgotten_names_the_revision(self):
        _, watch = await self.watch_during_silence(ends_waits=True)
        answer = json.loads(watch.result().body)
        self.assertEqual({"events": [], "as_of": self.store.revision}, answer)

    async def test_a_watch_goes_on_with_what_is_left_of_a_history_that_is_dropped_unstated(self):
        self.store.states_lost_history = False
        before = self.store.revision
        self.store.put("servers/i-2", {})
        self.store.compact()
        self.store.put("servers/i-3", {})
        answer = await self.store.on_watch(request(prefix="", after=str(before), wait_ms="0"))
        self.assertEqual(200, answer.status)
        events = json.loads(answer.body)["events"]
        self.assertEqual(["servers/i-3"], [each["key"] for each in events])

    async def test_a_store_that_is_exchanged_holds_the_same_content_at_other_revisions(self):
        self.store.put("op/config", {"version": 7})
        self.store.put("servers/i-1", None)
        before = self.store.revision
        self.store.exchange(-36)
        self.assertEqual(before - 36, self.store.revision)
        page = json.loads((await self.store.on_range(request(prefix=""))).body)
        self.assertEqual([("op/config", before - 36)],
                         [(each["key"], each["revision"]) for each in page["items"]])

    async def test_a_connection_that_lost_an_answer_returns_nothing_more(self):
        self.store.answer_faults = {1: {"lost": 1.0}}
        query = request(prefix="")
        self.assertTrue(await self.is_silent(query))
        self.store.answer_faults = {}
        self.assertTrue(await self.is_silent(query))
        self.assertFalse(await self.is_silent(request(prefix="")))

    async def is_silent(self, query):
        answer = asyncio.ensure_future(self.store.on_range(query))
        await asyncio.wait({answer}, timeout=0.1)
        return answer.cancel()

    async def test_an_answer_is_garbled_or_cut_or_its_connection_reset(self):
        whole = (await self.store.on_range(request(prefix=""))).body
        self.store.answer_faults = {1: {"garbled": 1.0}}
        with self.assertRaises(ValueError):
            json.loads((await self.store.on_range(request(prefix=""))).body)
        self.store.answer_faults = {1: {"cut": 1.0}}
        query = request(prefix="")
        await self.store.on_range(query)
        self.assertTrue(query.transport.is_closed)
        self.assertIn(f"Content-Length: {len(whole)}".encode(), query.transport.written)
        self.assertTrue(query.transport.written.endswith(whole[:len(whole) // 2]))
        self.store.answer_faults = {1: {"reset": 1.0}}
        query = request(prefix="")
        await self.store.on_range(query)
        self.assertTrue(query.transport.is_aborted)

    def check_nothing_is_told(self, answer, mode):
        if mode == "silent":
            self.assertFalse(answer.done())
        else:
            self.assertEqual(503, answer.result().status)


if __name__ == "__main__":
    unittest.main()
