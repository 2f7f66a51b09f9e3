"""The processes of one soak: their settings, their lives and the faults.

Only the main thread starts and ends processes. Each is ended by its id, and
each ends with the soak, whatever ends that.
"""
import os
import random
import signal
import socket
import subprocess
import time
from dataclasses import dataclass

import plan

# From SIGTERM to the end of a process: a gate takes drain_ms (0.3 s) and
# DRAIN_MAX_MS (2.5 s), a control process less; the rest is a margin.
END_WITHIN_S = 6.0
STARTING_S = 1.0  # for which a process that was started gets no signal
MARGIN_S = 10.0  # for all faults to be over
LOW_PORT = 10000
TASK_MS = 500  # of a task whose spec names no time

CONTROL_YAML = """name: "{ip}:{bus}"
zone: z
bus: "{ip}:{bus}"
http: "{ip}:{control}"
data: "{dir}/data-{name}"
jobs: true
first_start: {first}
tolerate: 1
lease_ms: 3000
drift_permille: 20
election_ms: 500
seeds: [{seeds}]
"""
GATE_YAML = """name: "{name}"
zone: z
bus: "{ip}:{bus}"
http: "{ip}:{gate}"
ready: "{ip}:{ready}"
drain_ms: 300
seeds: [{seeds}]
"""


