"""Faulty senders that write bytes without end until the other side closes."""

import asyncio

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TEXT = b"a" * 1000
# What a server may write in place of a response: a beginning, and then the same without end.
RESPONSES = (
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    (HEAD + b"A: ", TEXT),
    (CHUNKED + b"1;", TEXT),
    (CHUNKED, b"1;a=bbbbbbbbbbbbbbbbbbbb\r\nx\r\n"),
    (CHUNKED + b"0\r\n", b"A: " + TEXT + b"\r\n"),
    (CHUNKED, b"3e8\r\n" + TEXT + b"\r\n"),
    (HEAD + b"\r\n", TEXT),
    (HEAD + b"Content-Length: 90000000000\r\n\r\n", TEXT),
)
POST = b"POST /readyz HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = (
    (b"GET /readyz HTTP/1.1\r\nA: ", TEXT),
    (POST + b"1;", TEXT),
    (POST, b"0"),
    (POST, b"1;a=bbbbbbbbbbbbbbbbbbbb\r\nx\r\n"),
    (POST + b"0\r\n", b"A: " + TEXT + b"\r\n"),
)
BLOCK_BYTES = 64 * 1024
# A byte a second: no time limit of a single read ends it.
SLOW_PAUSE_SECONDS = 1.0


async def write(transport, begin, part, is_slow=False):
    if is_slow:
        data = begin + part
        for index in range(len(data)):
            if transport.is_closing():
                return
            transport.write(data[index:index + 1])
            await asyncio.sleep(SLOW_PAUSE_SECONDS)
    transport.write(begin)
    block = part * (BLOCK_BYTES // len(part) + 1)
    while not transport.is_closing():
        if transport.get_write_buffer_size() < BLOCK_BYTES:
            transport.write(block)
        await asyncio.sleep(0.001)


async def send(address, begin, part, is_slow=False):
    """Sends such a request on a connection of its own until it is closed."""
    reader, writer = await asyncio.open_connection(*address)
    ended = asyncio.ensure_future(reader.read())
    written = asyncio.ensure_future(write(writer.transport, begin, part, is_slow))
    await asyncio.wait((ended, written), return_when=asyncio.FIRST_COMPLETED)
    written.cancel()
    writer.close()
