"""An executor leaves while it is cut off, and whether its task runs twice."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../common"))
import deployment  # noqa: E402

EXECUTORS = 8
DRAINS_S = 4.5  # a check-in, drain_ms after its ack, and a little longer
ENDS_S = 3  # after its request, which gets no answer
JOB = {"spec": "lasts cpu=4000", "steps": [
    {"count": 3, "cpu": 4000, "mem_mb": 100, "est_runtime_ms": 1000,
     "long_running": True}]}
PATH = "/q/00000000000000f5"


def started(d):
    rows = [row for row in d.runs() if row[4] is None]
    return rows if len(rows) == JOB["steps"][0]["count"] else None


def end_of(d, row):
    return d.now() if row[4] is None else row[4]


def overlaps(d):
    """Pairs of runs of one task that were at work at the same time."""
    rows = d.runs()
    return [(a, b) for i, a in enumerate(rows) for b in rows[i + 1:]
            if a[1] == b[1] and b[3] < end_of(d, a)]


def case(d, trouble):
    d.start_system()
    d.put_config(deployment.config(3))
    d.start_executors("executors", range(1, EXECUTORS + 1))
    d.wait_until_ready()
    d.submit(PATH, JOB)
    rows = d.wait_for(20, "all tasks have started", lambda: started(d))
    time.sleep(3)
    leaving = rows[0][0]
    d.tell_executors("executors", "drain " + leaving)
    time.sleep(DRAINS_S)
    if trouble:
        d.tell_executors("executors", "cut " + leaving)
    d.tell_executors("executors", "leave " + leaving)
    time.sleep(ENDS_S if trouble else 0.1)
    d.tell_executors("executors", "end " + leaving)
    time.sleep(10)
    d.note_runs()
    pairs = overlaps(d)
    for a, b in pairs:
        d.note("TWICE", a[1], "attempt %d on %s from %.3f to %.3f" % (
            a[2], a[0], a[3], end_of(d, a)), "and attempt %d on %s from %.3f"
               % (b[2], b[0], b[3]))
    return not pairs


deployment.main(FOLDER, "bergstijl-plan", case)
