#!/usr/bin/env python3
"""Stand-in for one life of an executor, by the users' PROTOCOL page.

It checks in, takes starts, stops, renewals and paces, and keeps its lease on
its own steady clock. A task runs no program. Its spec tells what it does:
"work=N" ends as done after N ms, "lasts" works until it is stopped, and
"gang=M work=N" is one of M tasks that work only together: they find each
other through files in the folder GANGS.

Usage: executor.py ID MACHINE ADDRESS SERVICE ZONE CPU CONTROL[,CONTROL...]
           [LISTEN [GANGS]]
LISTEN is where it listens, if not at ADDRESS, which it announces.
Each start, end and noted end is one line on standard output, with the time
on the machine's steady clock.
"""
import glob
import json
import os
import re
import socket
import sys
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BEAT_S = 1.1
ACK_S = 1.0  # a check-in is acknowledged within this time, or not at all
MAX_HOLD_MS = 6000
STOP_S = 0.1
TICK_S = 0.01
MEM_MB = 256000
LISTED_MAX = 500
PERCENT_DONE = 100
GANG_TIMEOUT_S = 3.0


def log(*words):
    sys.stdout.write(" ".join(map(str, (f"{time.monotonic():.3f}",) + words))
                     + "\n")
    sys.stdout.flush()


class Run:
    def __init__(self, body, gangs):
        self.task = body["task"]
        self.attempt = body["attempt"]
        self.started = time.monotonic()
        self.stops_at = None
        work = re.search(r"work=(\d+)", body["spec"])
        self.work_s = int(work[1]) / 1000 if work else None
        size = re.search(r"gang=(\d+)", body["spec"])
        self.size = int(size[1]) if size else 1
        step, _, index = self.task.rpartition(".")
        self.gang = os.path.join(gangs, f"{step}-{self.attempt}-")
        if self.size > 1:
            with open(self.gang + index, "w", encoding="utf-8") as out:
                out.write(f"{self.started:.6f}")

    def began(self):
        """When all members were present, or None."""
        if self.size == 1:
            return self.started
        times = []
        for path in glob.glob(self.gang + "[0-9]*"):
            with open(path, encoding="utf-8") as member:
                times.append(float(member.read() or "inf"))
        return max(times) if len(times) == self.size else None

    def break_gang(self):
        if self.size > 1:
            with open(self.gang + "broken", "w", encoding="utf-8"):
                pass

    def due(self, now):
        """How the run ends by itself now, or None."""
        began = self.began()
        if self.size > 1 and os.path.exists(self.gang + "broken"):
            return "broken"
        if began is None:
            return "alone" if now - self.started >= GANG_TIMEOUT_S else None
        if self.work_s is not None and now - began >= self.work_s:
            return "done"
        return None

    def percent(self):
        began = self.began()
        if began is None:
            return 0
        if self.work_s is None:
            return PERCENT_DONE
        return min(int(100 * (time.monotonic() - began) / self.work_s), 99)


