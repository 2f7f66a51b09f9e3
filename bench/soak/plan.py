"""What a seed stands for: the faults of each process and the jobs of each
client. Both are functions of the seed and the sizes alone.

Each process and each client has a random stream of its own, so series of
different processes overlap, and one process has one fault at a time.
"""
import random
from dataclasses import dataclass

CALM_S = 2.0  # before the first fault
CONTROLS = 3
GATES = 2

# role -> mean gap between faults in s, and kind -> (weight, shortest and
# longest time in s until the process runs again)
FAULTS = {
    "control": (7.0, {"pause": (3, 0.2, 4.5), "kill": (3, 0.1, 3.0),
                      "term": (2, 0.1, 3.0), "reload": (1, 0.0, 0.0)}),
    "gate": (7.0, {"pause": (2, 0.2, 3.0), "kill": (2, 0.1, 2.0),
                   "term": (3, 0.1, 2.0), "reload": (1, 0.0, 0.0)}),
    "executor": (14.0, {"pause": (3, 0.3, 6.0), "kill": (2, 0.3, 3.0),
                        "replace": (1, 0.3, 3.0)}),
}

CLIENTS = 4

ZONES = ("z", "y", "x")  # of the executors, in turn
DRAIN_GAP_S = 4.0  # mean, from the end of a drain to the next one
DRAIN_S = (6.0, 12.0)  # shortest and longest


@dataclass
class Drain:
    """One zone is drained and taken back; one at a time."""
    at_s: float
    zone: str
    for_s: float

    def __str__(self):
        return "%7.2f  zone %-5s  drain    %5.2f" % (self.at_s, self.zone,
                                                   self.for_s)


@dataclass
class Fault:
    at_s: float
    process: str
    kind: str
    for_s: float

    def __str__(self):
        return "%7.2f  %-10s  %-7s  %5.2f" % (
            self.at_s, self.process, self.kind, self.for_s)


@dataclass
class Job:
    at_s: float
    id: str
    spec: str
    steps: list
    attempts: int  # of the client to hand the job in
    cancel_after_s: float  # 0: it is not cancelled
    repeat_after_s: float  # 0: it does not arrive again after its ack

    @property
    def lasts(self):
        return self.spec == "lasts"


def process_names(executors):
    return (["control-%d" % n for n in range(1, CONTROLS + 1)] +
            ["gate-%d" % n for n in range(1, GATES + 1)] +
            ["executor-%d" % n for n in range(1, executors + 1)])


def draw_faults(seed, seconds, executors):
    """The faults of all processes, by time."""
    faults = []
    for process in process_names(executors):
        rng = random.Random("%d/faults/%s" % (seed, process))
        mean_gap_s, kinds = FAULTS[process.split("-")[0]]
        at_s = CALM_S + rng.expovariate(1 / mean_gap_s)
        while at_s < seconds:
            kind = rng.choices(list(kinds), [k[0] for k in kinds.values()])[0]
            for_s = rng.uniform(*kinds[kind][1:])
            faults.append(Fault(at_s, process, kind, for_s))
            at_s += for_s + 0.5 + rng.expovariate(1 / mean_gap_s)
    return sorted(faults, key=lambda f: (f.at_s, f.process))


def draw_drains(seed, seconds):
    rng = random.Random("%d/drains" % seed)
    drains = []
    at_s = CALM_S + rng.expovariate(1 / DRAIN_GAP_S)
    while at_s < seconds:
        drains.append(Drain(at_s, rng.choice(ZONES), rng.uniform(*DRAIN_S)))
        at_s += drains[-1].for_s + rng.expovariate(1 / DRAIN_GAP_S)
    return drains


def zone_of(executor):
    return ZONES[(int(executor.split("-")[1]) - 1) % len(ZONES)]


def draw_steps(rng, work_ms):
    steps = [{"count": rng.randint(1, 4), "cpu": 1000, "mem_mb": 1,
              "est_runtime_ms": work_ms}]
    if rng.random() < 0.4:
        steps.append(dict(steps[0], count=rng.randint(1, 3), after=[0]))
    return steps


def draw_job(rng, at_s):
    work_ms = rng.randint(100, 1200)
    return Job(at_s, "%016x" % rng.getrandbits(64), "ms=%d" % work_ms,
               draw_steps(rng, work_ms), rng.randint(1, 6),
               rng.uniform(0.1, 2.0) if rng.random() < 0.15 else 0,
               rng.uniform(0.5, 4.0) if rng.random() < 0.1 else 0)


def draw_lasting_job(rng, at_s, seconds):
    return Job(at_s, "%016x" % rng.getrandbits(64), "lasts",
               [{"count": 2, "cpu": 1000, "mem_mb": 1, "long_running": True}],
               6, rng.uniform(2, seconds) if rng.random() < 0.4 else 0, 0)


def draw_jobs(seed, client, seconds):
    """The jobs of one client, by time."""
    rng = random.Random("%d/client/%d" % (seed, client))
    jobs = [draw_lasting_job(rng, rng.uniform(0, seconds / 2), seconds)
            for _ in range(1 + client % 2)]
    at_s = rng.expovariate(1.0)
    while at_s < seconds:
        jobs.append(draw_job(rng, at_s))
        at_s += rng.expovariate(1.0)
    return sorted(jobs, key=lambda job: job.at_s)
