"""Clients that hand jobs in, ask for them and cancel them, and an operator
that changes the configuration. Each remembers what it was answered.

A client keeps its connection open until that breaks, then takes the next
address. A request without a clear answer is sent again under the same id.
"""
import http.client
import json
import threading
import time

ANSWER_S = 3.0  # for which a client waits
RETRY_S = 0.4
REJECTED = (429, 503)
UNCLEAR = (0, 502, 504)  # 0: no answer, or a broken connection
VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.0
HOST = "h.example"
PREFIX = "/q/"
SERVICE = "s"


class Connection:
    """One open connection to one of the addresses at a time."""

    def __init__(self, addresses, first):
        self.addresses = addresses
        self.index = first
        self.open = None

    def ask(self, method, path, body=None):
        """Returns status and body; status 0 stands for no answer."""
        address = self.addresses[self.index % len(self.addresses)]
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "X-Jayrelay-Time-Left-Ms": str(int(ANSWER_S * 1000))}
        try:
            if self.open is None:
                self.open = http.client.HTTPConnection(address,
                                                       timeout=ANSWER_S)
            self.open.request(method, path, body, headers)
            answer = self.open.getresponse()
            text = answer.read()
            if answer.will_close:
                self.close()
            return answer.status, text
        except (OSError, http.client.HTTPException):
            self.close()
            self.index += 1
            return 0, b""

    def close(self):
        if self.open is not None:
            self.open.close()
        self.open = None


class JobRecord:
    """What a client knows of its job."""

    def __init__(self, job):
        self.job = job
        self.answers = []  # statuses of the attempts to hand it in
        self.acked_at = 0.0
        self.cancel_sent = False
        self.cancel_acked_at = 0.0
        self.completed_at = 0.0  # when it was first shown so
        self.final = {}  # gate -> state or status at the end

    @property
    def is_accepted(self):
        return self.acked_at > 0

    @property
    def is_refused(self):
        return bool(self.answers) and all(a in REJECTED for a in self.answers)


class Client(threading.Thread):
    def __init__(self, n, jobs, gates, began_at, stop, note):
        super().__init__(daemon=True)
        self.jobs = jobs
        self.connection = Connection(gates, n)
        self.began_at = began_at
        self.stop = stop
        self.note = note
        self.records = []
        self.asked = 0

    def wait_until(self, at):
        """Returns false if the soak was stopped."""
        return not self.stop.wait(max(at - time.monotonic(), 0))

    def run(self):
        tasks = [(job.at_s, 0, "submit", JobRecord(job)) for job in self.jobs]
        order = len(tasks)
        while tasks:
            tasks.sort(key=lambda t: t[:2])
            at_s, _, what, record = tasks.pop(0)
            if not self.wait_until(self.began_at + at_s):
                return
            for after_s, then in getattr(self, what)(record):
                order += 1
                now_s = time.monotonic() - self.began_at
                tasks.append((now_s + after_s, order, then, record))
        self.connection.close()

    def submit(self, record):
        if not record.answers:
            self.records.append(record)
        job = record.job
        status, _ = self.connection.ask("POST", PREFIX + job.id, json.dumps(
            {"spec": job.spec, "steps": job.steps}))
        record.answers.append(status)
        if 200 <= status < 300:
            record.acked_at = time.monotonic()
            return self.follow_up(job)
        if status not in REJECTED + UNCLEAR:
            self.note("CONFIG", "POST of job %s was answered %d"
                      % (job.id, status))
            return []
        if len(record.answers) >= job.attempts and status in REJECTED:
            return []
        # Rejected, the job may be handed in anew; unclear, it has to be.
        if len(record.answers) >= job.attempts + 10:
            return []
        return [(RETRY_S, "submit")]

    def follow_up(self, job):
        then = [(0.3, "ask"), (2.5, "ask"), (5.0, "ask")]
        if job.cancel_after_s:
            then.append((job.cancel_after_s, "cancel"))
        if job.repeat_after_s:
            then.append((job.repeat_after_s, "repeat"))
        return then

    def repeat(self, record):
        job = record.job
        self.connection.ask("POST", PREFIX + job.id, json.dumps(
            {"spec": job.spec, "steps": job.steps}))
        return []

    def ask(self, record):
        self.asked += 1
        sent_at = time.monotonic()
        status, text = self.connection.ask("GET", PREFIX + record.job.id)
        self.judge_state(record, sent_at, status, text)
        return []

    def cancel(self, record):
        record.cancel_sent = True
        status, _ = self.connection.ask("DELETE", PREFIX + record.job.id)
        if 200 <= status < 300:
            record.cancel_acked_at = time.monotonic()
            return [(1.0, "ask")]
        return [(RETRY_S, "cancel")] if status != 410 else []

    def judge_state(self, record, sent_at, status, text):
        """Returns the state that was shown, or NULL."""
        job = record.job
        if status == 410:
            if sent_at > record.acked_at + VISIBLE_S:
                self.note("LOST", "accepted job %s: GET was answered 410"
                          % job.id)
            return None
        if status == 404:
            self.note("CONFIG", "GET of job %s was answered 404" % job.id)
        if status != 200:
            return None
        state = json.loads(text)["state"]
        if state == "cancelled" and not record.cancel_sent:
            self.note("LOST", "job %s is cancelled, nobody asked for that"
                      % job.id)
        if state == "completed" and not record.completed_at:
            record.completed_at = time.monotonic()
        return state