class Executor:
    """Needs self.cond held by the caller, but for tick() and handle()."""

    def __init__(self, name, cpu, gangs):
        self.name = name
        self.gangs = gangs
        self.cpu = cpu
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.cond = threading.Condition()
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.needs = {}
        self.barred = {}
        self.ended = []
        self.n_ended = 0

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1

    def end(self, task, how):
        run = self.runs.pop(task)
        if how not in ("done", "broken"):
            run.break_gang()
        self.barred[task] = max(self.barred.get(task, 0), run.attempt)
        self.n_ended += 1
        self.ended.append([self.n_ended, task, run.attempt, how, ""])
        log("end", self.name, task, run.attempt, how, f"n={self.n_ended}")
        self.cond.notify_all()

    def extend(self, body):
        wanted = body.get("expires_ms", 0)
        limit = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(wanted, limit))

    def lapse(self):
        if self.runs and self.lease_ms <= self.clock_ms():
            for task in list(self.runs):
                self.end(task, "lapsed")

    def tick(self):
        with self.cond:
            self.lapse()
            now = time.monotonic()
            for task, run in list(self.runs.items()):
                if run.stops_at is not None and now >= run.stops_at:
                    self.end(task, "stopped")
                elif run.due(now) is not None:
                    self.end(task, run.due(now))

    def start(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            return 200, {}
        if attempt <= self.barred.get(task, 0) or run is not None:
            self.extend(body)
            return 409, {"reason": "old"}
        if body["expires_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body)
        self.runs[task] = Run(body, self.gangs)
        log("start", self.name, task, attempt, f"fence={self.fence}",
            f"spec={body['spec']}")
        return 200, {}

    def stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and \
                run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
            log("stop", self.name, task, attempt)
        return 200, {}

    def pace(self, body):
        return 200, {}

    def hold(self, body):
        self.extend(body)
        cursor = body["ack_cursor"]
        for row in self.ended:
            if row[0] <= cursor:
                log("noted", self.name, row[1], row[2], row[3], f"n={row[0]}")
        self.ended = [row for row in self.ended if row[0] > cursor]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.cond.wait(max(until - time.monotonic(), 0))
        rows = [[task, run.attempt, "", run.percent(), 0]
                for task, run in self.runs.items()]
        return 200, {"running": rows, "ended": self.ended[:LISTED_MAX]}

    def handle(self, path, body):
        calls = {"/run-start": self.start, "/run-stop": self.stop,
                 "/hold": self.hold, "/pace": self.pace}
        with self.cond:
            token = body.get("fencing_token", 0)
            if token < self.fence:
                status, answer = 409, {"reason": "fence"}
            else:
                self.fence = token
                self.lapse()
                status, answer = calls[path](body)
            return status, dict(answer, clock_ms=self.clock_ms(),
                                born=self.born)


def handler_of(executor):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self):
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP,
                                       socket.TCP_NODELAY, 1)

        def do_POST(self):
            body = json.loads(
                self.rfile.read(int(self.headers["Content-Length"])))
            target = self.headers.get("X-Jayrelay-Target-Instance")
            if target not in (None, executor.name):
                status, answer = 421, {}
            else:
                status, answer = executor.handle(self.path, body)
            data = json.dumps(answer).encode()
            try:
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
            except OSError:
                self.close_connection = True

        def do_GET(self):
            """For the script of a case only: how much of the lease is left."""
            with executor.cond:
                left_ms = executor.lease_ms - executor.clock_ms()
            data = str(left_ms).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_):
            pass

    return Handler


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # its caller has reset the channel


def check_in(executor, machine, address, service, zone, controls):
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    seq = 0
    at = sum(executor.name.encode()) % len(controls)
    while True:
        seq += 1
        body = {"service": service, "address": address, "zone": zone,
                "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "machine": machine,
                "capacity": {"cpu": executor.cpu, "mem_mb": MEM_MB,
                             "gpus": 0},
                "labels": ["a", "r1-1"], "clock_ms": executor.clock_ms(),
                "born": executor.born, "seq": seq}
        url = f"http://{controls[at]}/Executors.Heartbeat/{executor.name}"
        request = urllib.request.Request(
            url, json.dumps(body).encode(),
            {"Content-Type": "application/json"})
        try:
            opener.open(request, timeout=ACK_S).close()
            time.sleep(BEAT_S)
        except OSError:
            at = (at + 1) % len(controls)
            time.sleep(0.1)


def main():
    name, machine, address, service, zone, cpu, controls = sys.argv[1:8]
    listen = sys.argv[8] if len(sys.argv) > 8 else address
    executor = Executor(name, int(cpu),
                        sys.argv[9] if len(sys.argv) > 9 else "/tmp")
    host, port = listen.split(":")
    server = Server((host, int(port)), handler_of(executor))
    log("born", name, f"born={executor.born}", f"address={address}")
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(target=check_in, daemon=True,
                     args=(executor, machine, address, service, zone,
                           controls.split(","))).start()
    while True:
        executor.tick()
        time.sleep(TICK_S)


main()
