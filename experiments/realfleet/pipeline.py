"""A client that sends further requests on a connection before the first one is answered."""

import asyncio
import collections
import contextlib
import types

import aiohttp

# Requests without a response, on one connection.
MOST_UNANSWERED = 4
CONNECTIONS_PER_ADDRESS = 3


class Response:
    """The part of aiohttp's response that callers use."""

    def __init__(self, status, headers):
        self.status, self.headers = status, headers

    async def read(self):
        return b""


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.waiting = []  # futures of the responses, in the order of the requests
        self.is_closing = False
        self.task = asyncio.ensure_future(self._receive())

    async def _receive(self):
        try:
            while not self.is_closing:
                response = await self._read_response()
                self.is_closing = response.headers.get("Connection") == "close"
                if not self.waiting:
                    break
                waiting = self.waiting.pop(0)
                if not waiting.done():
                    waiting.set_result(response)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.close()

    async def _read_response(self):
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        headers = {name.title(): value for name, value in headers.items()}
        if headers.get("Transfer-Encoding") == "chunked":
            while size := int(await self.reader.readline(), 16):
                await self.reader.readexactly(size + 2)
            await self.reader.readline()
        else:
            await self.reader.readexactly(int(headers.get("Content-Length", 0)))
        return Response(int(lines[0].split()[1]), headers)

    async def request(self, data):
        waiting = asyncio.get_running_loop().create_future()
        self.waiting.append(waiting)
        self.writer.write(data)
        return await waiting

    def close(self):
        self.is_closing = True
        self.writer.close()
        for waiting in self.waiting:
            if not waiting.done():
                waiting.set_exception(aiohttp.ServerDisconnectedError())
        self.waiting.clear()


class Pipelines:
    """Has `request` as aiohttp's session has it, as far as callers use it."""

    def __init__(self, rng):
        self.rng = rng
        self.connections = {}  # (host, port) -> connections
        self.locks = collections.defaultdict(asyncio.Lock)
        # The ids of requests that were sent behind another one on their connection.
        self.behind = set()

    async def _connect(self, address):
        async with self.locks[address]:
            return await self._choose(address)

    async def _choose(self, address):
        known = [each for each in self.connections.get(address, ()) if not each.is_closing]
        self.connections[address] = known
        usable = [each for each in known if len(each.waiting) < MOST_UNANSWERED]
        if usable and len(known) >= CONNECTIONS_PER_ADDRESS:
            return self.rng.choice(usable)
        try:
            known.append(Connection(*await asyncio.open_connection(*address)))
        except OSError as error:
            key = types.SimpleNamespace(host=address[0], port=address[1], ssl=None)
            raise aiohttp.ClientConnectorError(key, error) from error
        return known[-1]

    @contextlib.asynccontextmanager
    async def request(self, method, url, headers, timeout, **_options):
        host, _, path = url.partition("://")[2].partition("/")
        name, _, port = host.partition(":")
        lines = [f"{method} /{path} HTTP/1.1", *(f"{key}: {value}" for key, value in
                                                headers.items())]
        data = ("\r\n".join(lines) + "\r\n\r\n").encode()

        async def exchange():
            connection = await self._connect((name, int(port)))
            if connection.waiting:
                self.behind.add(headers.get("X-Attempt-Id"))
            return await connection.request(data)

        yield await asyncio.wait_for(exchange(), timeout.total)

    def close(self):
        for connections in self.connections.values():
            for connection in connections:
                connection.close()
                connection.task.cancel()
