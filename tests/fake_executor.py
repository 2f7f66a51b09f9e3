#!/usr/bin/env python3
"""A simulated executor of the platform for tests.

It sends heartbeats and accepts start, stop and renewal orders. A task runs no
program: it ends as done after TASK_MS, as stopped on a stop order, or as
lapsed when the lease expires. A spec "ms=N" gives the task N ms of work, the
spec "lasts" no end of its own.

Usage: fake_executor.py ID ADDRESS CONTROL[,CONTROL...] TASK_MS
Prints one line per task start ("start ID TASK ATTEMPT TIME SPEC"), task end
("end ID TASK ATTEMPT HOW TIME") and end as done that was acknowledged while
the lease lasted ("noted ID TASK ATTEMPT TIME") for the tests to check. Times
are in s on the machine's steady clock. A lapsed run ends when its lease did,
also if the executor was paused then.

The environment variable FAKE_EXECUTOR_FAULT makes it misbehave, to test the
tests: "ignore-lease" runs on after the lease, "drop-end" lists a done task as
running forever.
"""
import json
import os
import sys
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

CPU_MILLI = 4000
HEARTBEAT_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.1  # after a heartbeat that was not answered
TICK_S = 0.01  # between two looks for tasks that are due to end
STOP_S = 0.1


def log(*words):
    """Prints one line in one write, so that no other output can split it."""
    sys.stdout.write(" ".join(map(str, words)) + "\n")
    sys.stdout.flush()


