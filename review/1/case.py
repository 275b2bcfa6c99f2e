"""Case 1: a backend's second answer comes 8 ms after its first, and another request gets it.

The other request is served with a foreign body, or it is taken for never started while it runs, and runs once more."""
import asyncio
import itertools
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

# The pages: "a second answer may come some milliseconds late", and "when nothing else waits on the connection".
SECOND_ANSWER_AFTER_SECONDS = 0.008
# Every twentieth answer of a backend is followed by a second one, if nothing waits then.
SECOND_ANSWERS = 0.05
# One way between the two zones; the deployment's file says 5.6 to 10 ms. Within a zone nothing is added.
BETWEEN_ZONES_SECONDS = 0.006
PLAY_SECONDS = 30
PROXIES, BACKENDS, CLIENTS_EACH = 2, 6, 30
# What a backend takes at a time: four slots and a queue of one. More is turned away as never started.
SLOTS_AND_QUEUE = 5
# The deployment's work, targets and deadlines, an eighth of each, as the pages scale them to the traffic of a proxy.
WORK_SECONDS = (0.012, 0.022)
CLASSES = {
    # Path: effect, target and deadline in ms, utility.
    "/read": ("read_like", 140, 350, 2.0),
    "/alarm": ("non_idempotent", 140, 350, 5.0),
    "/log": ("idempotency_key", 92, 231, 8.0)}
# Two of five requests are safe, two are unsafe.
TRAFFIC = ["/read", "/read", "/alarm", "/alarm", "/log"]


def settings():
    """A small deployment: no probes, reports in answers, three classes of different effect."""
    methods = [s.method(path[1:], *figures, **{
        "tardy-utility": 0.5, "dedup-scope": "cell", "window-ns": s.milliseconds(10000)})
        for path, figures in CLASSES.items()]
    return {
        "balancers": PROXIES, "membership-mode": "on_request", "failure-domains": ["east", "west"], "my-zone": "east",
        "callers": {"marks-retry": True}, "weight-source": "none", "utility-by": "request", "workload": "proxy",
        "methods": methods,
        "report": {"how": "answers", "fields": ["err_ps", "tps", "concurrent"]},
        "ceilings": {
            "most-picks": 3, "cancel": True, "probes": False, "second-copies": False, "retry-after": True,
            "max-retry-after-ns": s.milliseconds(2000), "conn-idle-ns": s.milliseconds(5000),
            "connect-timeout-ns": s.milliseconds(250), "open-cap": 20000, "streams-per-conn": 1},
        "contract": {
            "ask-within-ns": s.milliseconds(10000), "drain-grace-ns": s.milliseconds(500), "cold-from": 0.12,
            "cold-ns": s.milliseconds(20000), "fall-multiple": 4.0, "tip-after-ns": s.milliseconds(2000),
            "grace-to-answer-ns": s.milliseconds(5)},
        "penalties": {"cross-zone": 0.01, "waste": 0.2, "late-fail": 0.03, "probe": 0.0},
        "goal": {"whole": 0.45, "worst-window": 0.35, "worst-class": 0.2}}


