#!/usr/bin/env python3
"""A simulated executor of the platform for tests.

It sends heartbeats and accepts start, stop and renewal orders. A task runs no
program: it ends as done after TASK_MS, as stopped on a stop order, or as
lapsed when the lease expires.

Usage: fake_executor.py ID ADDRESS CONTROL[,CONTROL...] TASK_MS
Prints one line per task start ("start ID TASK ATTEMPT") and task end
("end ID TASK ATTEMPT HOW") for the tests to check.
"""
import json
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


class Executor:
    """The tasks of one incarnation of an executor.

    start, stop, renew and end need self.lock held by the caller. Lease times
    are in ms on this executor's own clock, see clock_ms.
    """

    def __init__(self, name, task_s):
        self.name = name
        self.task_s = task_s
        self.start_time_ms = int(time.time() * 1000)
        self.lock = threading.Condition()
        self.fencing_token = 0  # the highest seen
        self.expires_ms = 0
        self.running = {}  # task -> (attempt, end time in s)
        self.closed_attempts = {}  # task -> highest attempt ended or stopped
        self.ended = []  # ends not acknowledged yet, oldest first
        self.end_count = 0

    def clock_ms(self):
        return int(time.time() * 1000) - self.start_time_ms + 1

    def end(self, task, how):
        attempt, _ = self.running.pop(task)
        self.closed_attempts[task] = max(
            self.closed_attempts.get(task, 0), attempt)
        self.end_count += 1
        self.ended.append([self.end_count, task, attempt, how, ""])
        print("end", self.name, task, attempt, how, flush=True)
        self.lock.notify_all()

    def end_due_tasks(self):
        """Ends all tasks if the lease has expired, else those that are done.

        Takes the lock.
        """
        with self.lock:
            now = time.time()
            is_expired = 0 < self.expires_ms <= self.clock_ms()
            for task, (_, ends_at) in list(self.running.items()):
                if is_expired:
                    self.end(task, "lapsed")
                elif ends_at <= now:
                    self.end(task, "done")

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
        self.running[task] = (attempt, time.time() + self.task_s)
        print("start", self.name, task, attempt, flush=True)
        return 200, {}

    def stop(self, body):
        task = body["task"]
        self.closed_attempts[task] = max(
            self.closed_attempts.get(task, 0), body["attempt"])
        if task in self.running:
            self.end(task, "stopped")
        return 200, {}

    def renew(self, body):
        """Renews the lease and waits up to wait_ms for ended tasks.

        Answers with the running tasks and the ends after ack_cursor.
        """
        self.expires_ms = max(self.expires_ms, body.get("expires_ms", 0))
        self.ended = [e for e in self.ended if e[0] > body["ack_cursor"]]
        until = time.time() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.time() < until:
            self.lock.wait(until - time.time())
        return 200, {
            "running": [[t, a, "", 50, 0] for t, (a, _) in
                        self.running.items()],
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
            status, answer = executor.handle_order(self.path, body)
            data = json.dumps(answer).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_):
            pass

    return Handler


def send_heartbeats(executor, address, controls):
    """Sends heartbeats forever, trying the next control after a failure."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    index = 0
    seq = 0
    while True:
        seq += 1
        body = json.dumps({
            "service": "s", "address": address, "zone": "z", "version": "v1",
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
    executor = Executor(name, int(task_ms) / 1000)
    host, port = address.split(":")
    server = ThreadingHTTPServer((host, int(port)), make_handler(executor))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(target=send_heartbeats, daemon=True,
                     args=(executor, address, controls.split(","))).start()
    while True:
        executor.end_due_tasks()
        time.sleep(TICK_S)


main()
