"""Callers that send requests on new and on kept connections, and repeat what failed."""

import asyncio
import time

import aiohttp

from realfleet.limits import NotJudged
from realfleet.pipeline import Pipelines

PROMISES = (408, 421, 429, 503)
# The longest wait for answers after the traffic, beyond all deadlines of callers.
ANSWERS_SECONDS = 12


class Callers:
    """Sends the traffic of a deployment to instances that say that they are ready."""

    def __init__(self, deployment, instances, routes, record, rng, rate=1.0, repeats=None):
        self.deployment, self.instances, self.routes = deployment, instances, routes
        self.record, self.rng, self.rate, self.repeats = record, rng, rate, repeats
        self.tasks = set()
        # Instances that keep a connection of these callers open. They get requests on it
        # whether or not they say that they are ready.
        self.connected = set()
        self.pipelines = Pipelines(rng)

    async def run(self, seconds):
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=12)
        fresh = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as kept, \
                aiohttp.ClientSession(connector=fresh, timeout=timeout) as new:
            await asyncio.gather(*(self._generate(kind, (kept, new), seconds)
                                   for kind in self.deployment.kinds))
            await self._end_calls()
        self.pipelines.close()

    async def _end_calls(self):
        if not self.tasks:
            return
        _, overdue = await asyncio.wait(self.tasks, timeout=ANSWERS_SECONDS)
        for task in overdue:
            task.cancel()
        if overdue:
            raise NotJudged(f"{len(overdue)} calls had not ended {ANSWERS_SECONDS:g} s after "
                            "the traffic")

    async def _generate(self, kind, sessions, seconds):
        end = time.monotonic() + seconds
        due = time.monotonic()
        # A busy event loop must not stretch the traffic, whose requests then keep it busy.
        while max(due, time.monotonic()) < end:
            due += self.rng.expovariate(kind.per_second * self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.record.worst_lag = max(self.record.worst_lag, time.monotonic() - due)
            task = asyncio.ensure_future(self._call(kind, sessions))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _choose_instance(self, excluded, is_kept):
        usable = [each for each in self.instances if each is not excluded
                  and (each.is_ready or is_kept and each in self.connected)]
        return self.rng.choice(usable or self.instances)

    async def _call(self, kind, sessions):
        deadline = time.monotonic() + kind.deadline
        instance = None
        is_kept = kind.is_pipelined or self.rng.random() < self.deployment.kept_share
        session = self.pipelines if kind.is_pipelined else sessions[0 if is_kept else 1]
        repeats = kind.repeats if self.repeats is None else self.repeats
        for _ in range(1 + repeats):
            instance = self._choose_instance(instance, is_kept)
            status, pause = await self._send(kind, session, instance, deadline, is_kept)
            may_repeat = status is None and kind.is_idempotent or status in PROMISES or (
                kind.is_idempotent and status is not None and status >= 500)
            left = deadline - time.monotonic()
            if not may_repeat or left < 0.05:
                return
            if pause and pause <= left / 3:
                await asyncio.sleep(pause)

    async def _send(self, kind, session, instance, deadline, is_kept):
        attempt = f"{self.rng.getrandbits(64):016x}"
        host, path = self.routes.choose(kind, self.rng)
        left = deadline - time.monotonic()
        self.record.sent(attempt, kind, instance, path)
        self.record.behind = self.pipelines.behind
        url = f"http://{instance.ip}:{instance.ports['front']}{path}"
        # What the instance is told, which is up to 1 ms less than what is left.
        milliseconds = max(1, int(left * 1000))
        self.record.requests[attempt]["limit"] = min(milliseconds / 1000, kind.timeout)
        headers = {"Host": host, "X-Attempt-Id": attempt, "X-Timeout-Ms": str(milliseconds)}
        body = b"b" * kind.body_bytes if kind.body_bytes else None
        try:
            async with session.request(kind.method, url, headers=headers, data=body,
                                       allow_redirects=False,
                                       timeout=aiohttp.ClientTimeout(total=left + 0.2)) as answer:
                await answer.read()
                is_own = "X-Response-Signature" not in answer.headers
                self.record.answered(attempt, answer.status, is_own)
                if is_kept:
                    self._remember(instance, answer.headers.get("Connection") != "close")
                return answer.status, float(answer.headers.get("Retry-After", 0))
        except aiohttp.ClientConnectorError:
            self._remember(instance, False)
            self.record.not_connected(attempt)
            return None, 0.0
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            self._remember(instance, False)
            self.record.answered(attempt, None, True)
            return None, 0.0

    def _remember(self, instance, is_connected):
        if is_connected:
            self.connected.add(instance)
        else:
            self.connected.discard(instance)
