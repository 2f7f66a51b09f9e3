"""Stand-ins for the cases of the third review, by PROTOCOL.md.

It starts the project's programs (target/jayrelay-control, target/jayrelay-gate)
as processes on loopback addresses, with the settings that deploy/control.yaml
and deploy/gate.yaml give for sites/bergstijl-plan.toml, and has executors,
clients and an operator of its own, in threads of the calling process.
"""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HOST = "nony24.example"
MAX_HOLD_MS = 10000
STOP_GRACE_MS = 400
GANG_TIMEOUT_MS = 3000


class Record:
    """record.txt: what was sent, answered and run; times in s of the test."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began_at = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began_at

    def write(self, *words):
        with self.lock:
            self.file.write("%8.3f " % self.now() +
                            " ".join(map(str, words)) + "\n")
            self.file.flush()


def free_ports(n):
    """Ports that are free on all loopback addresses, below the kernel's."""
    low = int(open("/proc/sys/net/ipv4/ip_local_port_range").read().split()[0])
    ports = []
    for port in random.sample(range(10000, max(low, 20000)), 2000):
        with socket.socket() as s:
            try:
                s.bind(("0.0.0.0", port))
                ports.append(port)
            except OSError:
                continue
        if len(ports) == n:
            return ports
    raise OSError("no free ports")


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Returns (status, body), or (0, reason) when there is no response."""
    host, port = address.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else (
            body if isinstance(body, bytes) else json.dumps(body).encode())
        conn.request(method, path, data, headers or {})
        response = conn.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error)
    finally:
        conn.close()


class Life:
    """One lifetime of an executor: an HTTP server, its runs and its lease."""

    def __init__(self, executor, name, born):
        self.executor = executor
        self.record = executor.record
        self.name = name
        self.born = born
        self.began_at = time.monotonic()
        self.lock = threading.Condition()
        self.is_up = True
        self.token = 0
        self.expires_ms = 0
        self.running = {}  # task -> run
        self.closed = {}   # task -> highest run stopped or ended
        self.ended = []
        self.n_ended = 0
        self.conns = set()
        self.paused_until = 0.0
        self.late = None   # function(path, body) -> delay in s, or None
        self.state = "ready"
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((executor.ip, executor.port))
        self.listener.listen(128)
        for run in (self.accept, self.beat, self.work):
            threading.Thread(target=run, daemon=True).start()

    def log(self, *words):
        self.record.write("executor", self.executor.ip, self.name, *words)

    def clock_ms(self):
        return int((time.monotonic() - self.began_at) * 1000) + 1000

    # Runs.
    def end(self, task, how):
        run = self.running.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["attempt"])
        self.n_ended += 1
        self.ended.append([self.n_ended, task, run["attempt"], how, ""])
        self.log("end", task, "attempt", run["attempt"], how,
                 "number", self.n_ended)
        self.lock.notify_all()

    def expire(self):
        if 0 < self.expires_ms <= self.clock_ms():
            for task in list(self.running):
                self.end(task, "lapsed")

    def work(self):
        while self.is_up:
            with self.lock:
                if self.is_up:
                    self.expire()
                    now = time.monotonic()
                    for task, run in list(self.running.items()):
                        if run["stops_at"] and now >= run["stops_at"]:
                            self.end(task, "stopped")
                        elif run["ends_at"] and now >= run["ends_at"]:
                            self.end(task, run["how"])
            time.sleep(0.01)

    def used(self):
        return sum(run["cpu"] for run in self.running.values())

    def start(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.running.get(task)
        if run and run["attempt"] == attempt:
            return 200, {}
        if attempt <= self.closed.get(task, 0):
            self.hold_until(body.get("expires_ms", 0))
            return 409, {"reason": "old"}
        if body["expires_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        spec = json.loads(body["spec"])
        if self.used() + spec["cpu"] > self.executor.cpu:
            self.hold_until(body.get("expires_ms", 0))
            return 409, {"reason": "room"}
        self.hold_until(body["expires_ms"])
        ms = spec.get("ms", 0)
        self.running[task] = {
            "attempt": attempt, "cpu": spec["cpu"], "stops_at": 0,
            "began": time.monotonic(), "ms": ms,
            "ends_at": time.monotonic() + ms / 1000 if ms else 0,
            "how": spec.get("how", "done")}
        self.log("start", task, "attempt", attempt)
        return 200, {}

    def hold_until(self, expires_ms):
        most = self.clock_ms() + MAX_HOLD_MS
        self.expires_ms = max(self.expires_ms, min(expires_ms, most))

    def stop(self, body):
        task = body["task"]
        self.closed[task] = max(self.closed.get(task, 0), body["attempt"])
        run = self.running.get(task)
        if run and run["attempt"] <= body["attempt"] and not run["stops_at"]:
            run["stops_at"] = time.monotonic() + 0.1
        return 200, {}

    def hold(self, body):
        if body.get("expires_ms"):
            self.hold_until(body["expires_ms"])
        cursor = body["ack_cursor"]
        for end in self.ended:
            if end[0] <= cursor:
                self.log("acknowledged", end[1], "attempt", end[2], end[3])
        self.ended = [e for e in self.ended if e[0] > cursor]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while self.is_up and not self.ended and time.monotonic() < until:
            self.lock.wait(max(until - time.monotonic(), 0))
        now = time.monotonic()
        return 200, {
            "running": [[task, run["attempt"], "",
                         min(100, int((now - run["began"]) * 100000 / run["ms"]))
                         if run["ms"] else 100, 0]
                        for task, run in self.running.items()],
            "ended": self.ended[:500]}

    def order(self, path, body):
        with self.lock:
            if not self.is_up:
                return 0, {}
            self.expire()
            token = body.get("fencing_token", 0)
            if token < self.token:
                status, answer = 409, {"reason": "fence"}
            else:
                self.token = token
                status, answer = {
                    "/run-start": self.start, "/run-stop": self.stop,
                    "/hold": self.hold, "/pace": lambda _: (200, {}),
                }[path](body)
            answer["clock_ms"] = self.clock_ms()
            answer["born"] = self.born
        if path == "/run-start" or status != 200:
            self.log("order", path, body.get("task"), body.get("attempt"),
                     "token", token, "->", status, answer.get("reason", ""))
        return status, answer

    # Network.
    def accept(self):
        while self.is_up:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                self.conns.add(conn)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def read_request(self, stream):
        line = stream.readline()
        if not line:
            return None
        method, path, _ = line.decode().split()
        headers = {}
        while True:
            line = stream.readline().strip()
            if not line:
                break
            key, value = line.decode().split(":", 1)
            headers[key.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        return method, path, headers, body

    def serve(self, conn):
        stream = conn.makefile("rb")
        try:
            while self.is_up:
                request = self.read_request(stream)
                if request is None or not self.is_up:
                    break
                self.wait_pause()
                method, path, headers, body = request
                target = headers.get("x-jayrelay-target-instance")
                if method == "GET":
                    status, answer = 200, {}
                elif target is not None and target != self.name:
                    status, answer = 421, {"clock_ms": self.clock_ms()}
                else:
                    parsed = json.loads(body)
                    delay = self.late(path, parsed) if self.late else None
                    if delay is not None:
                        threading.Thread(target=self.run_late, daemon=True,
                                         args=(delay, path, parsed)).start()
                        continue  # no response
                    status, answer = self.order(path, parsed)
                self.wait_pause()
                if status == 0 or not self.is_up:
                    break
                data = json.dumps(answer).encode()
                conn.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(data)) + data)
        except (OSError, ValueError):
            pass
        with self.lock:
            self.conns.discard(conn)
        try:
            conn.close()
        except OSError:
            pass

    def run_late(self, delay, path, body):
        time.sleep(delay)
        if self.is_up:
            self.log("late", path, body.get("task"), body.get("attempt"))
            self.order(path, body)

    def wait_pause(self):
        while self.is_up and time.monotonic() < self.paused_until:
            time.sleep(0.01)

    def report(self):
        e = self.executor
        return {"service": e.service, "address": "%s:%d" % (e.ip, e.port),
                "zone": e.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": e.cpu, "mem_mb": 250000, "gpus": 0},
                "labels": ["a", e.rack], "clock_ms": self.clock_ms(),
                "machine": "m-" + e.ip, "born": self.born, "seq": self.seq}

    def beat(self):
        self.seq = 0
        n = random.randrange(len(self.executor.controls))
        while self.is_up:
            self.wait_pause()
            self.seq += 1
            status, _ = call(self.executor.controls[n], "POST",
                             "/Executors.Heartbeat/" + self.name,
                             self.report(), timeout=1.0)
            if status // 100 == 2:
                time.sleep(1.1)
            else:
                n = (n + 1) % len(self.executor.controls)
                time.sleep(0.1)

    def crash(self, is_logged=True):
        with self.lock:
            if is_logged:
                self.log("crash", "with", len(self.running), "runs",
                         " ".join("%s/%d" % (t, r["attempt"])
                                  for t, r in self.running.items()))
            self.is_up = False
            self.running.clear()
            self.lock.notify_all()
            conns = list(self.conns)
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for conn in conns:
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                b"\1\0\0\0\0\0\0\0")
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Executor:
    """A place (address, zone, rack) where executors live one after another."""

    def __init__(self, record, controls, ip, port, zone, rack,
                 service="huvo11a", cpu=64000):
        self.record, self.controls = record, controls
        self.ip, self.port, self.zone, self.rack = ip, port, zone, rack
        self.service, self.cpu = service, cpu
        self.life = None

    def begin(self, name=None):
        name = name or "i-%010x" % random.getrandbits(40)
        self.life = Life(self, name, int(time.time() * 1000))
        self.life.log("begins", "born", self.life.born)
        return self.life


class System:
    """Three control processes, gates, and executors."""

    def __init__(self, folder, n_executors, n_gates=2, service_opts=None,
                 routes=None, cpu=64000, racks=8):
        self.root = os.path.abspath(os.path.join(
            os.path.dirname(__file__), "..", ".."))
        self.record = Record(os.path.join(folder, "record.txt"))
        self.dir = tempfile.mkdtemp(prefix="jayrelay-case-")
        self.procs = {}
        ports = free_ports(6)
        (self.bus, self.control_port, self.gate_port, self.ready_port,
         self.exec_port, self.metrics_port) = ports
        self.zones = ["nl-west-a", "nl-west-b", "nl-west-c"]
        self.control_ips = ["127.0.1.%d" % (11 + i) for i in range(3)]
        self.gate_ips = ["127.0.1.%d" % (21 + i) for i in range(n_gates)]
        self.controls = ["%s:%d" % (ip, self.control_port)
                         for ip in self.control_ips]
        self.gates = ["%s:%d" % (ip, self.gate_port) for ip in self.gate_ips]
        self.n_executors = n_executors
        self.executors = [
            Executor(self.record, self.controls, "127.0.2.%d" % (11 + i),
                     self.exec_port, self.zones[i % 3], "r%d-1" % (i % 3 + 1),
                     cpu=cpu)
            for i in range(n_executors)]
        self.config = {
            "version": 7,
            "routes": routes or [
                self.route("quote", "/lohu930/", 300, 0, 4, 1.5),
                self.route("alloc", "/pufi791/", 1000, 2, 2, 2.0),
                self.route("watch", "/pule252/", 2500, 0, 4, 2.2)],
            "services": [dict({
                "name": "huvo11a", "health_path": "/health", "max_conns": 64,
                "protocol": "h1", "tls": False, "admission_check": True,
                "standby": False}, **(service_opts or {}))],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    def route(self, name, prefix, slo, priority, attempts, stretch):
        return {"name": name, "host": HOST, "path_prefix": prefix,
                "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": slo,
                "priority": priority, "service": "huvo11a",
                "max_attempts": attempts, "stretch": stretch}

    def settings(self, name, text):
        path = os.path.join(self.dir, name + ".yaml")
        with open(path, "w") as file:
            file.write(text)
        return path

    def spawn(self, name, program, path):
        log = open(os.path.join(self.dir, name + ".log"), "a")
        self.procs[name] = subprocess.Popen(
            [os.path.join(self.root, "target", program), "--settings", path],
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.root)
        self.record.write("process", name, "started")

    def start_control(self, i, first=False):
        ip = self.control_ips[i]
        self.spawn("control-%d" % i, "jayrelay-control", self.settings(
            "control-%d" % i, """name: "%s:%d"
