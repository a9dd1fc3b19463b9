"""What callers, targets and the store have seen in one run."""

import time


class Record:
    """Times are those of the monotonic clock, in seconds."""

    def __init__(self, deployment):
        self.work_by_kind = {kind.name: kind.work for kind in deployment.kinds}
        self.requests = {}  # id -> dict
        self.arrivals = []  # (time, id, target, service)
        self.runs = {}  # id -> [[begin, end or None]]
        self.leaving = {}  # target -> time at which the store acknowledged that it leaves
        self.zones = {}  # target -> zone
        self.evacuations = []  # [zone, time of the acknowledgement, when taken back or None]
        # {"services": those of which all records lapsed, "begin", "returned": of the store or None}
        self.lapses = []
        self.behind = set()  # requests that were sent behind another one on their connection
        # instance -> time from which on another process answers at its address
        self.replaced = {}
        self.foreign_targets = set()  # names of the targets of a second fleet
        # Whether the processes at those addresses have a store of their own.
        self.has_second_store = True
        # (time, id, target, instance) of requests that ran at a target of the other fleet
        self.crossed = []
        self.worst_lag = 0.0
        # What a plan has measured, by name.
        self.notes = {}

    def sent(self, attempt, kind, instance, path):
        self.requests[attempt] = {"sent": time.monotonic(), "kind": kind.name,
                                  "service": kind.service, "instance": instance.name,
                                  "path": path, "status": None, "is_own": False, "ended": None,
                                  "is_refused": False}

    def answered(self, attempt, status, is_own):
        self.requests[attempt].update(status=status, is_own=is_own, ended=time.monotonic())

    def not_connected(self, attempt):
        """No connection was opened, so that no instance has read the request."""
        self.requests[attempt].update(ended=time.monotonic(), is_refused=True)

    def arrived(self, attempt, target, service, when):
        self.arrivals.append((when, attempt, target, service))

    def run_began(self, attempt):
        run = [time.monotonic(), None]
        self.runs.setdefault(attempt, []).append(run)
        return run

    def target_left(self, target, acknowledged):
        self.leaving.setdefault(target, acknowledged)

    def work(self, attempt):
        request = self.requests.get(attempt)
        return self.work_by_kind[request["kind"]] if request else 0.1

    def leave_out_from_now(self, instance):
        self.replaced.setdefault(instance, time.monotonic())

    def leave_out_replaced(self):
        """Drops what was sent to an instance after it was lost and its address went to another."""
        left_out = {attempt for attempt, each in self.requests.items()
                    if each["sent"] >= self.replaced.get(each["instance"], float("inf"))}
        self.notes.update({"left out": len(left_out)} if self.replaced else {})
        self.crossed = [(when, attempt, target, self.requests[attempt]["instance"])
                        for when, attempt, target, _ in self.arrivals if attempt in self.requests
                        and self._is_crossing(attempt in left_out, target in self.foreign_targets)]
        self.requests = {attempt: each for attempt, each in self.requests.items()
                         if attempt not in left_out}
        self.arrivals = [each for each in self.arrivals if each[1] not in left_out]

    def _is_crossing(self, is_of_second, is_at_second):
        if is_of_second:
            return not is_at_second and self.has_second_store
        return is_at_second
