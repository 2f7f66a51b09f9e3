"""Stand-in for executors, after PROTOCOL.md ("Running tasks", "Service
discovery").

Usage: executor.py CONTROL[,CONTROL...] ID=ADDRESS...

One process hosts one or more executors, so that the members of a gang find
each other. Spec of a task, words in any order: "ms=N" its work, "lasts" no
end, "cpu=N" what it takes of the executor, "gang=N" members of its gang,
"saves" it has checkpoints.

A gang works once all its members are there and carry the same checkpoint;
one that waits longer than GANG_TIMEOUT_MS ends alone, and when a member of a
working gang goes, the others end broken.

Prints a line for each start, end and end that was acknowledged. Takes
commands on standard input:
  crash ID   it holds and knows nothing, and refuses connections
  begin ID   its next life
  drain ID   its check-ins say from now on that it drains
  cut ID     no order reaches it: connections to it are refused; it runs on
  leave ID   it sends its leave request, and does not get the answer
  end ID     it has left: what runs there terminates, and the port is closed
"""
import http.client
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

CPU_MILLI = 4000
HEARTBEAT_S = 1.1
TICK_S = 0.01
CHECKPOINT_MS = 500
RESTORE_MS = 250
GANG_TIMEOUT_MS = 3000
STARTUP_MS = 400  # of a task that lasts
LOCK = threading.Condition()


def log(*words):
    sys.stdout.write(" ".join(map(str, words)) + "\n")
    sys.stdout.flush()


def words_of(spec):
    pairs = (word.partition("=") for word in spec.split())
    return {key: int(value) if value else 1 for key, _, value in pairs}


class Run:
    """A task at work, or a member of a gang."""

    def __init__(self, body, now):
        self.task = body["task"]
        self.attempt = body["attempt"]
        self.checkpoint = body.get("checkpoint", "")
        self.started_at = now
        words = words_of(body["spec"])
        self.lasts = "lasts" in words
        self.saves = "saves" in words
        self.work_ms = words.get("ms", 1000)
        self.cpu = words.get("cpu", 1000)
        self.gang_size = words.get("gang", 1)
        restored = int(self.checkpoint[:8] or 0)
        self.done_before_ms = restored
        self.works_since = None if self.gang_size > 1 else self._begins(now)

    def _begins(self, now):
        return now + (RESTORE_MS / 1000 if self.checkpoint else 0)

    def begin_work(self, now):
        self.works_since = self._begins(now)

    def gang(self):
        return self.task.rpartition(".")[0], self.attempt

    def done_ms(self, now):
        if self.works_since is None:
            return self.done_before_ms
        return self.done_before_ms + max(
            int((now - self.works_since) * 1000), 0)

    def saved(self, now):
        if not self.saves:
            return ""
        steps = self.done_ms(now) // CHECKPOINT_MS
        return "%08d" % (steps * CHECKPOINT_MS) if steps else self.checkpoint

    def percent(self, now):
        if self.lasts:
            at_work = (now - self.started_at) * 1000 >= STARTUP_MS
            return 100 if at_work else 0
        return min(int(100 * self.done_ms(now) / self.work_ms), 100)


