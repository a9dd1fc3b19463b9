"""A stand-in of the platform's metadata store: /kv-key, /kv-range and /kv-watch."""

import asyncio
import base64
import bisect
import json
import time
import weakref

from aiohttp import web

from realfleet import endless

PAGE_ITEMS = 500
PAGE_BYTES = 1000 * 1000
# What the stand-in takes for the probe; see `storeprobe`.
PROBE_SECONDS = 0.004
ANSWER_FAULTS = ("lost", "reset", "cut", "garbled")
# "A single revision counter starts above 0 and increases with each change": by how much, and whether
# with other changes as well, is not stated.
COUNTINGS = ("ones", "steps", "beats")
MOST_STEP = 3
BEAT_SECONDS = 0.02


class Store:
    """Keeps the history of all keys. Faults are set from outside while it runs."""

    def __init__(self, rng, counting="ones", revision=1000):
        self.rng, self.counting = rng, counting
        self.revision = revision
        self.oldest_revision = 0
        self.history = []  # (time, revision, key, value or None), oldest first
        self.changed = asyncio.Event()
        self.runner = None
        # The range of seconds that each answer takes.
        self.answer_time = (0.004, 0.004)
        # The range of seconds by which answers to watches are late besides.
        self.watch_delay = (0.0, 0.0)
        # Returns the age in seconds of a page that may be stale; `after` is the key before it.
        self.page_age = lambda after: 0.0
        # None, "refuse" or "silent", for all readers.
        self.outage = None
        # The ports of the readers that get no answer. Each reader has a port of its own.
        self.cut_ports = set()
        # How readers are turned away, by their ports: "busy", "many", "reset" or "silent".
        self.turned_away = {}
        # The faults of answers by the ports of their readers: {kind of `ANSWER_FAULTS`: share}.
        self.answer_faults = {}
        # Connections on which an answer was lost.
        self.dead_connections = weakref.WeakSet()
        # What it writes without end in place of responses; see `endless`.
        self.endless_response = None
        self.outages = []  # [begin, end or None]
        self.refusals = []  # the same, while it serves other readers
        # Whether watches hear nothing of changes, and then whether one is answered at the end of
        # its wait; see `begin_silence`.
        self.is_silent = self.ends_waits = False
        self.watching = weakref.WeakSet()  # connections with a watch that waits
        # Whether a watch from before what was dropped is answered by 410, or goes on with what is left.
        self.states_lost_history = True
        # How long the store keeps its history, in seconds.
        self.history_length = float("inf")
        # "page" and "stale page" count pages of reads of all records.
        self.calls = {"page": 0, "stale page": 0, "watch": 0, "history lost": 0, "refused": 0,
                      "faulty": 0}

    async def start(self, host, ports):
        app = web.Application()
        app.router.add_get("/kv-range", self.on_range)
        app.router.add_get("/kv-watch", self.on_watch)
        app.router.add_get("/kv-key", self.on_key)
        app.router.add_get("/probe", self.on_probe)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        for port in ports:
            await web.TCPSite(self.runner, host, port, backlog=512, shutdown_timeout=0.1).start()

    async def stop(self):
        if self.runner:
            await self.runner.cleanup()

    def put(self, key, value):
        """Writes a value, or deletes the key when it is None. Returns the time of the
        acknowledgement."""
        return self.put_bytes(key, None if value is None else json.dumps(value).encode())

    async def beat(self):
        """Counts on without a change that anybody reads."""
        while self.counting == "beats":
            await asyncio.sleep(BEAT_SECONDS)
            self.revision += 1

    def put_bytes(self, key, data):
        self.revision += self.rng.randint(1, MOST_STEP) if self.counting == "steps" else 1
        now = time.monotonic()
        self.history.append((now, self.revision, key, data))
        self.changed.set()
        self.changed = asyncio.Event()
        return now

    def put_foreign_entries(self, count):
        """Writes entries of another writer beside those of the targets, so that reads take
        several pages. They name a service that no configuration has."""
        for index in range(count):
            self.put(f"servers/a-{index:04}", {
                "address": "127.0.0.1:9", "born": 1764900000000,
                "info": {"service": "retired", "version": "v1", "zone": "none", "capacity": 3},
                "status": {"state": "ready", "seq": 1, "warmup_left": "0ms"}})

    def compact(self):
        """Forgets the history up to the present."""
        self.oldest_revision = self.revision

    def begin_silence(self, ends_waits):
        """"Watches hear nothing for a second while changes are made, then the history is dropped
        and they are cut". What a watch gets whose wait ends in that time is not stated: no answer,
        or with `ends_waits` one without changes that names the present revision."""
        self.is_silent, self.ends_waits = True, ends_waits

    def end_silence(self):
        self.is_silent = self.ends_waits = False
        self.compact()
        for transport in list(self.watching):
            transport.abort()

    def exchange(self, distance):
        """Another store takes its place at the same address: the content is written anew, the
        history is gone, and the revision is `distance` from what it was."""
        items = self.items(time.monotonic())
        self.history, self.oldest_revision = [], 0
        self.revision += distance - len(items)
        for key, (_, _, data) in items:
            self.put_bytes(key, data)
        for transport in list(self.watching):
            transport.abort()

    def begin_outage(self, mode):
        self.outage = mode
        self.outages.append([time.monotonic(), None])

    def end_outage(self):
        self.outage = None
        self.outages[-1][1] = time.monotonic()

    def turn_away(self, modes):
        """Turns readers away, by their ports, until `serve_all`."""
        self.turned_away = modes
        self.refusals.append([time.monotonic(), None])

    def serve_all(self):
        self.turned_away = {}
        self.refusals[-1][1] = time.monotonic()

    @staticmethod
    def _overlaps(spans, begin, end):
        return any(first <= end and (last is None or last >= begin) for first, last in spans)

    def was_disturbed(self, begin, end):
        """Tells whether it was down or slow or lost answers."""
        return self._overlaps(self.outages, begin, end)

    def was_unstable(self, begin, end):
        """The same, or whether it turned readers away while it served others."""
        return self._overlaps(self.outages + self.refusals, begin, end)

    def items(self, at):
        state = {}
        for when, revision, key, data in self.history:
            if when > at:
                break
            if data is None:
                state.pop(key, None)
            else:
                state[key] = (revision, state[key][1] if key in state else revision, data)
        return sorted(state.items())

    @staticmethod
    def _item(key, revision, created, data):
        return {"key": key, "value": base64.b64encode(data).decode(), "revision": revision,
                "created": created, "lease": 0}

    def _oldest_revision(self):
        """Returns the revision from which on all changes are known."""
        oldest = time.monotonic() - self.history_length
        forgotten = bisect.bisect_left(self.history, oldest, key=lambda each: each[0])
        last = self.history[forgotten - 1][1] if forgotten else 0
        return max(self.oldest_revision, last)

    async def _answer_outage(self, request):
        if self.endless_response:
            await endless.write(request.transport, *self.endless_response)
            return web.Response()
        port = self._port(request)
        is_cut = port in self.cut_ports or request.transport in self.dead_connections
        mode = "silent" if is_cut else self.outage or self.turned_away.get(port)
        if mode is None:
            return None
        self.calls["refused"] += 1
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode == "reset":
            request.transport.abort()
        return web.json_response({}, status=429 if mode == "many" else 503)

    @staticmethod
    def _port(request):
        return request.transport.get_extra_info("sockname")[1]

    async def _spoil(self, request, answer):
        """Applies the fault of an answer that its reader's port has, if any. "A connection on
        which a response is lost returns nothing further"."""
        faults = self.answer_faults.get(self._port(request), {})
        kind = next((kind for kind, share in faults.items() if self.rng.random() < share), None)
        if kind is None:
            return answer
        self.calls["faulty"] += 1
        if kind == "lost":
            self.dead_connections.add(request.transport)
            await asyncio.sleep(3600)
        if kind == "reset":
            request.transport.abort()
        elif kind == "cut":
            request.transport.write(self._head(answer) + answer.body[:len(answer.body) // 2])
            request.transport.close()
        elif kind == "garbled":
            middle = len(answer.body) // 2
            return web.Response(body=answer.body[:middle] + b"\x00#" + answer.body[middle + 2:],
                                content_type="application/json")
        return answer

    @staticmethod
    def _head(answer):
        return (f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(answer.body)}\r\n\r\n").encode()

    async def _answer(self, request, make_answer):
        """While the store is away it answers nothing, not even what was asked before."""
        refused = await self._answer_outage(request)
        if refused is not None:
            return refused
        answer = await make_answer(request)
        refused = await self._answer_outage(request)
        return await self._spoil(request, answer) if refused is None else refused

    async def on_range(self, request):
        self.calls["stale page" if self._is_stale_allowed(request) else "page"] += 1
        return await self._answer(request, self._read)

    @staticmethod
    def _is_stale_allowed(request):
        return request.query.get("allow_stale") == "1"

    async def _read(self, request):
        await asyncio.sleep(self.rng.uniform(*self.answer_time))
        after, prefix = request.query.get("after", ""), request.query.get("prefix", "")
        age = self.page_age(after) if self._is_stale_allowed(request) else 0.0
        return self._page(prefix, after, age)

    async def on_probe(self, _request):
        """Answers like a quick store with all records, whatever a plan asks for."""
        await asyncio.sleep(PROBE_SECONDS)
        return self._page("", "", 0.0)

    def _page(self, prefix, after, age):
        found, size, is_truncated = [], 0, False
        for key, (revision, created, data) in self.items(time.monotonic() - age):
            if key <= after or not key.startswith(prefix):
                continue
            if len(found) >= PAGE_ITEMS or (found and size + len(data) > PAGE_BYTES):
                is_truncated = True
                break
            found.append(self._item(key, revision, created, data))
            size += len(data)
        return web.json_response({"items": found, "truncated": is_truncated,
                                  "as_of": self.revision})

    async def on_watch(self, request):
        self.calls["watch"] += 1
        return await self._answer(request, self._watch)

    async def _watch(self, request):
        await asyncio.sleep(self.rng.uniform(*self.answer_time))
        after = int(request.query.get("after", 0))
        oldest = self._oldest_revision()
        if after < oldest:
            self.calls["history lost"] += 1
            if self.states_lost_history:
                return web.json_response({"as_of": self.revision}, status=410)
            after = oldest
        deadline = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        self.watching.add(request.transport)
        # "returns `events` as soon as at least one event exists"
        while self._last_change() <= after and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.is_silent:
            await asyncio.sleep(max(0.0, deadline - time.monotonic()) if self.ends_waits else 3600)
        if self.is_silent:
            answer = web.json_response({"events": [], "as_of": self.revision})
        else:
            answer = web.json_response(self._changes(after))
        self.watching.discard(request.transport)
        await asyncio.sleep(self.rng.uniform(*self.watch_delay))
        return answer

    def _last_change(self):
        return self.history[-1][1] if self.history else 0

    def _changes(self, after):
        """Returns the changes after a revision, the oldest ones if an answer does not hold all."""
        events, size, as_of = [], 0, self.revision
        first = bisect.bisect_right(self.history, after, key=lambda each: each[1])
        for _, revision, key, data in self.history[first:]:
            size += len(data or b"")
            if len(events) >= PAGE_ITEMS or (events and size > PAGE_BYTES):
                as_of = events[-1]["revision"]
                break
            events.append({"key": key, "revision": revision, "deleted": True} if data is None
                          else self._item(key, revision, revision, data))
        return {"events": events, "as_of": as_of}

    async def on_key(self, request):
        for key, (revision, created, data) in self.items(time.monotonic()):
            if key == request.query.get("key"):
                return web.json_response(dict(self._item(key, revision, created, data),
                                              as_of=self.revision))
        return web.json_response({"as_of": self.revision}, status=404)
