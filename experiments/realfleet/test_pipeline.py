"""Requests that share a connection with others that are not answered yet."""

import asyncio
import random
import unittest

import aiohttp

from realfleet.pipeline import CONNECTIONS_PER_ADDRESS, Pipelines

TIMEOUT = aiohttp.ClientTimeout(total=2)


class PipelinesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.paths, self.connections = [], 0
        self.answers = asyncio.Event()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.pipelines = Pipelines(random.Random(1))

    async def asyncTearDown(self):
        self.pipelines.close()
        self.server.close()

    async def serve(self, reader, writer):
        """Answers only once it is told to, with the path of each request."""
        self.connections += 1
        unanswered = []

        async def answer():
            await self.answers.wait()
            for path in unanswered:
                writer.write(f"HTTP/1.1 {path} OK\r\ncontent-length: 2\r\n\r\nab".encode())

        asyncio.ensure_future(answer())
        while line := (await reader.readuntil(b"\r\n\r\n")).decode():
            unanswered.append(line.split()[1][1:])
            self.paths.append(unanswered[-1])

    async def send(self, path):
        url = f"http://127.0.0.1:{self.port}/{path}"
        async with self.pipelines.request("GET", url, headers={"Host": "a", "X-Attempt-Id": str(path)},
                                          timeout=TIMEOUT) as answer:
            return answer.status

    async def test_requests_are_sent_before_the_first_one_is_answered_and_get_their_own_answers(self):
        sent = [asyncio.ensure_future(self.send(200 + index)) for index in range(8)]
        while len(self.paths) < len(sent):
            await asyncio.sleep(0.01)
        self.assertLessEqual(self.connections, CONNECTIONS_PER_ADDRESS + 1)
        self.answers.set()
        self.assertEqual(list(range(200, 208)), await asyncio.gather(*sent))
        self.assertEqual(len(sent) - self.connections, len(self.pipelines.behind))

    async def test_a_port_that_refuses_connections_is_told_apart_from_a_lost_answer(self):
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.send(200)


if __name__ == "__main__":
    unittest.main()
