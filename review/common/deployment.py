"""A small deployment on loopback addresses, for the scripts of the cases.

Starts the programs of deploy/system.toml as separate processes, with settings
as deploy/control.yaml and deploy/gate.yaml give them for a small site, and
common/executor.py as executors. Everything that is sent, answered and run
goes to record.txt.
"""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "../.."))
HELD, BROKEN, NOT_RUN = 0, 1, 2
WATCHDOG_S = 115

CONTROL_YAML = """name: "{ip}:{bus}"
zone: "{zone}"
bus: "{ip}:{bus}"
http: "{ip}:{control}"
data: "{data}"
jobs: true
first_start: true
tolerate: 1
lease_ms: {max_hold_ms}
failover_ms: 7000
settle_ms: 3000
drift_permille: 20
far_factor: {far_factor}
election_ms: 700
heartbeat_ms: 100
metrics: "{ip}:{metrics}"
zones:
  - "za"
  - "zb"
  - "zc"
seeds:
{seeds}
"""

GATE_YAML = """name: "{name}"
zone: "{zone}"
bus: "{ip}:{bus}"
http: "{ip}:{front}"
ready: "{ip}:{ready}"
drain_ms: 2800
metrics: "{ip}:{metrics}"
seeds:
{seeds}
"""

# Bounds of the site files that decide settings.
SITES = {
    "bergstijl-plan": {"max_hold_ms": 10000, "far_factor": 1.5},
    "liimaneuvo-jr": {"max_hold_ms": 6000, "far_factor": 3},
}

RUN_PATTERN = re.compile(
    r"^(start|end) (\S+) (\S+) (\d+) (?:([a-z]+) )?([\d.]+) (\S+)")


class CannotRun(Exception):
    """The case could not run: nothing is known about the rule."""


def free_ports(addresses, n):
    """Returns n ports below the ephemeral range, free on all addresses."""
    ports = []
    for port in random.sample(range(12000, 20000), 4000):
        try:
            for address in addresses:
                with socket.socket() as s:
                    s.bind((address, port))
        except OSError:
            continue
        ports.append(port)
        if len(ports) == n:
            return ports
    raise CannotRun("no free ports")


