"""A small deployment of real processes on loopback addresses.

Three control processes, two gates and executors (executor.py), with the
commands of deploy/system.toml and the settings that deploy/*.yaml give for a
site like bergstijl-plan. Everything that is sent, answered and run goes into
a record.
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
import time

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "../.."))
LIB = os.path.dirname(os.path.realpath(__file__))
HOST = "shop.example"
PREFIX = "/long/"
SERVICE = "planner"
ZONES = ("a", "b", "c")
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_port():
    """A port below those that the kernel gives out; free on 127.0.0.1."""
    for _ in range(200):
        port = random.randrange(10000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise NotRun("no free port")


class Small:
    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="jayrelay-case-")
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8")
        self.began = time.monotonic()
        self.procs = {}
        self.logs = {}
        self.bus, self.control, self.front, self.ready, self.metrics, \
            self.work = (free_port() for _ in range(6))
        self.cores = [f"127.0.0.{11 + i}" for i in range(3)]
        self.edges = [f"127.0.0.{21 + i}" for i in range(2)]
        self.seeds = [f"{ip}:{self.control}" for ip in self.cores]
        self.lives = 0
        self.has_links = False  # executors that can be cut off
        self.life_of = {}

    def note(self, *words):
        line = " ".join(map(str, words))
        self.record.write(f"{time.monotonic() - self.began:8.3f} {line}\n")
        self.record.flush()

    # Processes.

    def spawn(self, name, *command):
        path = os.path.join(self.folder, name + ".log")
        self.logs[name] = path
        with open(path, "ab") as out:
            self.procs[name] = subprocess.Popen(
                command, stdout=out, stderr=out, cwd=ROOT,
                stdin=subprocess.DEVNULL)
        self.note("process", name, "starts")

    def signal(self, name, number):
        self.note("process", name, "gets", signal.Signals(number).name)
        self.procs[name].send_signal(number)
        if number == signal.SIGKILL:
            self.procs[name].wait()

    def settings(self, name, text):
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    def seed_lines(self):
        return "".join(f'  - "{seed}"\n' for seed in self.seeds)

    def start_control(self, i, first):
        ip = self.cores[i]
        zones = "".join(f'  - "{zone}"\n' for zone in ZONES)
        path = self.settings(f"control-{i}", f"""\
name: "{ip}:{self.bus}"
zone: "{ZONES[i]}"
bus: "{ip}:{self.bus}"
http: "{ip}:{self.control}"
data: "{self.folder}/data-{i}"
jobs: true
first_start: {"true" if first else "false"}
tolerate: 1
lease_ms: 6000
failover_ms: 7000
settle_ms: 3000
drift_permille: 20
far_factor: 1.5
election_ms: 700
heartbeat_ms: 100
metrics: "{ip}:{self.metrics}"
zones:
{zones}seeds:
{self.seed_lines()}request_memory_mb: 64
""")
        self.spawn(f"control-{i}", "target/jayrelay-control", "--settings",
                   path)

    def start_gate(self, i):
        ip = self.edges[i]
        path = self.settings(f"gate-{i}", f"""\
