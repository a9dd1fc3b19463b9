"""A loopback TCP proxy that harms the connections which go through it."""

import asyncio
import socket
import struct
import threading

CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _Link:
    """One connection through the proxy."""

    def __init__(self, caller, target):
        self.caller = caller
        self.target = target
        # Bytes that arrive while set are lost and nothing else happens.
        self.is_silent = False

    def reset(self):
        for writer in (self.caller, self.target):
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


class Proxy:
    """Forwards connections from one address to another, on a thread of its own."""

    def __init__(self, listen, real):
        self._listen = listen.rsplit(":", 1)
        self._real = real.rsplit(":", 1)
        self._links = set()
        self._delay_s = 0.0
        # Answers are lost while requests still arrive.
        self._is_one_way = False
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        if not self._started.wait(10.0):
            raise RuntimeError("the proxy at %s did not start" % listen)

    def set_delay(self, seconds):
        self._loop.call_soon_threadsafe(setattr, self, "_delay_s", seconds)

    def set_one_way(self, is_one_way):
        self._loop.call_soon_threadsafe(setattr, self, "_is_one_way", is_one_way)

    def reset_all(self):
        """Resets the connections that are open now."""
        self._loop.call_soon_threadsafe(lambda: [link.reset() for link in list(self._links)])

    def silence_all(self):
        """Makes the connections that are open now silent for good; new ones work."""
        self._loop.call_soon_threadsafe(
            lambda: [setattr(link, "is_silent", True) for link in self._links])

    def end(self):
        """Resets all connections and stops the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, self._listen[0], int(self._listen[1])))
        self._started.set()
        self._loop.run_forever()
        server.close()
        for link in list(self._links):
            link.reset()
        left = asyncio.all_tasks(self._loop)
        for task in left:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        self._loop.close()

    async def _serve(self, reader, writer):
        try:
            target_reader, target = await asyncio.open_connection(
                self._real[0], int(self._real[1]))
        except OSError:
            # The caller sees a refused connection as a reset one.
            writer.transport.abort()
            return
        link = _Link(writer, target)
        self._links.add(link)
        try:
            await asyncio.gather(self._forward(link, reader, target, False),
                                 self._forward(link, target_reader, writer, True))
        except asyncio.CancelledError:
            link.reset()
        finally:
            self._links.discard(link)
            link.caller.close()
            link.target.close()

    async def _forward(self, link, source, sink, is_answer):
        try:
            while data := await source.read(CHUNK_BYTES):
                if self._delay_s > 0:
                    await asyncio.sleep(self._delay_s)
                if link.is_silent or (is_answer and self._is_one_way):
                    continue
                sink.write(data)
                await sink.drain()
            # The end of one direction; a silent connection tells nothing.
            if not link.is_silent and sink.can_write_eof():
                sink.write_eof()
        except OSError:
            link.reset()
