"""A loopback TCP proxy that injects faults into the connections that it forwards."""

import asyncio
import socket
import struct
import threading

CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _Connection:
    """A proxied connection: the accepted side (downstream) and the opened side (upstream)."""

    def __init__(self, downstream, upstream):
        self.downstream = downstream
        self.upstream = upstream
        # While set, received data is discarded and the connection stays open.
        self.is_silent = False

    def reset(self):
        for writer in (self.downstream, self.upstream):
            raw_socket = writer.get_extra_info("socket")
            if raw_socket is not None and raw_socket.fileno() >= 0:
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


class Proxy:
    """Forwards connections from one address to another on its own thread."""

    def __init__(self, listen_address, upstream_address):
        self._listen_address = listen_address.rsplit(":", 1)
        self._upstream_address = upstream_address.rsplit(":", 1)
        self._connections = set()
        self._delay_s = 0.0
        # While set, responses are discarded; requests are still forwarded.
        self._drops_responses = False
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        if not self._started.wait(10.0):
            raise RuntimeError("the proxy at %s did not start within 10 s" % listen_address)

    def set_delay(self, seconds):
        self._loop.call_soon_threadsafe(setattr, self, "_delay_s", seconds)

    def set_responses_dropped(self, is_dropping):
        self._loop.call_soon_threadsafe(setattr, self, "_drops_responses", is_dropping)

    def reset_connections(self):
        """Resets the currently open connections."""
        self._loop.call_soon_threadsafe(
            lambda: [connection.reset() for connection in list(self._connections)])

    def silence_connections(self):
        """Discards all further data on the currently open connections; new ones work normally."""
        self._loop.call_soon_threadsafe(
            lambda: [setattr(connection, "is_silent", True) for connection in self._connections])

    def stop(self):
        """Resets all connections and stops the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, self._listen_address[0],
                                 int(self._listen_address[1])))
        self._started.set()
        self._loop.run_forever()
        server.close()
        for connection in list(self._connections):
            connection.reset()
        pending_tasks = asyncio.all_tasks(self._loop)
        for task in pending_tasks:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*pending_tasks, return_exceptions=True))
        self._loop.close()

    async def _serve(self, reader, writer):
        try:
            upstream_reader, upstream = await asyncio.open_connection(
                self._upstream_address[0], int(self._upstream_address[1]))
        except OSError:
            # The upstream refused the connection; downstream sees a reset.
            writer.transport.abort()
            return
        connection = _Connection(writer, upstream)
        self._connections.add(connection)
        try:
            await asyncio.gather(self._forward(connection, reader, upstream, False),
                                 self._forward(connection, upstream_reader, writer, True))
        except asyncio.CancelledError:
            connection.reset()
        finally:
            self._connections.discard(connection)
            connection.downstream.close()
            connection.upstream.close()

    async def _forward(self, connection, source, sink, is_response):
        try:
            while data := await source.read(CHUNK_BYTES):
                if self._delay_s > 0:
                    await asyncio.sleep(self._delay_s)
                if connection.is_silent or (is_response and self._drops_responses):
                    continue
                sink.write(data)
                await sink.drain()
            # Forwards the half-close; a silent connection does not forward it.
            if not connection.is_silent and sink.can_write_eof():
                sink.write_eof()
        except OSError:
            connection.reset()
