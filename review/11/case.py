"""A check-in of another writer, with a field missing, under the id of a sound
executor on which tasks run."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import stand

LASTING = "5c0e7a21d94b36f8"
BATCH = "7b1f03c2aa5e9d40"
WATCH_S = 15


def body(system, is_troubled):
    if not system.submit(LASTING, [
            {"count": 3, "cpu": 7000, "mem_mb": 2000, "est_runtime_ms": 400,
             "long_running": True}], {"cpu": 7000}):
        raise OSError("the lasting job was not accepted")
    if not system.submit(BATCH, [
            {"count": 3, "cpu": 7000, "mem_mb": 2000,
             "est_runtime_ms": 12000}], {"cpu": 7000, "ms": 12000},
            prefix="/pufi791/"):
        raise OSError("the batch job was not accepted")
    tasks = [job + ".0.0.0" for job in (LASTING, BATCH)]
    if not system.wait(15, lambda: all(map(system.where, tasks))):
        raise OSError("the jobs did not start")
    time.sleep(3)
    found, is_over = {}, threading.Event()
    threading.Thread(target=stand.watch_doubles, daemon=True,
                     args=(system, is_over, found)).start()
    executor = system.where(tasks[1])[0][0]
    if is_troubled:
        report = executor.life.report()
        report["capacity"] = {"mem_mb": 250000, "gpus": 0}  # `cpu` is missing
        report["born"] += 5000  # of the other writer
        report["seq"] = 1
        status, text = stand.call(
            system.controls[1], "POST",
            "/Executors.Heartbeat/" + executor.life.name, report)
        system.record.write("other writer: check-in without capacity.cpu as",
                            executor.life.name, "born", report["born"], "->",
                            status, text.strip())
    time.sleep(WATCH_S)
    is_over.set()
    for job, prefix in ((LASTING, "/pule252/"), (BATCH, "/pufi791/")):
        system.state(job, prefix)
    return not found


stand.run_case(FOLDER, body, n_executors=8)
