"""The count of a queue's jobs that have not begun, while an executor that was
lost without a sign holds them."""
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import stand

PREFIX = "/lohu930/"
FIRST = "5c0e7a21d94b36f8"
JOBS = ["7b1f03c2aa5e9d%02x" % i for i in range(8)]
OLD_S = 3.0 + 2.0   # visible_ms, and 2 s
LOOKS = 8
LOOK_EVERY_S = 0.5
STEP = {"count": 1, "cpu": 7000, "mem_mb": 2000, "est_runtime_ms": 640}


def begun_jobs():
    with open(os.path.join(FOLDER, "record.txt")) as record:
        return {line.split(" start ")[1][:16] for line in record
                if " start " in line}


def body(system, is_troubled):
    if not system.submit(FIRST, [dict(STEP, est_runtime_ms=6000)],
                         {"cpu": 7000, "ms": 6000}, prefix=PREFIX):
        raise OSError("the first job was not accepted")
    if not system.wait(15, lambda: system.where(FIRST + ".0.0.0")):
        raise OSError("the first job did not start")
    time.sleep(1)
    executor = system.where(FIRST + ".0.0.0")[0][0]
    if is_troubled:
        system.record.write("executor", executor.ip, "is lost for good: no "
                            "answer, no check-in")
        executor.life.paused_until = time.monotonic() + 1000
    accepted = {}
    for job in JOBS:
        if system.submit(job, [STEP], {"cpu": 7000, "ms": 640},
                         prefix=PREFIX):
            accepted[job] = time.monotonic()
    time.sleep(OLD_S + 0.5)
    n_wrong = 0
    for _ in range(LOOKS):
        asked_at = time.monotonic()
        status, text = system.get(PREFIX)
        begun = begun_jobs()  # after the answer: the count may be later
        waiting = sum(asked_at - at > OLD_S and job not in begun
                      for job, at in accepted.items())
        pending = json.loads(text)["pending"] if status == 200 else None
        system.record.write("pending", pending, "while", waiting,
                            "jobs that were accepted over 5 s ago have not "
                            "begun")
        if pending is not None and 2 * pending < waiting:
            n_wrong += 1
        time.sleep(LOOK_EVERY_S)
    return n_wrong == 0


stand.run_case(FOLDER, body, n_executors=8)
