"""What the executors saw, held against what the callers were told.

The words in capitals name the promises; docs/SOAK.md lists them.
"""
import math
from dataclasses import dataclass

CRASHES_TO_GIVE_UP = 2  # of executors under one task
DRAINED_S = 5.0  # from the ack of a drain until nothing starts in the zone


@dataclass
class Run:
    task: str
    attempt: int
    spec: str
    log: str
    started_at: float
    ended_at: float = math.inf
    how: str = ""  # empty: at work
    noted_at: float = 0.0  # when its end was taken note of

    @property
    def job(self):
        return self.task.split(".")[0]

    @property
    def step(self):
        return int(self.task.split(".")[2])

    def __str__(self):
        return "%s attempt %d (%s)" % (self.task, self.attempt,
                                       self.log.rsplit("/", 1)[1])


def read_life(life):
    """The runs of one life of an executor; a kill ends what is at work."""
    runs = {}
    with open(life.log) as f:
        lines = f.read().split("\n")[:-1]  # the last one may be torn
    for words in map(str.split, lines):
        if words[:1] == ["start"]:
            run = Run(words[2], int(words[3]), words[5], life.log,
                      float(words[4]))
            runs[words[2], words[3]] = run
        elif words[:1] == ["end"]:
            run = runs[words[2], words[3]]
            run.how, run.ended_at = words[4], float(words[5])
        elif words[:1] == ["noted"]:
            runs[words[2], words[3]].noted_at = float(words[4])
        else:
            raise ValueError("%s has a line that no executor writes: %s"
                             % (life.log, " ".join(words)))
    for run in runs.values():
        if not run.how and life.killed_at:
            run.how = "killed"
            run.ended_at = max(life.killed_at, run.started_at)
    return list(runs.values())


def read_runs(lives):
    """All runs by task, each list by time of start."""
    tasks = {}
    for life in lives:
        if life.process.startswith("executor"):
            for run in read_life(life):
                tasks.setdefault(run.task, []).append(run)
    for runs in tasks.values():
        runs.sort(key=lambda run: run.started_at)
    return tasks


def task_names(job):
    return ["%s.0.%d.%d" % (job.id, step, n)
            for step, wanted in enumerate(job.steps)
            for n in range(wanted["count"])]


def open_runs(tasks, job):
    return [run for name in task_names(job) for run in tasks.get(name, [])
            if not run.how]


def first_done(tasks, name):
    return min([run.ended_at for run in tasks.get(name, [])
                if run.how == "done"], default=math.inf)


def crashes(tasks, job):
    """The largest number of executors that were killed under one task."""
    return max(sum(run.how == "killed" for run in tasks.get(name, []))
               for name in task_names(job))


def is_settled(record, state, tasks):
    """Whether the job is where it has to be in the end."""
    job = record.job
    at_work = open_runs(tasks, job)
    if record.cancel_sent and state == "cancelled":
        return not at_work
    if state == "failed":
        return crashes(tasks, job) >= CRASHES_TO_GIVE_UP
    if job.lasts:
        return (state == "running" and not record.cancel_acked_at and
                len({run.task for run in at_work}) == len(task_names(job)))
    return state == "completed" and not at_work


def judge_task(runs, note):
    latest = None
    for run in runs:
        if latest is not None and run.started_at < latest.ended_at:
            note("TWICE", "%s runs beside %s" % (run, latest))
        if latest is None or run.ended_at > latest.ended_at:
            latest = run
        for other in runs:
            if other.noted_at and other.ended_at < run.started_at:
                note("TWICE", "%s starts after the end of %s was taken note of"
                     % (run, other))


def judge_order(record, tasks, note):
    names = task_names(record.job)
    for name in names:
        for run in tasks.get(name, []):
            for step in record.job.steps[run.step].get("after", []):
                earlier = [n for n in names if n.split(".")[2] == str(step)]
                if max(first_done(tasks, n) for n in earlier) > run.started_at:
                    note("ORDER", "%s starts before the end of step %d"
                         % (run, step))


def judge_job(record, tasks, note):
    job = record.job
    names = task_names(job)
    if record.is_refused and any(name in tasks for name in names):
        note("REFUSED", "job %s ran though all attempts were rejected: %s"
             % (job.id, record.answers))
    judge_order(record, tasks, note)
    if record.completed_at and max(
            first_done(tasks, n) for n in names) > record.completed_at:
        note("MIXED", "job %s was shown as completed before its last task had "
             "ended" % job.id)


def judge_runs(records, tasks, note):
    jobs = {record.job.id: record.job for record in records}
    for name, runs in tasks.items():
        job = jobs.get(runs[0].job)
        if job is None or name not in task_names(job):
            note("UNASKED", "%s: no client sent it" % runs[0])
        for run in runs:
            if job is not None and run.spec != job.spec:
                note("UNASKED", "%s with spec %s" % (run, run.spec))
        judge_task(runs, note)
    for record in records:
        judge_job(record, tasks, note)


def judge_drains(records, tasks, zones, note):
    """@zones: zone of each executor's log."""
    runs = [run for task in tasks.values() for run in task]
    for record in records:
        if not record.acked_at:
            continue
        end = record.return_sent_at or math.inf
        for run in runs:
            after_s = run.started_at - record.acked_at
            if (zones[run.log] == record.drain.zone and
                    after_s > DRAINED_S and run.started_at < end):
                note("EVAC", "%s starts in zone %s, %.2f s after the ack of "
                     "its drain" % (run, record.drain.zone, after_s))