class Executor:
    """The tasks of one incarnation of an executor.

    start, stop, renew and end need self.lock held by the caller. Lease times
    are in ms on this executor's own clock, see clock_ms.
    """

    def __init__(self, name, task_s):
        self.name = name
        self.task_s = task_s
        self.fault = os.environ.get("FAKE_EXECUTOR_FAULT", "")
        self.start_time_ms = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.lock = threading.Condition()
        self.fencing_token = 0  # the highest seen
        self.expires_ms = 0
        self.running = {}  # task -> (attempt, end time in s or None)
        self.closed_attempts = {}  # task -> highest attempt ended or stopped
        self.ended = []  # ends not acknowledged yet, oldest first
        self.ended_in_lease = set()  # numbers of those since the last lapse
        self.end_count = 0

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1

    def end(self, task, how, ended_at):
        attempt, _ = self.running[task]
        log("end", self.name, task, attempt, how, "%.4f" % ended_at)
        if how == "done" and self.fault == "drop-end":
            self.running[task] = (attempt, None)
            return
        del self.running[task]
        self.closed_attempts[task] = max(
            self.closed_attempts.get(task, 0), attempt)
        self.end_count += 1
        self.ended.append([self.end_count, task, attempt, how, ""])
        self.ended_in_lease.add(self.end_count)
        self.lock.notify_all()

    def end_lapsed_tasks(self):
        """Ends all tasks if the lease has expired.

        Needs self.lock, and is called before any order is looked at: an order
        that arrived while the process was paused can't extend an old lease.
        """
        if not 0 < self.expires_ms <= self.clock_ms():
            return
        self.ended_in_lease.clear()
        if self.fault == "ignore-lease":
            return
        for task in list(self.running):
            self.end(task, "lapsed",
                     self.started_at + (self.expires_ms - 1) / 1000)

    def end_due_tasks(self):
        """Ends all tasks if the lease has expired, else those that are done.

        Takes the lock.
        """
        with self.lock:
            self.end_lapsed_tasks()
            now = time.monotonic()
            for task, (_, ends_at) in list(self.running.items()):
                if ends_at is not None and ends_at <= now:
                    self.end(task, "done", now)

    def work_s(self, spec):
        if spec == "lasts":
            return None
        return int(spec[3:]) / 1000 if spec[:3] == "ms=" else self.task_s

    def start(self, body):
        task, attempt = body["task"], body["attempt"]
        current = self.running.get(task)
        if current is not None and current[0] == attempt:
            return 200, {}
        if attempt <= self.closed_attempts.get(task, 0):
            return 409, {"reason": "old"}
        if body["expires_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        if len(self.running) * 1000 >= CPU_MILLI:
            return 409, {"reason": "room"}
        self.expires_ms = max(self.expires_ms, body["expires_ms"])
        now = time.monotonic()
        work_s = self.work_s(body["spec"])
        self.running[task] = (attempt, None if work_s is None
                              else now + work_s)
        log("start", self.name, task, attempt, "%.4f" % now, body["spec"])
        return 200, {}

    def stop(self, body):
        task = body["task"]
        self.closed_attempts[task] = max(
            self.closed_attempts.get(task, 0), body["attempt"])
        if task in self.running:
            self.end(task, "stopped", time.monotonic())
        return 200, {}

    def forget_ends(self, ack_cursor):
        for number, task, attempt, how, _ in self.ended:
            if (number <= ack_cursor and how == "done"
                    and number in self.ended_in_lease):
                log("noted", self.name, task, attempt,
                    "%.4f" % time.monotonic())
        self.ended = [e for e in self.ended if e[0] > ack_cursor]

    def renew(self, body):
        """Renews the lease and waits up to wait_ms for ended tasks.

        Answers with the running tasks and the ends after ack_cursor.
        """
        self.expires_ms = max(self.expires_ms, body.get("expires_ms", 0))
        self.forget_ends(body["ack_cursor"])
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            self.lock.wait(max(until - time.monotonic(), 0))
        return 200, {
            "running": [[t, a, "", 100 if ends_at is None else 50, 0]
                        for t, (a, ends_at) in self.running.items()],
            "ended": self.ended,
        }

    def handle_order(self, path, body):
        """Returns the status and answer; refuses an older fencing token.

        Takes the lock.
        """
        with self.lock:
            token = body.get("fencing_token", 0)
            if token < self.fencing_token:
                return 409, {"reason": "fence", "clock_ms": self.clock_ms()}
            self.fencing_token = token
            self.end_lapsed_tasks()
            handlers = {"/run-start": self.start, "/run-stop": self.stop,
                        "/hold": self.renew}
            status, answer = handlers[path](body)
            answer["clock_ms"] = self.clock_ms()
            answer["born"] = self.start_time_ms
            return status, answer


def make_handler(executor):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):
            length = int(self.headers["Content-Length"])
            body = json.loads(self.rfile.read(length))
            target = self.headers.get("X-Jayrelay-Target-Instance")
            if target is not None and target != executor.name:
                status, answer = 421, {}
            else:
                status, answer = executor.handle_order(self.path, body)
            data = json.dumps(answer).encode()
            try:
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
            except ConnectionError:  # the caller has given the order up
                self.close_connection = True

        def log_message(self, *_):
            pass

    return Handler


def send_heartbeats(executor, address, zone, controls):
    """Sends heartbeats forever, trying the next control after a failure."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    index = 0
    seq = 0
    while True:
        seq += 1
        body = json.dumps({
            "service": "s", "address": address, "zone": zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": CPU_MILLI, "mem_mb": 1000, "gpus": 0},
            "labels": ["a", "r1"], "clock_ms": executor.clock_ms(),
            "born": executor.start_time_ms, "machine": "m-" + executor.name,
            "seq": seq}).encode()
        url = "http://%s/Executors.Heartbeat/%s" % (
            controls[index % len(controls)], executor.name)
        try:
            opener.open(urllib.request.Request(url, body), timeout=1).close()
            time.sleep(HEARTBEAT_INTERVAL_S)
        except OSError:
            index += 1
            time.sleep(RETRY_DELAY_S)


def main():
    name, address, controls, task_ms = sys.argv[1:5]
    zone = sys.argv[5] if len(sys.argv) > 5 else "z"
    executor = Executor(name, int(task_ms) / 1000)
    host, port = address.split(":")
    server = ThreadingHTTPServer((host, int(port)), make_handler(executor))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(target=send_heartbeats, daemon=True,
                     args=(executor, address, zone,
                           controls.split(","))).start()
    while True:
        executor.end_due_tasks()
        time.sleep(TICK_S)


main()