class Operator(threading.Thread):
    """Sends new versions until each has a clear answer, and reads them."""

    CHANGE_S = 3.0

    def __init__(self, controls, began_at, seconds, stop, note):
        super().__init__(daemon=True)
        self.connection = Connection(controls, 0)
        self.readers = [Connection([address], 0) for address in controls]
        self.began_at = began_at
        self.seconds = seconds
        self.stop = stop
        self.note = note
        self.sent = {}  # version -> its text
        self.acked = {}  # version -> time of its ack

    def config(self, version):
        return json.dumps({
            "version": version,
            "routes": [{"name": "r", "host": HOST, "path_prefix": PREFIX,
                        "kind": "non_idempotent",
                        "timeout_ms": 3000 + version, "slo_ms": 300,
                        "priority": 0, "service": SERVICE, "max_attempts": 4,
                        "stretch": 1.5}],
            "services": [{"name": SERVICE, "admission_check": True}]})

    def replace(self, version):
        """Returns the status of one attempt."""
        text = self.sent.setdefault(version, self.config(version))
        status, _ = self.connection.ask("POST", "/Config.Replace", text)
        if status == 200:
            self.acked[version] = time.monotonic()
        elif 400 <= status < 500 and status not in (408, 429):
            self.note("CONFIG", "version %d was refused with %d"
                      % (version, status))
        return status

    def run(self):
        version = max(self.sent)
        while not self.stop.wait(self.CHANGE_S):
            if time.monotonic() > self.began_at + self.seconds:
                break
            version += 3
            while self.replace(version) != 200 and not self.stop.wait(RETRY_S):
                pass
            for reader in self.readers:
                self.read(reader)

    def read(self, reader):
        """Reads one process; returns the version that it gave, or 0."""
        sent_at = time.monotonic()
        status, text = reader.ask("GET", "/Config.Get")
        if status != 200:
            return 0
        held = json.loads(text)
        version = held["version"]
        owed = max([v for v, at in self.acked.items()
                    if at + CONFIG_APPLY_S < sent_at], default=0)
        if version < owed:
            self.note("CONFIG", "%s gave version %d after the ack of %d"
                      % (reader.addresses[0], version, owed))
        if held != json.loads(self.sent.get(version, "{}")):
            self.note("CONFIG", "%s gave version %d with other content"
                      % (reader.addresses[0], version))
        return version


class DrainRecord:
    """What the operator knows of a drain; times of the steady clock."""

    def __init__(self, drain):
        self.drain = drain
        self.acked_at = 0.0
        self.return_sent_at = 0.0  # the first time, 0: never
        self.returned_at = 0.0


class DrainOperator(threading.Thread):
    """Drains zones and takes them back, one after the other."""

    def __init__(self, drains, controls, began_at, stop, note):
        super().__init__(daemon=True)
        self.records = [DrainRecord(drain) for drain in drains]
        self.connection = Connection(controls, 1)
        self.began_at = began_at
        self.stop = stop
        self.note = note

    def send(self, path):
        """Sends until it is acknowledged; returns when, or 0."""
        while not self.stop.is_set():
            status, _ = self.connection.ask("POST", path)
            if status == 200:
                return time.monotonic()
            if status not in REJECTED + UNCLEAR:
                self.note("EVAC", "POST of %s was answered %d"
                          % (path, status))
                return 0.0
            self.connection.close()
            self.connection.index += 1
            self.stop.wait(RETRY_S)
        return 0.0

    def run(self):
        for record in self.records:
            drain = record.drain
            due = self.began_at + drain.at_s
            if self.stop.wait(max(due - time.monotonic(), 0)):
                return
            record.acked_at = self.send("/Evacuate.Start/" + drain.zone)
            if self.stop.wait(drain.for_s):
                return
            record.return_sent_at = time.monotonic()
            record.returned_at = self.send("/Evacuate.Finish/" + drain.zone)
