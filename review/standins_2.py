"""Stand-ins for cases 6 to 10: clients, backends, discovery and the platform, as the operators' protocol pages
describe them. Only the standard library is used, and all addresses are loopback addresses.

A case calls `run(claim, body)`: `body(case, trouble)` plays the case, with or without its disruption, and returns a text
that says how the rule was broken, or None. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
could not run.
"""
import itertools
import json
import os
import re
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LIMIT_SECONDS = 110


class CannotRun(Exception):
    """The case could not be played: it says nothing about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


def listener(host="127.0.0.1", backlog=256):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.bind((host, 0))
    sock.listen(backlog)
    return sock


def address_of(sock):
    host, port = sock.getsockname()
    return f"{host}:{port}"


def free_address():
    sock = listener()
    address = address_of(sock)
    sock.close()
    return address


class Stream:
    """A TCP connection that is read by lines and lengths."""

    def __init__(self, sock):
        self.sock = sock
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def until(self, end):
        while end not in self.buffer:
            self.more()
        head, self.buffer = self.buffer.split(end, 1)
        return head

    def exactly(self, length):
        while len(self.buffer) < length:
            self.more()
        data, self.buffer = self.buffer[:length], self.buffer[length:]
        return data

    def head(self):
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int(self.until(b"\r\n").split(b";")[0], 16)
                if size == 0:
                    while self.until(b"\r\n"):
                        pass
                    return b"".join(parts)
                parts.append(self.exactly(size))
                self.exactly(2)
        return self.exactly(int(fields.get("content-length", "0")))

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


def response(status, body=b"", extra=""):
    reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}.get(status, "Status")
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


def serve(sock, handle):
    """Accepts connections on a thread; `handle(stream)` serves each on a thread of its own."""

    def one(peer):
        stream = Stream(peer)
        try:
            handle(stream)
        except (EOFError, OSError, ValueError):
            pass
        finally:
            stream.close()

    def accept():
        while True:
            try:
                peer, _ = sock.accept()
            except OSError:
                return
            threading.Thread(target=one, args=(peer,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


class Discovery:
    """The discovery service: the whole list, and watches of its changes."""

    def __init__(self, record):
        self.record = record
        self.sock = listener()
        self.address = address_of(self.sock)
        self.changed = threading.Condition()
        self.rev = 0
        self.entries = {}
        self.changes = []
        self.watched = threading.Event()
        serve(self.sock, self.handle)

    def publish(self, *entries):
        """Makes these changes the next version of the list."""
        with self.changed:
            self.rev += 1
            for entry in entries:
                if entry["state"] == "Gone":
                    self.entries.pop(entry["uid"], None)
                else:
                    self.entries[entry["uid"]] = entry
                self.changes.append((self.rev, entry))
                self.record(f"discovery has rev {self.rev}: {entry['uid']} {entry['state']}")
            self.changed.notify_all()

    def whole(self):
        with self.changed:
            return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    def await_watch(self):
        if not self.watched.wait(10):
            raise CannotRun("the proxy does not watch the list")
        time.sleep(0.05)

    def handle(self, stream):
        while True:
            line, fields = stream.head()
            stream.body(fields)
            query = dict(re.findall(r"[?&](\w+)=(\d+)", line.split()[1]))
            if "from" not in query:
                answer = self.whole()
            else:
                self.watched.set()
                known, hold = int(query["from"]), int(query.get("hold_ms", "0")) / 1000
                with self.changed:
                    self.changed.wait_for(lambda: self.rev > known, timeout=hold)
                    latest = {}
                    for rev, entry in self.changes:
                        if rev > known:
                            latest[entry["uid"]] = entry
                    answer = {"rev": self.rev, "all": False, "targets": list(latest.values())}
            self.written(answer)
            stream.sock.sendall(response(200, json.dumps(answer).encode()))

    def written(self, answer):
        for entry in answer["targets"]:
            self.record(f"discovery tells rev {answer['rev']}: {entry['uid']} {entry['state']}")


def entry(uid, address, state="Ready", zone="a", cell=1, boot_ms=0):
    return {"uid": uid, "endpoint": address, "az": zone, "model": "m1", "pod_group": cell, "state": state,
            "capacity_hint": 1.0, "boot_ms": boot_ms}


def method(name, effect, deadline, target=None, **more):
    target = target or deadline
    return {"name": name, "idempotency": effect, "dedup-scope": "cell", "window-ns": int(4e9), "utility": 1.0,
            "tardy-utility": 0.0, "streaming": False, "latency-target-ns": int(target * 1e9),
            "hard-limit-ns": int(deadline * 1e9), **more}


def settings(methods, **changes):
    document = {
        "balancers": 1, "workload": "proxy", "membership-mode": "on_request", "failure-domains": ["a"], "my-zone": "a",
        "me": 0, "methods": methods, "callers": {"marks-retry": True},
        "ceilings": {"cancel": True, "probes": False, "second-copies": False, "retry-after": False,
                     "most-picks": 5, "open-cap": 20000, "streams-per-conn": 1, "conn-idle-ns": int(15e9),
                     "connect-timeout-ns": int(250e6), "max-retry-after-ns": int(2e9), "cpu-us-per-s": 400000,
                     "cpu-us-per-request": 0.0, "may-tell": False},
        "contract": {"ask-within-ns": int(10e9), "cold-from": 0.3, "cold-ns": int(9e9), "fall-multiple": 3.0,
                     "tip-after-ns": int(1e9), "drain-grace-ns": int(300e6), "grace-to-answer-ns": int(5e6)},
        "report": {"how": "none", "fields": []}, "weight-source": "none", "utility-by": "request",
        "overage-utility": 0.05, "tick-ns": int(1e6),
        "goal": {"whole": 0.5, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.2},
        "penalties": {"probe": 0.002, "cross-zone": 0.005, "waste": 0.15, "late-fail": 0.05},
    }
    for key, value in changes.items():
        key = key.replace("_", "-")
        if isinstance(value, dict):
            document.setdefault(key, {}).update(value)
        else:
            document[key] = value
    return document


def run_command():
    text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
    found = re.search(r'^run\s*=\s*"([^"]+)"', text, re.M)
    if not found:
        raise CannotRun("no run line in the deploy file")
    return found.group(1)


class Process:
    """A process that the deploy file's `run` line started."""

    def __init__(self, case, config, folder, passed=None):
        self.record = case.record
        self.name = config["name"]
        self.file = os.path.join(case.folder, f"config-{len(case.processes)}.json")
        self.write(config)
        self.log = open(os.path.join(case.folder, f"log-{len(case.processes)}.txt"), "wb")
        environment = dict(os.environ, LB_CONFIG=self.file, TMPDIR=folder, LB_NAME=config["name"],
                           LB_LISTEN=config["listen"], LB_DISCOVERY=config["discovery"])
        environment.pop("LB_PASSED_SOCKET", None)
        if "management" in config:
            environment["LB_MANAGEMENT"] = config["management"]
        command, stdin = run_command(), subprocess.DEVNULL
        if passed is not None:
            # The platform holds the clients' listening socket; each process inherits it as descriptor 7.
            environment["LB_PASSED_SOCKET"] = "7"
            command, stdin = f"exec 7<&0 </dev/null; {command}", passed
        self.child = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=stdin,
                                      stdout=self.log, stderr=self.log)
        self.record(f"platform starts process {self.child.pid} of proxy {self.name}")
        case.processes.append(self)

    def write(self, config):
        new = self.file + ".new"
        with open(new, "w") as file:
            json.dump(config, file)
        os.replace(new, self.file)

    def signal(self, number):
        self.record(f"platform sends {signal.Signals(number).name} to process {self.child.pid}")
        self.child.send_signal(number)

    def alive(self):
        return self.child.poll() is None

    def log_text(self):
        return open(self.log.name, errors="replace").read()

    def end(self):
        if self.alive():
            try:
                self.child.send_signal(signal.SIGCONT)
                self.child.kill()
            except OSError:
                pass
        self.child.wait()