class Deployment:
    """Three control processes, two gates and executors."""

    def __init__(self, folder, site, n_gates=2):
        self.site = SITES[site]
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.processes = {}
        self.dir = tempfile.mkdtemp(prefix="jayrelay-review-")
        net = "127.%d.%d." % (random.randint(20, 250), random.randint(1, 250))
        self.controls = [net + str(n) for n in (11, 12, 13)]
        self.gates = [net + str(n) for n in range(21, 21 + n_gates)]
        self.net = net
        names = ("bus", "control", "front", "ready", "metrics", "executor")
        ports = free_ports(self.controls + self.gates + [net + "91"],
                           len(names))
        self.ports = dict(zip(names, ports))
        self.seeds = ["%s:%d" % (ip, self.ports["control"])
                      for ip in self.controls]
        signal.signal(signal.SIGALRM, self._on_alarm)
        signal.signal(signal.SIGTERM, self._on_alarm)
        signal.signal(signal.SIGINT, self._on_alarm)
        signal.alarm(WATCHDOG_S)

    def _on_alarm(self, *_):
        raise CannotRun("out of time, or told to stop")

    def now(self):
        return time.monotonic() - self.began

    def note(self, *words):
        with self.lock:
            self.record.write("%8.3f %s\n"
                              % (self.now(), " ".join(map(str, words))))
            self.record.flush()

    def start(self, name, *command):
        log = open(os.path.join(self.dir, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.PIPE, cwd=ROOT)
        log.close()

    def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()
        self.note("signal", name, signal.Signals(number).name)

    def _program(self, name):
        path = os.path.join(ROOT, "target", name)
        if not os.access(path, os.X_OK):
            raise CannotRun("%s is not built" % path)
        return path

    def start_system(self):
        seeds = "".join('  - "%s"\n' % seed for seed in self.seeds)
        for n, ip in enumerate(self.controls):
            path = os.path.join(self.dir, "control-%d.yaml" % n)
            with open(path, "w") as f:
                f.write(CONTROL_YAML.format(
                    ip=ip, zone="z" + "abc"[n], seeds=seeds,
                    data=os.path.join(self.dir, "data-%d" % n),
                    **self.ports, **self.site))
            self.start("control-%d" % n, self._program("jayrelay-control"),
                       "--settings", path)
        for n, ip in enumerate(self.gates):
            path = os.path.join(self.dir, "gate-%d.yaml" % n)
            with open(path, "w") as f:
                f.write(GATE_YAML.format(
                    ip=ip, name="edge-%d" % n, zone="z" + "abc"[n % 3],
                    seeds=seeds, **self.ports))
            self.start("gate-%d" % n, self._program("jayrelay-gate"),
                       "--settings", path)

    def start_executors(self, name, numbers):
        """Starts the executors i-N of these numbers in one process."""
        hosts = ["i-%d=%s%d:%d" % (n, self.net, 90 + n,
                                   self.ports["executor"]) for n in numbers]
        self.start(name, sys.executable, "review/common/executor.py",
                   ",".join(self.seeds), *hosts)
        self.note("process", name, "hosts", *hosts)

    def start_executor(self, n):
        """Starts one life of the executor i-N, in a process of its own."""
        self.start_executors("executor-%d" % n, [n])

    def tell_executors(self, name, command):
        """Gives the process a command: "crash ID" or "begin ID"."""
        self.note("command", name, command)
        self.processes[name].stdin.write((command + "\n").encode())
        self.processes[name].stdin.flush()

    def request(self, method, ip, port, path, body=None, host="h.example",
                timeout=4):
        """Returns status and body of the answer; status 0: no answer."""
        connection = http.client.HTTPConnection(ip, self.ports[port],
                                                timeout=timeout)
        text = body if body is None or isinstance(body, str) else json.dumps(
            body)
        headers = {"Host": host, "Content-Type": "application/json"}
        try:
            connection.request(method, path, text, headers)
            answer = connection.getresponse()
            status, got = answer.status, answer.read().decode(
                errors="replace")
        except (OSError, http.client.HTTPException) as error:
            status, got = 0, repr(error)
        finally:
            connection.close()
        if path != "/ready":
            self.note(method, "http://%s:%d%s" % (ip, self.ports[port], path),
                      "host=%s" % host, (text or "")[:400], "->", status,
                      got[:200])
        return status, got

    def wait_for(self, seconds, what, condition):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            value = condition()
            if value:
                return value
            time.sleep(0.25)
        raise CannotRun("not within %d s: %s" % (seconds, what))

    def put_config(self, config):
        self.wait_for(20, "the configuration is accepted",
                      lambda: self.request("POST", self.controls[0], "control",
                                           "/Config.Replace", config)[0] == 200)

    def wait_until_ready(self):
        for ip in self.gates:
            self.wait_for(20, "gate %s is ready" % ip,
                          lambda: self.request("GET", ip, "ready",
                                               "/ready")[0] == 200)

    def submit(self, path, job, host="h.example"):
        """Submits as the pages say: again after an answer that is unclear."""
        for attempt in range(20):
            status, _ = self.request("POST", self.gates[attempt % 2], "front",
                                     path, job, host)
            if status == 200:
                return
            time.sleep(0.3)
        raise CannotRun("job %s was not accepted" % path)

    def state(self, path, host="h.example"):
        """The state of a job, or the status of the answer."""
        for attempt in range(4):
            status, body = self.request("GET", self.gates[attempt % 2],
                                        "front", path, host=host)
            if status == 200:
                return json.loads(body)["state"]
            if status in (404, 410):
                return str(status)
            time.sleep(0.3)
        return "unanswered"

    def runs(self):
        """Runs by the executors' own lines, in s of this record.

        Rows of [executor, task, attempt, start, end or None, how,
        checkpoint of the start, checkpoint of the end].
        """
        rows = []
        names = [n for n in os.listdir(self.dir)
                 if n.startswith("executor") and n.endswith(".log")]
        for name in sorted(names):
            with open(os.path.join(self.dir, name), errors="replace") as f:
                self._read_runs(f, rows)
        return sorted(rows, key=lambda row: row[3])

    def _read_runs(self, lines, rows):
        open_rows = {}
        for line in lines:
            match = RUN_PATTERN.match(line)
            if match is None:
                continue
            what, executor, task, attempt, how, at, saved = match.groups()
            key = (executor, task, attempt)
            if what == "start":
                row = [executor, task, int(attempt), float(at) - self.began,
                       None, "open", saved, "-"]
                open_rows[key] = row
                rows.append(row)
            elif what == "end" and key in open_rows:
                open_rows[key][4] = float(at) - self.began
                open_rows[key][5] = how
                open_rows[key][7] = saved

    def note_runs(self):
        for (executor, task, attempt, start, end, how, restored,
             saved) in self.runs():
            self.note("run", task, "attempt=%d" % attempt, "on", executor,
                      "from %.3f" % start,
                      "to %s" % ("-" if end is None else "%.3f" % end), how,
                      "checkpoints %s %s" % (restored, saved))

    def close(self):
        signal.alarm(0)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept:", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def config(version, host="h.example"):
    """One queue /q/ of the service s, as PROTOCOL.md shows it."""
    return {
        "version": version,
        "routes": [{"name": "r-1", "host": host, "path_prefix": "/q/",
                    "kind": "non_idempotent", "timeout_ms": 3000,
                    "slo_ms": 1000, "priority": 0, "service": "s",
                    "max_attempts": 4, "stretch": 2.0}],
        "services": [{"name": "s", "health_path": "/health", "max_conns": 64,
                      "protocol": "h1", "tls": False, "admission_check": True,
                      "standby": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def main(folder, site, case, n_gates=2):
    """Runs case(deployment, trouble), which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    status = NOT_RUN
    try:
        deployment = Deployment(folder, site, n_gates)
        deployment.note("trouble" if trouble else "no trouble")
        status = HELD if case(deployment, trouble) else BROKEN
        deployment.note("the rule held" if status == HELD
                        else "THE RULE WAS BROKEN")
    except CannotRun as error:
        if deployment is not None:
            deployment.note("could not run:", error)
        print("could not run:", error, file=sys.stderr)
    except Exception:  # a fault of the script shows nothing of the rule
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.close()
    sys.exit(status)
