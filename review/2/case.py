"""Case 2: a backend writes a long answer slowly and does not say how long it is."""
import asyncio
import itertools
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

BACKENDS, CLIENTS = 4, 6
DEADLINE_MS = 520
PLAY_SECONDS = 8
# One of ten answers is long.
LONG_ANSWERS = 0.1
LONG_BYTES = 256 * 1024
# Pieces of a long answer: 80 kB/s with the disruption, which is a body of 64 kB/s and more. Its first bytes come at once.
PIECE_BYTES = 8 * 1024
PIECE_SECONDS = 0.1 if s.TROUBLE else 0.002
WORK_SECONDS = 0.02


def settings():
    """A small deployment with a safe and an unsafe class."""
    return {
        "balancers": 1, "membership-mode": "on_request", "failure-domains": ["east"], "my-zone": "east",
        "callers": {"marks-retry": True}, "weight-source": "none", "utility-by": "request", "workload": "proxy",
        "methods": [s.method("status-read", "read_like", 210, DEADLINE_MS, 2.0),
                    s.method("work-order", "non_idempotent", 210, DEADLINE_MS, 8.0)],
        "report": {"how": "none"},
        "ceilings": {
            "most-picks": 5, "cancel": True, "probes": False, "second-copies": False, "retry-after": False,
            "conn-idle-ns": s.milliseconds(15000), "connect-timeout-ns": s.milliseconds(250), "open-cap": 20000,
            "streams-per-conn": 1},
        "contract": {
            "ask-within-ns": s.milliseconds(10000), "drain-grace-ns": s.milliseconds(300), "cold-from": 0.3,
            "cold-ns": s.milliseconds(8900), "fall-multiple": 3.0, "tip-after-ns": s.milliseconds(1000),
            "grace-to-answer-ns": s.milliseconds(5)},
        "penalties": {"cross-zone": 0.005, "waste": 0.15, "late-fail": 0.057, "probe": 0.002},
        "goal": {"whole": 0.5, "worst-window": 0.2, "worst-class": 0.2, "worst-tenant": 0.1}}


class Backends:
    """Backends that write some answers in pieces, each piece as a chunk."""

    def __init__(self, case):
        self.record = case.record
        self.random = random.Random(4)
        # By request: when its long answer began, and how many bytes of it were written.
        self.long_began = {}
        self.written = {}

    async def respond(self, server, message, writer):
        request_id = message[1].get("request-id")
        self.record("%s begins %s" % (server.name, request_id))
        await asyncio.sleep(WORK_SECONDS)
        if self.random.random() >= LONG_ANSWERS:
            self.record("%s answers %s" % (server.name, request_id))
            return s.answer("200 OK", "answer to %s" % request_id)
        self.record("%s begins a long answer to %s" % (server.name, request_id))
        self.long_began[request_id] = s.now()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        piece = b"%x\r\n" % PIECE_BYTES + b"a" * PIECE_BYTES + b"\r\n"
        for number in range(LONG_BYTES // PIECE_BYTES):
            try:
                writer.write(piece)
                await writer.drain()
            except ConnectionError:
                self.record("%s: the proxy has closed the connection under the answer to %s" % (
                    server.name, request_id))
                raise
            self.written[request_id] = (number + 1) * PIECE_BYTES
            await asyncio.sleep(PIECE_SECONDS)
        self.record("%s has written all of the long answer to %s" % (server.name, request_id))
        return b"0\r\n\r\n"


async def scenario(case):
    backends = Backends(case)
    discovery = await s.Discovery(case.record).start()
    for number in range(BACKENDS):
        server = await s.Server("b%d" % number, backends.respond).start()
        discovery.list("s-%d" % number, server.address, "east", 1)
    proxy = s.Proxy(case, s.configuration("n1", s.free_address(), discovery, settings(), 41))
    await proxy.await_ready()
    sent = {}
    answers = {}
    ids = itertools.count(1)
    until = s.now() + PLAY_SECONDS

    async def client(number):
        connection = await s.Client.open(proxy.address)
        while s.now() < until:
            request_id = "%08x" % next(ids)
            path = ["/work-order", "/status-read"][number % 2]
            case.record("client sends %s %s" % (path, request_id))
            sent[request_id] = (path, s.now())
            try:
                status, body = await connection.call(
                    "POST" if path == "/work-order" else "GET", path, request_id, DEADLINE_MS, body="x" * 80)
                answers[request_id] = (status, body)
                case.record("client gets %d with %d bytes for %s" % (status, len(body), request_id))
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                answers[request_id] = (None, "")
                case.record("client: %r for %s" % (error, request_id))
                connection.told_to_close = True
            if connection.told_to_close:
                connection.close()
                connection = await s.Client.open(proxy.address)
            await asyncio.sleep(0.02)
        connection.close()

    await asyncio.gather(*[client(number) for number in range(CLIENTS)])
    case.check_proxies()
    case.record("%d sent, %d long answers" % (len(sent), len(backends.long_began)))
    if len(backends.long_began) < 10:
        raise s.CannotRun("only %d long answers" % len(backends.long_began))
    broken = []
    for request_id, began_at in backends.long_began.items():
        path, sent_at = sent[request_id]
        is_timely = began_at <= sent_at + DEADLINE_MS / 1000
        status, body = answers[request_id]
        # A safe request may have been repeated, and have got the short answer of another backend.
        is_whole = len(body) == LONG_BYTES or body == "answer to %s" % request_id
        if is_timely and not (status == 200 and is_whole):
            broken.append("lost: %s %s: its answer began after %.3f s, was cut off by the proxy after %d of %d bytes, and "
                          "its client got %s" % (path, request_id, began_at - sent_at, backends.written[request_id],
                                                 LONG_BYTES, status))
    return broken


s.Case(__file__).play(scenario)