class Executor:
    """One life of an executor. Its methods need LOCK held."""

    def __init__(self, name):
        self.name = name
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.is_dead = False
        self.is_cut = False
        self.state = "ready"
        self.fence = 0
        self.expires_ms = 0
        self.running = {}
        self.closed = {}  # task -> highest attempt that was stopped or ended
        self.ended = []
        self.n_ends = 0
        self.seq = 0

    def is_lost(self):
        return self.is_dead or self.is_cut

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def close_attempt(self, task, attempt):
        self.closed[task] = max(self.closed.get(task, 0), attempt)

    def end(self, run, how, now):
        del self.running[run.task]
        self.close_attempt(run.task, run.attempt)
        self.n_ends += 1
        self.ended.append([self.n_ends, run.task, run.attempt, how,
                           run.saved(now)])
        log("end", self.name, run.task, run.attempt, how, "%.4f" % now,
            run.saved(now) or "-")
        LOCK.notify_all()
        if run.gang_size > 1 and how not in ("broken", "done", "alone"):
            break_gang(run, now)

    def lapse_if_due(self, now):
        if 0 < self.expires_ms <= self.clock_ms():
            for run in list(self.running.values()):
                if run.task in self.running:
                    self.end(run, "lapsed", now)

    def start(self, body, now):
        task, attempt = body["task"], body["attempt"]
        current = self.running.get(task)
        if current is not None and current.attempt == attempt:
            return 200, {}
        if attempt <= self.closed.get(task, 0):
            self.expires_ms = max(self.expires_ms, body["expires_ms"])
            return 409, {"reason": "old"}
        if body["expires_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.expires_ms = max(self.expires_ms, body["expires_ms"])
        run = Run(body, now)
        used = sum(other.cpu for other in self.running.values())
        if current is not None or used + run.cpu > CPU_MILLI:
            return 409, {"reason": "room"}
        self.running[task] = run
        log("start", self.name, task, attempt, "%.4f" % now,
            body.get("checkpoint", "") or "-", body["spec"])
        return 200, {}

    def stop(self, body, now):
        self.close_attempt(body["task"], body["attempt"])
        run = self.running.get(body["task"])
        if run is not None and run.attempt <= body["attempt"]:
            self.end(run, "stopped", now)
        return 200, {}

    def hold(self, body):
        self.expires_ms = max(self.expires_ms, body.get("expires_ms", 0))
        for number, task, attempt, how, _ in self.ended:
            if number <= body["ack_cursor"]:
                log("noted", self.name, task, attempt, how,
                    "%.4f" % time.monotonic())
        self.ended = [e for e in self.ended if e[0] > body["ack_cursor"]]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while (not self.ended and not self.is_lost()
               and time.monotonic() < until):
            LOCK.wait(max(until - time.monotonic(), 0))
        now = time.monotonic()
        return 200, {
            "running": [[run.task, run.attempt, run.saved(now),
                         run.percent(now), run.cpu]
                        for run in self.running.values()],
            "ended": self.ended[:500],
        }

    def handle(self, path, body):
        now = time.monotonic()
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"reason": "fence", "clock_ms": self.clock_ms()}
        self.fence = token
        self.lapse_if_due(now)
        if path == "/run-start":
            status, answer = self.start(body, now)
        elif path == "/run-stop":
            status, answer = self.stop(body, now)
        elif path == "/hold":
            status, answer = self.hold(body)
        else:  # a pace changes nothing here
            status, answer = 200, {}
        answer["clock_ms"] = self.clock_ms()
        answer["born"] = self.born
        return status, answer


class Host:
    """A machine: its address, its server and the present life."""

    def __init__(self, name, address):
        self.name = name
        self.address = address
        self.server = None
        self.executor = None

    def begin(self):
        ip, port = self.address.split(":")
        with LOCK:
            self.executor = Executor(self.name)
            handler = make_handler(self.executor)
        self.server = ThreadingHTTPServer((ip, int(port)), handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True,
                         kwargs={"poll_interval": 0.05}).start()
        threading.Thread(target=send_heartbeats, daemon=True,
                         args=(self.executor, self.address)).start()
        log("life", self.name, self.executor.born,
            "%.4f" % time.monotonic())

    def leave(self):
        with LOCK:
            body = json.dumps({"born": self.executor.born})
        for control in CONTROLS:
            ip, port = control.split(":")
            connection = http.client.HTTPConnection(ip, int(port), timeout=1)
            try:
                connection.request(
                    "POST", "/Executors.Deregister/" + self.name, body,
                    {"Content-Type": "application/json"})
                log("leave", self.name, control, "%.4f" % time.monotonic(),
                    "status", connection.getresponse().status)
                break  # but the answer is lost on its way
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()

    def cut(self):
        with LOCK:
            self.executor.is_cut = True
            LOCK.notify_all()
        self.close_port()
        log("cut", self.name, "%.4f" % time.monotonic())

    def close_port(self):
        if self.server is not None:
            self.server.shutdown()
            self.server.server_close()
            self.server = None

    def crash(self):
        with LOCK:
            now = time.monotonic()
            self.executor.is_dead = True
            for run in list(self.executor.running.values()):
                del self.executor.running[run.task]
                log("end", self.name, run.task, run.attempt, "crashed",
                    "%.4f" % now, "-")
                if run.gang_size > 1:
                    break_gang(run, now)
            LOCK.notify_all()
        self.close_port()
        log("crash", self.name, "%.4f" % time.monotonic())


