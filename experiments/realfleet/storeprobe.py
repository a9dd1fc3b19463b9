"""Measures how late the stand-in of the store answers, as its readers meet it."""

import http.client
import threading
import time

PAUSE_SECONDS = 0.2
LIMIT_SECONDS = 10


class StoreProbe(threading.Thread):
    """Reads all records now and then, from a thread of its own: what the event loop takes for a
    request in all its turns is seen here, not the pauses that a plan asks for."""

    def __init__(self, host, port, expected_seconds):
        super().__init__(daemon=True)
        self.connection = http.client.HTTPConnection(host, port, timeout=LIMIT_SECONDS)
        self.expected_seconds = expected_seconds
        self.ended = threading.Event()
        self.begun = None
        self.worst = 0.0

    def run(self):
        while not self.ended.wait(PAUSE_SECONDS):
            self.begun = time.monotonic()
            try:
                self.connection.request("GET", "/probe")
                self.connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                self.connection.close()
            self.worst, self.begun = self.worst_lag(), None
        self.connection.close()

    def worst_lag(self):
        """Returns seconds, with those of a read that has not been answered yet."""
        begun = self.begun
        current = time.monotonic() - begun - self.expected_seconds if begun else 0.0
        return max(self.worst, current)

    def stop(self):
        self.ended.set()