zone: "%s"
bus: "%s:%d"
http: "%s:%d"
data: "%s"
jobs: true
first_start: %s
tolerate: 1
lease_ms: %d
failover_ms: 7000
settle_ms: 3000
drift_permille: 20
far_factor: 1.5
election_ms: 700
heartbeat_ms: 100
metrics: "%s:%d"
zones:
%sseeds:
%srequest_memory_mb: 64
""" % (ip, self.bus, self.zones[i], ip, self.bus, ip, self.control_port,
                os.path.join(self.dir, "data-%d" % i),
                "true" if first else "false", MAX_HOLD_MS,
                ip, self.metrics_port,
                "".join('  - "%s"\n' % z for z in self.zones),
                "".join('  - "%s"\n' % c for c in self.controls))))

    def start_gate(self, i):
        ip = self.gate_ips[i]
        self.spawn("gate-%d" % i, "jayrelay-gate", self.settings(
            "gate-%d" % i, """name: "edge-%d"
zone: "%s"
bus: "%s:%d"
http: "%s:%d"
ready: "%s:%d"
drain_ms: 2800
metrics: "%s:%d"
seeds:
%s""" % (i, self.zones[i % 3], ip, self.bus, ip, self.gate_port,
                ip, self.ready_port, ip, self.metrics_port,
                "".join('  - "%s"\n' % c for c in self.controls))))

    def put_config(self, config=None):
        config = config or self.config
        for _ in range(200):
            for control in self.controls:
                status, text = call(control, "POST", "/Config.Replace", config,
                                    timeout=1.0)
                if status == 200:
                    self.record.write("operator config", config["version"],
                                      "acknowledged")
                    return True
            time.sleep(0.1)
        return False

    def start(self):
        for i in range(3):
            self.start_control(i, True)
        for i in range(len(self.gates)):
            self.start_gate(i)
        if not self.put_config():
            return False
        for executor in self.executors:
            executor.begin()
        return self.wait(20, lambda: all(
            call("%s:%d" % (ip, self.ready_port), "GET", "/ready")[0] == 200
            for ip in self.gate_ips))

    def wait(self, seconds, condition):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def signal(self, name, number):
        self.record.write("process", name, signal.Signals(number).name)
        self.procs[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.procs[name].wait()

    def leader(self):
        """Index of the control process that was elected last, by its log."""
        newest = (-1.0, None)
        for i in range(3):
            with open(os.path.join(self.dir, "control-%d.log" % i),
                      errors="replace") as file:
                for line in file:
                    if "name=leader-elected" in line:
                        newest = max(newest, (line.split()[0], i),
                                     key=lambda x: str(x[0]))
        return newest[1]

    def submit(self, job, steps, spec, prefix="/pule252/", gate=None, extra=None,
               tries=40):
        """Hands the job in until it gets a clear answer, as clients do."""
        for n in range(tries):
            address = gate or self.gates[n % len(self.gates)]
            status, text = call(address, "POST", prefix + job, dict(
                {"spec": json.dumps(spec), "steps": steps}, **(extra or {})),
                {"Host": HOST, "Content-Type": "application/json",
                 "X-Jayrelay-Time-Left-Ms": "3000"})
            self.record.write("client POST", prefix + job, "->", status)
            if status // 100 == 2:
                return True
            if status in (400, 404, 413):
                return False
            time.sleep(0.25)
        return False

    def get(self, path, gate=None):
        for n in range(len(self.gates)):
            address = gate or self.gates[n]
            status, text = call(address, "GET", path, None, {
                "Host": HOST, "X-Jayrelay-Time-Left-Ms": "3000"})
            self.record.write("client GET", path, "->", status, text.strip())
            if status not in (0, 502, 503, 504):
                break
        return status, text

    def state(self, job, prefix="/pule252/"):
        status, text = self.get(prefix + job)
        return json.loads(text).get("state") if status == 200 else status

    def cancel(self, job, prefix="/pule252/"):
        status, text = call(self.gates[0], "DELETE", prefix + job, None,
                            {"Host": HOST})
        self.record.write("client DELETE", prefix + job, "->", status)
        return status

    def where(self, task):
        """Executors that run the task now."""
        found = []
        for e in self.executors:
            if e.life and e.life.is_up:
                with e.life.lock:
                    if task in e.life.running:
                        found.append((e, e.life.running[task]["attempt"]))
        return found

    def stop(self, keep=False):
        for e in self.executors:
            if e.life and e.life.is_up:
                e.life.crash(is_logged=False)
        for process in self.procs.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if keep or os.environ.get("KEEP"):
            print("logs in", self.dir, file=sys.stderr)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def watch_doubles(system, stop_event, found):
    """Notes each task that runs on two executors at the same time."""
    while not stop_event.is_set():
        seen = {}
        for e in system.executors:
            life = e.life
            if not life or not life.is_up:
                continue
            with life.lock:
                life.expire()
                for task, run in life.running.items():
                    seen.setdefault(task, []).append(
                        (life.name, run["attempt"]))
        for task, where in seen.items():
            if len(where) > 1 and task not in found:
                found[task] = where
                system.record.write("TWICE", task, "runs on", where)
        time.sleep(0.01)


def run_case(folder, body, **options):
    """Runs body(system, is_troubled), which returns True if the rule held.

    Ends the process with the exit status of the case.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    system = None
    status = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        system = System(folder, **options)
        if not system.start():
            raise OSError("the system did not start")
        time.sleep(2.5)  # the executors have checked in
        status = 0 if body(system, is_troubled) else 1
    except Exception as error:  # the case could not run
        print("could not run:", repr(error), file=sys.stderr)
        if system:
            system.record.write("could not run:", repr(error))
    finally:
        if system:
            system.record.write("exit status", status)
            system.stop()
    os._exit(status)