HOSTS = {}
CONTROLS = []


def members_of(gang):
    """Pairs of executor and run of a gang's members that are there."""
    found = []
    for host in HOSTS.values():
        if host.executor is None or host.executor.is_dead:
            continue
        found += [(host.executor, run)
                  for run in host.executor.running.values()
                  if run.gang_size > 1 and run.gang() == gang]
    return found


def break_gang(lost, now):
    """The others of a working gang end when a member has gone."""
    for executor, run in members_of(lost.gang()):
        if run.works_since is not None:
            executor.end(run, "broken", now)


def tick_gang(members, now):
    run = members[0][1]
    is_whole = len(members) == run.gang_size
    if run.works_since is None:
        checkpoints = {other.checkpoint for _, other in members}
        if is_whole and len(checkpoints) == 1:
            for _, other in members:
                other.begin_work(now)
            return
        for executor, other in members:
            if (now - other.started_at) * 1000 >= GANG_TIMEOUT_MS:
                if is_whole:
                    log("unequal", " ".join(
                        sorted(other.checkpoint or "-"
                               for _, other in members)))
                executor.end(other, "alone", now)
    elif run.done_ms(now) >= run.work_ms:
        for executor, other in members:
            executor.end(other, "done", now)


def tick():
    now = time.monotonic()
    gangs = set()
    for host in HOSTS.values():
        executor = host.executor
        if executor is None or executor.is_dead:
            continue
        executor.lapse_if_due(now)
        for run in list(executor.running.values()):
            if run.gang_size > 1:
                gangs.add(run.gang())
            elif not run.lasts and run.done_ms(now) >= run.work_ms:
                executor.end(run, "done", now)
    for gang in gangs:
        members = members_of(gang)
        if members:
            tick_gang(members, now)


def make_handler(executor):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):
            body = json.loads(self.rfile.read(
                int(self.headers["Content-Length"])))
            target = self.headers.get("X-Jayrelay-Target-Instance")
            if target is not None and target != executor.name:
                status, answer = 421, {}
            else:
                with LOCK:
                    status, answer = (0, {}) if executor.is_lost() \
                        else executor.handle(self.path, body)
                    if executor.is_lost():
                        status = 0
            if status == 0:
                self.close_connection = True
                return
            data = json.dumps(answer).encode()
            try:
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
            except OSError:  # the caller has given the order up
                self.close_connection = True

        def log_message(self, *_):
            pass

    return Handler


def check_in(executor, address, control):
    executor.seq += 1
    ip, port = control.split(":")
    body = {"service": "s", "address": address, "zone": "za",
            "version": "v1", "slots": 8, "state": executor.state,
            "cold_remaining_ms": 0, "clock_ms": executor.clock_ms(),
            "capacity": {"cpu": CPU_MILLI, "mem_mb": 32000, "gpus": 0},
            "labels": ["a", "r1"], "born": executor.born,
            "machine": "m-" + executor.name, "seq": executor.seq}
    connection = http.client.HTTPConnection(ip, int(port), timeout=1)
    try:
        connection.request("POST", "/Executors.Heartbeat/" + executor.name,
                           json.dumps(body),
                           {"Content-Type": "application/json"})
        return 200 <= connection.getresponse().status < 300
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def send_heartbeats(executor, address):
    index = 0
    while not executor.is_lost():
        if check_in(executor, address, CONTROLS[index % len(CONTROLS)]):
            time.sleep(HEARTBEAT_S)
        else:
            index += 1
            time.sleep(0.1)


def read_commands():
    for line in sys.stdin:
        command, name = line.split()
        host = HOSTS[name]
        if command in ("crash", "end"):
            host.crash()
        elif command == "begin":
            host.begin()
        elif command == "drain":
            host.executor.state = "draining"
        elif command == "cut":
            host.cut()
        elif command == "leave":
            host.leave()


def main():
    CONTROLS.extend(sys.argv[1].split(","))
    for argument in sys.argv[2:]:
        name, address = argument.split("=")
        HOSTS[name] = Host(name, address)
        HOSTS[name].begin()
    threading.Thread(target=read_commands, daemon=True).start()
    while True:
        with LOCK:
            tick()
        time.sleep(TICK_S)


main()