def free_ports(count, ips):
    """Ports that are free on all ips, below the range of ports that the
    kernel gives to outgoing connections."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as f:
        low = int(f.read().split()[0])
    ports = []
    for port in random.sample(range(LOW_PORT, max(low, 2 * LOW_PORT)), 500):
        sockets = [socket.socket() for _ in ips]
        try:
            for ip, s in zip(ips, sockets):
                s.bind((ip, port))
            ports.append(port)
        except OSError:
            pass
        finally:
            for s in sockets:
                s.close()
        if len(ports) == count:
            return ports
    raise RuntimeError("no %d free ports" % count)


@dataclass
class Life:
    """One life of a process; its log is its own."""
    process: str
    log: str
    child: subprocess.Popen
    started_at: float
    killed_at: float = 0.0  # 0: not killed
    termed_at: float = 0.0  # 0: not told to end; later by pauses since
    paused_at: float = 0.0  # 0: not paused


class Processes:
    def __init__(self, build, folder, executors, executor_fault, note):
        self.build = os.path.abspath(build)
        self.dir = os.path.abspath(folder)
        self.executor_fault = executor_fault
        self.note = note  # called with a text when a promise is broken
        self.lives = []
        self.current = {}  # process -> its life, if it is up
        self.instances = {}  # executor -> number of its id
        self.names = plan.process_names(executors)
        self.ip = {}
        for name in self.names:
            role, n = name.split("-")
            base = {"control": 10, "gate": 20, "executor": 30}[role]
            self.ip[name] = "127.0.0.%d" % (base + int(n))
        ports = free_ports(5, self.ip.values())
        self.port = dict(zip(("bus", "control", "gate", "ready", "executor"),
                             ports))
        self.controls = self.addresses("control", "control")
        self.gates = self.addresses("gate", "gate")
        self.readiness = self.addresses("gate", "ready")

    def addresses(self, role, port):
        return ["%s:%d" % (self.ip[name], self.port[port])
                for name in self.names if name.startswith(role)]

    def write_settings(self, name, first=True):
        template = CONTROL_YAML if name.startswith("control") else GATE_YAML
        with open("%s/%s.yaml" % (self.dir, name), "w") as f:
            f.write(template.format(
                name=name, ip=self.ip[name], dir=self.dir,
                first="true" if first else "false",
                seeds=", ".join(self.controls), **self.port))

    def command(self, name):
        if name.startswith("executor"):
            here = os.path.dirname(os.path.abspath(__file__))
            n = self.instances.setdefault(name, 1)
            return ["python3", here + "/../../tests/fake_executor.py",
                    "i-%s-%d" % (name.split("-")[1], n),
                    "%s:%d" % (self.ip[name], self.port["executor"]),
                    ",".join(self.controls), str(TASK_MS),
                    plan.zone_of(name)]
        return ["%s/jayrelay-%s" % (self.build, name.split("-")[0]),
                "--settings", "%s/%s.yaml" % (self.dir, name)]

    def start(self, name):
        n = sum(life.process == name for life in self.lives) + 1
        log = "%s/%s.%d.log" % (self.dir, name, n)
        env = dict(os.environ)
        if name.startswith("executor") and self.executor_fault:
            env["FAKE_EXECUTOR_FAULT"] = self.executor_fault
        # Apart, so that no line of one splits a line of the other.
        with open(log, "w") as out, open(log[:-4] + ".err", "w") as err:
            child = subprocess.Popen(
                ["setpriv", "--pdeathsig", "KILL"] + self.command(name),
                stdout=out, stderr=err, stdin=subprocess.DEVNULL, env=env,
                start_new_session=True)
        life = Life(name, log, child, time.monotonic())
        self.lives.append(life)
        self.current[name] = life

    def start_all(self):
        for name in self.names:
            if not name.startswith("executor"):
                self.write_settings(name)
            self.start(name)

    def signal(self, name, number):
        """Sends the signal if the process is up; returns its life."""
        life = self.current.get(name)
        if life is not None and life.child.poll() is None:
            life.child.send_signal(number)
        return life

    def pause(self, name):
        self.signal(name, signal.SIGSTOP).paused_at = time.monotonic()

    def resume(self, name):
        """Ends a pause, which does not count as time to end in."""
        life = self.signal(name, signal.SIGCONT)
        if life is not None and life.paused_at:
            if life.termed_at:
                life.termed_at += time.monotonic() - max(life.paused_at,
                                                         life.termed_at)
            life.paused_at = 0.0

    def kill(self, name):
        life = self.current.get(name)
        if life is not None and life.child.poll() is None:
            life.killed_at = time.monotonic()
            life.child.kill()
            life.child.wait()
        self.reap()

    def term(self, name):
        life = self.current.get(name)
        if life is not None and life.child.poll() is None:
            life.termed_at = time.monotonic()
            life.child.terminate()

    def is_up(self, name):
        return name in self.current

    def takes_faults(self, name):
        return (name in self.current and time.monotonic() >
                self.current[name].started_at + STARTING_S)

    def reap(self):
        """Takes note of each process that has ended, and judges its end."""
        now = time.monotonic()
        for name, life in list(self.current.items()):
            status = life.child.poll()
            if status is None:
                if (life.termed_at and not life.paused_at and
                        now - life.termed_at > END_WITHIN_S):
                    self.note("END", "%s had not ended %.0f s after SIGTERM, "
                              "see %s" % (name, END_WITHIN_S,
                                          os.path.basename(life.log)))
                    life.killed_at = now
                    life.child.kill()
                    life.child.wait()
                    del self.current[name]
                continue
            del self.current[name]
            if life.killed_at:
                continue
            if not life.termed_at:
                self.note("END", "%s ended by itself with status %d, see %s"
                          % (name, status, os.path.basename(life.log)))
            elif status != 0:
                self.note("END", "%s ended with status %d after SIGTERM, see "
                          "%s" % (name, status, os.path.basename(life.log)))

    def stop_all(self):
        """Ends all processes, by id, and waits for each."""
        for life in self.lives:
            if life.child.poll() is None:
                life.killed_at = life.killed_at or time.monotonic()
                life.child.kill()
        for life in self.lives:
            life.child.wait()
            if os.path.getsize(life.log[:-4] + ".err") == 0:
                os.unlink(life.log[:-4] + ".err")
        self.current.clear()

    def replace_instance(self, name):
        self.instances[name] += 1


class Injector:
    """Carries the faults of a plan out, and remembers when it did."""

    def __init__(self, processes, faults, began_at):
        self.processes = processes
        self.began_at = began_at
        self.due = [(fault.at_s, fault) for fault in faults]
        self.open = []  # (fault, time of its end)
        self.done = []  # (fault, time of its begin) in order

    def begin(self, fault, now):
        """Begins the fault; it waits while the process takes long to end or
        to start."""
        p = self.processes
        if not p.takes_faults(fault.process) or self.has_open(fault):
            self.due.append((now - self.began_at + 0.1, fault))
            self.due.sort(key=lambda due: due[0])
            return
        if fault.kind == "pause":
            p.pause(fault.process)
        elif fault.kind in ("kill", "replace"):
            p.kill(fault.process)
        elif fault.kind == "term":
            p.term(fault.process)
        elif fault.kind == "reload":
            p.signal(fault.process, signal.SIGHUP)
        self.done.append((fault, now - self.began_at))
        if fault.kind != "reload":
            self.open.append((fault, now + fault.for_s))

    def has_open(self, fault):
        """Whether the process has a fault that this one must not overlap: one
        life is ended once, or the second end would wait for the first end of
        a life that nothing ends; and one pause must not end another."""
        return any(other.process == fault.process and
                   (other.kind == "pause") == (fault.kind == "pause")
                   for other, _ in self.open if fault.kind != "reload")

    def end(self, fault):
        """Ends the fault; returns false while that isn't possible."""
        p = self.processes
        if fault.kind == "pause":
            p.resume(fault.process)
            return True
        if p.is_up(fault.process):
            return False  # still draining
        if fault.kind == "replace":
            p.replace_instance(fault.process)
        p.start(fault.process)
        return True

    def step(self):
        now = time.monotonic()
        self.processes.reap()
        while self.due and self.began_at + self.due[0][0] <= now:
            self.begin(self.due.pop(0)[1], now)
        self.open = [(fault, until) for fault, until in self.open
                     if until > now or not self.end(fault)]

    def longest_s(self):
        """The time in which all faults are over: those of one process follow
        each other, each with the longest end and start of the process."""
        over_s = {}
        for _, fault in self.due:
            begins_s = max(fault.at_s, over_s.get(fault.process, 0))
            over_s[fault.process] = (begins_s + fault.for_s + END_WITHIN_S +
                                     STARTING_S)
        return max(over_s.values(), default=0) + MARGIN_S

    def give_up(self):
        """Leaves the faults that are not over, and says which they are."""
        left = [fault for _, fault in self.due] + [f for f, _ in self.open]
        for fault, _ in self.open:
            if fault.kind == "pause":
                self.end(fault)
        self.due, self.open = [], []
        return left

    def is_idle(self):
        return not self.due and not self.open
