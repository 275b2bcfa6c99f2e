"""Stand-ins of the platform, the backends, discovery and the clients, for the cases of this review.

They follow the protocol pages. Everything runs on loopback addresses, on the real clock, in one process and one event
loop; the proxies are processes of their own, started with the `run` line of the deploy file. Standard library only.
"""
import array
import asyncio
import fcntl
import itertools
import json
import logging
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import termios
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
# The page limits a case to 120 s.
LONGEST_RUN_SECONDS = 110
_started = time.monotonic()
_hosts = itertools.count(1)


class CannotRun(Exception):
    """The case could not be played as described, so that there is no verdict."""


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - _started


def new_host():
    """A loopback address of its own, so that its ports are free."""
    process = os.getpid()
    return "127.%d.%d.%d" % (64 + (process >> 8) % 64, process % 256, next(_hosts))


def free_address():
    """An address on a new host, with a free port."""
    host = new_host()
    with socket.socket() as probe:
        probe.bind((host, 0))
        return "%s:%d" % (host, probe.getsockname()[1])


def run_line():
    """The command by which the platform starts a proxy."""
    with open(os.path.join(ROOT, "deploy/balancer.toml")) as file:
        for line in file:
            found = re.match(r'run\s*=\s*"([^"]*)"', line)
            if found:
                return found.group(1)
    raise CannotRun("the deploy file has no run line")


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        self.file.write("%9.4f %s\n" % (now(), text))


async def read_message(reader):
    """Reads one HTTP/1.1 message that has a length or chunks. Returns its first line, header fields and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += chunk
    return head[0], fields, body


def answer(status, body="", *fields):
    """The bytes of an answer."""
    body = body.encode()
    head = ["HTTP/1.1 " + status, "Content-Length: %d" % len(body), *fields, "", ""]
    return "\r\n".join(head).encode() + body


def no_delay(writer):
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Server:
    """A server that reads one message after the other and writes what `respond` returns."""

    def __init__(self, name, respond):
        self.name = name
        self.respond = respond
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, new_host(), 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        no_delay(writer)
        try:
            while True:
                writer.write(await self.respond(self, await read_message(reader), writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The peer has closed the connection, or the case has ended.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Link:
    """A network path to a server that takes the same time for each byte, in each direction."""

    def __init__(self, server, one_way_seconds):
        self.server = server.rsplit(":", 1)
        self.one_way_seconds = one_way_seconds
        self.tasks = set()

    async def start(self):
        self.listener = await asyncio.start_server(self._connect, new_host(), 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()
        return self

    async def _connect(self, reader, writer):
        task = asyncio.current_task()
        # The event loop holds its tasks weakly.
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.server)
            no_delay(writer)
            no_delay(far_writer)
            await asyncio.gather(self._carry(reader, far_writer), self._carry(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _carry(self, reader, writer):
        """Hands over what is read, and the end, after the time of the path and in order."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                data = await reader.read(1 << 16)
                loop.call_later(self.one_way_seconds, writer.write if data else writer.close, *[data] if data else [])
                if not data:
                    return
        except ConnectionError:
            loop.call_later(self.one_way_seconds, writer.transport.abort)


class Discovery:
    """Discovery: answers calls for the whole list at once, and holds a watch until something is newer."""

    def __init__(self, record):
        self.record = record
        self.version = 1
        self.entries = {}
        self.changes = []
        self.changed = asyncio.Condition()

    async def start(self):
        self.address = (await Server("discovery", self._respond).start()).address
        return self

    def list(self, uid, address, zone, cell):
        """Lists a backend that has been up for long."""
        self.entries[uid] = {
            "uid": uid, "endpoint": address, "az": zone, "model": "m1", "pod_group": cell, "state": "Ready",
            "capacity_hint": 1.0, "boot_ms": 0}

    def whole(self):
        return {"rev": self.version, "all": True, "targets": list(self.entries.values())}

    async def _respond(self, _server, message, _writer):
        watch = re.search(r"from=(\d+)&hold_ms=(\d+)", message[0])
        if watch is None:
            return answer("200 OK", json.dumps(self.whole()), "Content-Type: application/json")
        since, hold = int(watch.group(1)), min(int(watch.group(2)), 60000) / 1000
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.version > since), hold)
            except asyncio.TimeoutError:
                pass
        latest = {entry["uid"]: entry for version, entry in self.changes if version > since}
        update = {"rev": self.version, "all": False, "targets": list(latest.values())}
        return answer("200 OK", json.dumps(update), "Content-Type: application/json")


class Client:
    """A client's connection to a proxy."""

    @classmethod
    async def open(cls, address):
        self = cls()
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        no_delay(self.writer)
        self.told_to_close = False
        return self

    def send(self, method, path, request_id, timeout_ms, body="", key=None, info=None):
        fields = ["%s %s HTTP/1.1" % (method, path), "Host: api.internal", "Request-Id: " + request_id,
                  "Request-Timeout-Ms: %d" % timeout_ms]
        if key is not None:
            fields.append("Idempotency-Key: " + key)
        if info is not None:
            fields.append("Request-Info: " + info)
        if method == "GET":
            body = ""
        else:
            fields.append("Content-Length: %d" % len(body))
        self.writer.write("\r\n".join([*fields, "", body]).encode())

    async def receive(self):
        """The status and the body of the next answer."""
        line, fields, body = await read_message(self.reader)
        self.told_to_close = fields.get("connection", "").lower() == "close"
        return int(line.split()[1]), body.decode()

    async def call(self, *arguments, **named):
        self.send(*arguments, **named)
        return await self.receive()

    def unacknowledged(self):
        """Number of bytes that the other machine has not accepted yet."""
        count = array.array("i", [0])
        fcntl.ioctl(self.writer.get_extra_info("socket").fileno(), termios.TIOCOUTQ, count)
        return count[0] + self.writer.transport.get_write_buffer_size()

    def close(self):
        self.writer.close()