name: "edge-{i}"
zone: "{ZONES[i]}"
bus: "{ip}:{self.bus}"
http: "{ip}:{self.front}"
ready: "{ip}:{self.ready}"
drain_ms: 2800
metrics: "{ip}:{self.metrics}"
seeds:
{self.seed_lines()}""")
        self.spawn(f"gate-{i}", "target/jayrelay-gate", "--settings", path)

    def start_executor(self, i, cpu=64000):
        """A new life of machine i, at the machine's address."""
        self.lives += 1
        life = f"i-{self.lives:04d}"
        self.life_of[i] = life
        address = f"127.0.0.{41 + i}:{self.work}"
        listen, controls = address, self.seeds
        if self.has_links:
            listen = f"127.0.0.{71 + i}:{self.work}"
            controls = [f"127.0.1.{10 * i + k + 1}:{self.work}"
                        for k in range(len(self.seeds))]
        if self.has_links and f"links-{i}" not in self.procs:
            pairs = [f"{address}={listen}"]
            pairs += [f"{near}={far}"
                      for near, far in zip(controls, self.seeds)]
            self.spawn(f"links-{i}", sys.executable,
                       os.path.join(LIB, "proxy.py"), *pairs)
        self.spawn(f"executor-{i}", sys.executable,
                   os.path.join(LIB, "executor.py"), life, f"m-{i}",
                   address, SERVICE, ZONES[i % len(ZONES)], str(cpu),
                   ",".join(controls), listen, self.folder)

    def cut(self, machines, is_cut):
        """Cuts executors off from all control processes, or joins them."""
        for i in machines:
            self.signal(f"links-{i}",
                        signal.SIGUSR1 if is_cut else signal.SIGUSR2)

    def start(self, n_executors, config):
        for name in ("jayrelay-control", "jayrelay-gate"):
            if not os.access(os.path.join(ROOT, "target", name), os.X_OK):
                raise NotRun(f"target/{name} is not built")
        for i in range(len(self.cores)):
            self.start_control(i, True)
        for i in range(len(self.edges)):
            self.start_gate(i)
        for i in range(n_executors):
            self.start_executor(i)
        self.until(20, "a configuration is in force",
                   lambda: self.put_config(config) == 200)
        self.until(20, "both gates are ready", self.are_ready)

    def are_ready(self):
        return all(self.call("GET", f"{ip}:{self.ready}", "/ready",
                             quiet=True)[0] == 200 for ip in self.edges)

    def until(self, seconds, what, test):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if test():
                self.note("reached:", what)
                return
            time.sleep(0.1)
        raise NotRun(f"not within {seconds} s: {what}")

    def close(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait()
        for name, path in sorted(self.logs.items()):
            if name.startswith("executor"):
                with open(path, encoding="utf-8") as lines:
                    for line in lines:
                        self.copy_line(line)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    def copy_line(self, line):
        at, _, rest = line.rstrip("\n").partition(" ")
        try:
            at = f"{float(at) - self.began:8.3f}"
        except ValueError:
            pass
        self.record.write(f"{at} executor saw: {rest}\n")

    # Calls.

    def call(self, method, address, path, body=None, timeout=4.0,
             quiet=False):
        """Status and decoded body; status 0 when there is no answer."""
        host, port = address.split(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
        data = None if body is None else json.dumps(body)
        status, answer = 0, None
        try:
            conn.request(method, path, data,
                         {"Host": HOST, "Content-Type": "application/json"})
            response = conn.getresponse()
            status, text = response.status, response.read()
            answer = json.loads(text) if text else None
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            conn.close()
        if not quiet:
            self.note("call", method, address, path, data or "", "->", status,
                      json.dumps(answer))
        return status, answer

    def put_config(self, config):
        return self.call("POST", self.seeds[0], "/Config.Replace", config)[0]

    def job(self, method, job, body=None, gate=0):
        return self.call(method, f"{self.edges[gate]}:{self.front}",
                         PREFIX + job, body)

    def state(self, job):
        """The state that a gate shows, None without a clear answer."""
        for gate in range(len(self.edges)):
            status, answer = self.job("GET", job, gate=gate)
            if status == 200:
                return answer["state"]
        return None

    def lease_left_s(self, machine):
        """Asks the executor itself; the system is not involved."""
        address = 71 if self.has_links else 41
        status, left = self.call(
            "GET", f"127.0.0.{address + machine}:{self.work}", "/lease",
            quiet=True)
        return left / 1000 if status == 200 else 0.0

    # What the executors saw.

    def events(self):
        """(time, machine, word, ...) of all executors, by time."""
        rows = []
        for name, path in self.logs.items():
            if not name.startswith("executor"):
                continue
            with open(path, encoding="utf-8") as lines:
                for line in lines:
                    words = line.split()
                    if len(words) > 2 and words[0][0].isdigit():
                        rows.append((float(words[0]), int(name[9:]),
                                     *words[1:]))
        return sorted(rows, key=lambda row: row[0])

    def ends_of(self, task):
        """(machine, attempt, how) of all runs of the task that have ended."""
        return [(row[1], int(row[5]), row[6]) for row in self.events()
                if row[2] == "end" and row[4] == task]

    def machine_of(self, task):
        """The machine whose present life runs the task, or None."""
        running = {}
        for row in self.events():
            if row[2] == "start" and row[4] == task:
                running[row[3]] = row[1]
            elif row[2] == "end" and row[4] == task:
                running.pop(row[3], None)
        for life, machine in running.items():
            if self.life_of.get(machine) == life and \
                    self.procs[f"executor-{machine}"].poll() is None:
                return machine
        return None


def config(version=1):
    return {"version": version, "routes": [
        {"name": "r-long", "host": HOST, "path_prefix": PREFIX,
         "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 2500,
         "priority": 0, "service": SERVICE, "max_attempts": 4,
         "stretch": 2.2}], "services": [
        {"name": SERVICE, "health_path": "/health", "max_conns": 64,
         "protocol": "h1", "tls": False, "admission_check": True,
         "standby": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def main(case):
    """Runs case(small, with_trouble), which returns what broke, or None."""
    folder = os.path.dirname(os.path.realpath(sys.argv[0]))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    small = Small(folder)
    status = NOT_RUN
    try:
        small.note("trouble:", "yes" if with_trouble else "no")
        broken = case(small, with_trouble)
        status = BROKEN if broken else HELD
        small.note("RULE BROKEN: " + broken if broken else "rule held")
        print("RULE BROKEN: " + broken if broken else "rule held")
    except Exception as error:  # an exit status of 1 is kept for the rule
        small.note("could not run:", repr(error))
        print("could not run:", repr(error))
    finally:
        small.close()
    sys.exit(status)