def connect(address, timeout=5.0):
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=timeout)
    return Stream(sock)


def call(address, line, timeout=1.0):
    """One call on a connection of its own; the status, or 0 if there is no answer."""
    try:
        stream = connect(address, timeout)
    except OSError:
        return 0
    try:
        stream.sock.sendall(f"{line} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n".encode())
        status, fields = stream.head()
        stream.body(fields)
        return int(status.split()[1])
    except (OSError, EOFError, ValueError):
        return 0
    finally:
        stream.close()


def await_that(what, check, seconds=10.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.01)
    raise CannotRun(f"{what} did not happen within {seconds} s")


class Case:
    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.processes = []

    def await_ready(self, address):
        await_that("readiness of the proxy", lambda: call(address, "GET /health/ready") == 200)
        self.record("proxy says that it is ready")

    def private_folder(self):
        return tempfile.mkdtemp(dir=self.folder)


seeds = itertools.count(0x5eed01)


def config(name, listen, discovery, settings_document, **more):
    """The configuration of a proxy. The seeds of a case's processes are 5eed01, 5eed02 and so on."""
    return {"name": name, "listen": listen, "discovery": discovery.address, "seed": f"{next(seeds):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.whole(),
            "settings": settings_document, **more}


def run(body):
    """Plays a case; its folder is that of the script that was started."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    place = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(place, "record.txt"))
    record("with the disruption" if trouble else "without the disruption (TROUBLE=0)")
    folder = tempfile.mkdtemp(prefix="review-2-")
    case = Case(folder, record)

    def too_long():
        record("the case takes too long")
        for process in case.processes:
            process.end()
        shutil.rmtree(folder, ignore_errors=True)
        os._exit(2)

    watchdog = threading.Timer(LIMIT_SECONDS, too_long)
    watchdog.daemon = True
    watchdog.start()
    code = 2
    try:
        broken = body(case, trouble)
        code = 1 if broken else 0
        record(f"RULE BROKEN: {broken}" if broken else "the rule held")
    except CannotRun as error:
        record(f"could not run: {error}")
    except BaseException:
        record("could not run: " + traceback.format_exc())
    finally:
        for process in case.processes:
            process.end()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