class Proxy:
    """One proxy process, as the platform runs it. A folder is given if several processes of the proxy share it, and
    the clients' listening socket if the platform holds that."""

    def __init__(self, case, configuration, tmpdir=None, passed_socket=None):
        self.case = case
        self.configuration = configuration
        self.address = configuration["listen"]
        number = len(case.proxies)
        path = os.path.join(case.folder, "config-%d.json" % number)
        with open(path, "w") as file:
            json.dump(configuration, file)
        environment = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "BIRCHHUB_"))}
        environment.update({
            "LB_NAME": configuration["name"], "LB_LISTEN": configuration["listen"],
            "LB_DISCOVERY": configuration["discovery"], "LB_CONFIG": path,
            "TMPDIR": tmpdir or tempfile.mkdtemp(dir=case.folder)})
        if "management" in configuration:
            environment["LB_MANAGEMENT"] = configuration["management"]
        if passed_socket is not None:
            environment["LB_PASSED_SOCKET"] = "7"

        def before_start():
            for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
                signal.signal(number, signal.SIG_DFL)
            if passed_socket is not None:
                os.dup2(passed_socket.fileno(), 7, inheritable=True)

        with open(os.path.join(case.folder, "log-%d.txt" % number), "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_line()], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, preexec_fn=before_start, pass_fds=() if passed_socket is None else (7,))
        case.proxies.append(self)

    async def _await_yes(self, address, path, seconds):
        until = now() + seconds
        while now() < until:
            if self.process.poll() is not None:
                raise CannotRun("the proxy has ended with %s" % self.process.returncode)
            try:
                client = await Client.open(address)
                client.writer.write(("GET %s HTTP/1.1\r\nHost: proxy\r\n\r\n" % path).encode())
                status, _ = await asyncio.wait_for(client.receive(), 1)
                client.close()
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("%s did not say yes in %s s" % (path, seconds))

    async def await_ready(self):
        await self._await_yes(self.address, "/health/ready", 30)

    async def await_status(self):
        """Waits for the yes of the second address, which a new process owes within 6 s."""
        await self._await_yes(self.configuration["management"], "/status", 6)

    def signal(self, number):
        self.process.send_signal(number)

    async def await_exit(self, seconds):
        """Waits for the end of the process. Returns whether it has ended by itself in this time."""
        until = now() + seconds
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.01)
        return self.process.poll() is not None

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Case:
    """A run of a case: its record, its folder for temporary files and its processes, which end with it."""

    def __init__(self, file):
        self.record = Record(os.path.join(os.path.dirname(os.path.abspath(file)), "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="birchhub-review-")
        self.proxies = []

    def check_proxies(self, *expected_to_end):
        """Raises if a proxy has ended that should run: then the case has shown something else."""
        for proxy in self.proxies:
            code = proxy.process.poll()
            if code is not None and proxy not in expected_to_end:
                raise CannotRun("a proxy has ended with %s" % code)

    def play(self, scenario):
        """Runs the scenario, a coroutine that returns a list of broken rules, and exits with the verdict."""
        self.record("TROUBLE=%d" % TROUBLE)
        code = CANNOT_RUN
        # If stopped from outside or late, the processes are ended too.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
            signal.signal(number, self._give_up)
        signal.alarm(LONGEST_RUN_SECONDS)
        try:
            if not os.access(os.path.join(ROOT, "target/release/birchhubd"), os.X_OK):
                raise CannotRun("target/release/birchhubd is not built")
            broken = asyncio.run(self._run(scenario))
            for line in broken:
                self.record("BROKEN " + line)
            code = BROKEN if broken else HELD
            print("%s: %s" % ("broken, %d times" % len(broken) if broken else "held", "; ".join(broken[:3])))
        except CannotRun as reason:
            self.record("could not run: %s" % reason)
            print("could not run: %s" % reason)
        except Exception as error:
            self.record("could not run: %r" % error)
            print("could not run: %r" % error)
        finally:
            signal.alarm(0)
            self._end()
        sys.stdout.flush()
        os._exit(code)

    async def _run(self, scenario):
        broken = await scenario(self)
        # What the stand-ins' open connections say while the event loop ends is no part of the case.
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        return broken

    def _end(self):
        for proxy in self.proxies:
            proxy.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _give_up(self, number, _frame):
        self.record("ended by signal %d" % number)
        self._end()
        os._exit(CANNOT_RUN)


def milliseconds(count):
    return int(count * 1_000_000)


def method(name, effect, target_ms, deadline_ms, utility, **more):
    """A class of requests in the settings."""
    fields = {"name": name, "idempotency": effect, "latency-target-ns": milliseconds(target_ms),
              "hard-limit-ns": milliseconds(deadline_ms), "utility": utility, "tardy-utility": 0.0,
              "streaming": False, "dedup-scope": "all", "window-ns": milliseconds(5000)}
    fields.update(more)
    return fields


def configuration(name, listen, discovery, settings, seed, **more):
    """The configuration of a proxy, with the limits of the scored days."""
    fields = {"name": name, "listen": listen, "discovery": discovery.address, "seed": "%016x" % seed,
              "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.whole(),
              "settings": settings}
    fields.update(more)
    return fields