class Backends:
    """Backends that answer each request once, and some of them a second time when told to."""

    def __init__(self, case):
        self.record = case.record
        self.random = random.Random(1)
        self.held = {}
        # Requests on each connection that a backend has read and not answered.
        self.waiting = {}
        # The backends at which each request has begun.
        self.runs = {}
        self.second_answers = 0
        self.tasks = set()

    async def respond(self, server, message, writer):
        line, fields, _ = message
        request_id = fields.get("request-id")
        if request_id is None:
            return s.answer("404 Not Found")
        self.waiting[writer] = 1
        held = self.held.get(server.name, 0)
        if held >= SLOTS_AND_QUEUE:
            self.record("%s turns %s away" % (server.name, request_id))
            text = s.answer("503 Service Unavailable", "full", "Not-Started: 1", self.report(held))
        else:
            self.held[server.name] = held + 1
            self.runs.setdefault(request_id, []).append(server.name)
            self.record("%s begins %s %s" % (server.name, line, request_id))
            await asyncio.sleep(self.random.uniform(*WORK_SECONDS))
            self.held[server.name] -= 1
            body = "answer to %s" % request_id
            text = s.answer("200 OK", body, self.report(self.held[server.name]))
            self.record("%s answers %s" % (server.name, request_id))
        self.waiting[writer] = 0
        if s.TROUBLE and self.random.random() < SECOND_ANSWERS:
            task = asyncio.create_task(self.write_again(server, request_id, text, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return text

    async def write_again(self, server, request_id, text, writer):
        await asyncio.sleep(SECOND_ANSWER_AFTER_SECONDS)
        if self.waiting[writer] == 0 and not writer.is_closing():
            self.second_answers += 1
            self.record("%s answers %s a second time, as nothing waits there" % (server.name, request_id))
            writer.write(text)

    @staticmethod
    def report(held):
        return "Server-Load: err_ps=0,tps=40,concurrent=%d" % held


async def scenario(case):
    backends = Backends(case)
    discovery = await s.Discovery(case.record).start()
    for number in range(BACKENDS):
        server = await s.Server("b%d" % number, backends.respond).start()
        is_near = number % 2 == 0
        address = server.address if is_near else (await s.Link(server.address, BETWEEN_ZONES_SECONDS).start()).address
        discovery.list("s-%d" % number, address, "east" if is_near else "west", number // 3)
    for number in range(PROXIES):
        s.Proxy(case, s.configuration("n%d" % number, s.free_address(), discovery, settings(), 17 + number))
    for proxy in case.proxies:
        await proxy.await_ready()

    broken = []
    answered = {}
    ids = itertools.count(1)
    until = s.now() + PLAY_SECONDS
    choice = random.Random(2)

    async def client(proxy):
        connection = await s.Client.open(proxy.address)
        while s.now() < until:
            request_id = "%08x" % next(ids)
            path = choice.choice(TRAFFIC)
            timeout = CLASSES[path][2]
            http_method = "GET" if path == "/read" else "POST"
            key = "key-" + request_id if path == "/log" else None
            case.record("client sends %s %s to %s" % (path, request_id, proxy.configuration["name"]))
            status, body = await connection.call(http_method, path, request_id, timeout, body="x" * 40, key=key)
            case.record("client gets %d '%s' for %s" % (status, body.strip(), request_id))
            answered[request_id] = (path, status)
            if status == 200 and body != "answer to %s" % request_id:
                broken.append("lost: %s %s was answered with '%s'" % (path, request_id, body))
            if connection.told_to_close:
                connection.close()
                connection = await s.Client.open(proxy.address)
            await asyncio.sleep(choice.uniform(0.002, 0.02))
        connection.close()

    await asyncio.gather(*[client(proxy) for proxy in case.proxies for _ in range(CLIENTS_EACH)])
    case.check_proxies()
    unsafe = {request_id: status for request_id, (path, status) in answered.items() if path == "/alarm"}
    twice = {request_id: runs for request_id, runs in backends.runs.items() if request_id in unsafe and len(runs) > 1}
    wrongly_refused = [request_id for request_id, status in unsafe.items()
                       if status in (429, 503) and request_id in backends.runs]
    foreign = len(broken)
    broken = [
        *["duplicate: unsafe %s ran at %s" % (request_id, " and at ".join(runs)) for request_id, runs in twice.items()],
        *["duplicate: unsafe %s was refused as harmless to try again, but ran" % request_id
          for request_id in wrongly_refused],
        *broken]
    served = sum(1 for _, status in answered.values() if status == 200)
    case.record("%d unsafe ran twice, %d unsafe refused that had run, %d served with a foreign body" % (
        len(twice), len(wrongly_refused), foreign))
    case.record("%d answered, %d served, %d second answers" % (len(answered), served, backends.second_answers))
    if served < 500 or (s.TROUBLE and backends.second_answers < 10):
        raise s.CannotRun("too little was played: %d served, %d second answers" % (served, backends.second_answers))
    return broken


s.Case(__file__).play(scenario)
