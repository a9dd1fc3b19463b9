"""A stand-in of a target: slots, a queue, load headers, health, leaving and faults."""

import asyncio
import time

from aiohttp import web

from realfleet import endless

HEARTBEAT_SECONDS = 1.5


class Target:
    """Serves requests on one address and publishes its record in the store."""

    def __init__(self, name, service, zone, deployment, record, rng):
        self.name, self.service, self.zone = name, service, zone
        self.deployment, self.record, self.rng = deployment, record, rng
        self.slots = asyncio.Semaphore(deployment.slots)
        self.running = self.queued = 0
        self.sequence = 1
        self.is_draining = False
        # Its record has expired although it is alive.
        self.has_lapsed = False
        # The share of requests whose connections are reset, and the factor of all work.
        self.reset_share = 0.0
        self.slowness = 1.0
        # What it writes without end in place of health answers and of responses; see `endless`.
        self.endless_health = self.endless_response = None
        # Cleared while the target stands still: it reads nothing that arrives.
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.runner = None

    async def start(self, address):
        self.address = f"{address[0]}:{address[1]}"
        self.born = int(time.time() * 1000)
        app = web.Application(client_max_size=1 << 26)
        app.router.add_get("/healthz", self.on_health)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        self.runner = web.AppRunner(app, access_log=None, keepalive_timeout=10)
        await self.runner.setup()
        await web.TCPSite(self.runner, *address, backlog=256, shutdown_timeout=0.1).start()

    async def stop(self):
        runner, self.runner = self.runner, None
        if runner:
            await runner.cleanup()

    def entry(self):
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "capacity": self.deployment.slots},
                "status": {"state": "draining" if self.is_draining else "ready",
                           "seq": self.sequence, "warmup_left": "0ms"}}

    def register(self, store):
        return store.put(f"servers/{self.name}", self.entry())

    def drain(self, store):
        self.is_draining = True
        self.sequence += 1
        self.record.target_left(self.name, self.register(store))

    def unregister(self, store):
        self.record.target_left(self.name, store.put(f"servers/{self.name}", None))

    def lapse(self, store):
        self.has_lapsed = True
        store.put(f"servers/{self.name}", None)

    def register_again(self, store):
        self.has_lapsed = False
        self.sequence += 1
        self.register(store)

    def load(self):
        return f"{self.running},{self.queued},{self.deployment.slots},100"

    async def stand_still(self, seconds):
        self.thawed.clear()
        await asyncio.sleep(seconds)
        self.thawed.set()

    async def on_health(self, request):
        await self.thawed.wait()
        if self.endless_health:
            await endless.write(request.transport, *self.endless_health)
            return web.Response()
        return web.Response(status=503 if self.is_draining else 200, headers={
            "X-Instance-Id": self.name, "X-Server-Load": self.load(), "X-Warmup-Ms": "0"})

    async def on_request(self, request):
        came_at = time.monotonic()
        await self.thawed.wait()
        attempt = request.headers.get("X-Attempt-Id", "")
        headers = {"X-Attempt-Id": attempt, "X-Server-Load": self.load()}
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=dict(headers, **{"X-Not-Executed": "1"}))
        # Judged by when it came; how many it read too late by its own delay is noted.
        self.record.arrived(attempt, self.name, self.service, came_at)
        due = self.record.leaving.get(self.name, came_at) + self.deployment.seconds("drain")
        if came_at <= due < time.monotonic():
            notes = self.record.notes
            notes["read late by frozen targets"] = notes.get("read late by frozen targets", 0) + 1
        if self.endless_response:
            await endless.write(request.transport, *self.endless_response)
            return web.Response()
        if self.rng.random() < self.reset_share:
            request.transport.abort()
            return web.Response()
        if self.running >= self.deployment.slots and self.queued >= self.deployment.queue:
            if self.deployment.resets_when_full:
                request.transport.abort()
                return web.Response()
            return web.Response(status=503, headers=dict(headers, **{"X-Not-Executed": "1"}))
        await request.read()
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        run = self.record.run_began(attempt)
        try:
            is_long = self.rng.random() < self.deployment.tail_share
            work = self.record.work(attempt) * self.rng.lognormvariate(0, 0.3) * self.slowness
            await asyncio.sleep(work * (self.deployment.tail_factor if is_long else 1.0))
        finally:
            run[1] = time.monotonic()
            self.running -= 1
            self.slots.release()
        body = b"x" * 400
        headers["X-Response-Signature"] = f"{self.name}.{len(body):x}"
        headers["X-Server-Load"] = self.load()
        return web.Response(body=body, headers=headers)
