"""Lists are pushed. A proxy is killed; the agent is told that a backend drains; discovery goes down; the proxy starts again
with the list that it last had. Nothing new goes to a backend that drains, as far as the proxy counts as told."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

GRACE = 0.5
SLACK = 0.05
# The page: "discovery is down for 8 s".
OUTAGE = 5.0
SETTINGS = settings(
    [method("dock-status", "read_like", deadline=0.4, target=0.2, **{"tardy-utility": 0.2}),
     method("start-trip", "idempotency_key", deadline=2.5, target=0.6, **{"window-ns": int(800e6), "tardy-utility": 0.5})],
    membership_mode="pushed",
    contract={"drain-grace-ns": int(GRACE * 1e9), "removal-not-binding": True, "cold-from": 0.13, "cold-ns": int(24e9)},
    ceilings={"most-picks": 3, "connect-timeout-ns": int(75e6), "conn-idle-ns": int(10e9)})


class Agent(Discovery):
    """The agent of a machine, to which lists are pushed. While discovery is down it is silent and learns nothing."""

    def __init__(self, record):
        self.is_silent = False
        super().__init__(record)

    def set_silent(self, is_silent):
        with self.changed:
            self.is_silent = is_silent
            self.changed.notify_all()
        self.record("discovery is down, the agent is silent" if is_silent else "discovery is back")

    def handle(self, stream):
        while True:
            line, fields = stream.head()
            stream.body(fields)
            query = dict(re.findall(r"[?&](\w+)=(\d+)", line.split()[1]))
            with self.changed:
                if "from" in query:
                    known, hold = int(query["from"]), int(query.get("hold_ms", "0")) / 1000
                    self.changed.wait_for(lambda: self.rev > known, timeout=hold)
                self.changed.wait_for(lambda: not self.is_silent)
            if "from" in query:
                with self.changed:
                    latest = {entry["uid"]: entry for rev, entry in self.changes if rev > known}
                    answer = {"rev": self.rev, "all": False, "targets": list(latest.values())}
            else:
                answer = self.whole()
            stream.sock.sendall(response(200, json.dumps(answer).encode()))


def play(case, trouble):
    record = case.record
    agent = Agent(record)
    lock = threading.Lock()
    got = []

    def backend(uid):
        def handle(stream):
            while True:
                if not stream.buffer:
                    stream.more()
                at = record.now()
                line, fields = stream.head()
                stream.body(fields)
                request = fields.get("request-id")
                if request is None:
                    stream.sock.sendall(response(404))
                    continue
                record(f"{uid} gets {request}")
                with lock:
                    got.append((at, uid, request))
                time.sleep(0.02)
                stream.sock.sendall(response(200, f"{uid} ran {request}".encode()))
        return handle

    entries = {}
    for number in range(1, 5):
        sock = listener()
        uid = f"s-{number}"
        serve(sock, backend(uid))
        entries[uid] = entry(uid, address_of(sock))
        agent.publish(entries[uid])
    listen = free_address()
    # The platform's copy of the list as this proxy last had it: `known` of both starts.
    document = config("n1", listen, agent, SETTINGS)
    first = Process(case, document, case.private_folder())
    case.await_ready(listen)

    ended = threading.Event()

    def client(number):
        count = 0
        while not ended.is_set():
            count += 1
            request = f"c{number}-{count}"
            head = "GET /dock-status" if count % 2 else "POST /start-trip"
            more = "" if count % 2 else f"Idempotency-Key: mark-{request}\r\nContent-Length: 0\r\n"
            try:
                stream = connect(listen, 1)
            except OSError:
                time.sleep(0.05)
                continue
            try:
                stream.sock.settimeout(2)
                stream.sock.sendall(f"{head} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {request}\r\n"
                                    f"Request-Timeout-Ms: 400\r\n{more}\r\n".encode())
                line, fields = stream.head()
                stream.body(fields)
            except (OSError, EOFError):
                pass
            stream.close()
            time.sleep(0.03)

    threads = [threading.Thread(target=client, args=(number,), daemon=True) for number in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    if not any(uid == "s-1" for _, uid, _ in got):
        raise CannotRun("s-1 was not used before it drains")
    first.signal(signal.SIGKILL)
    first.child.wait()
    time.sleep(0.3)
    agent.publish({**entries["s-1"], "state": "Terminating"})
    record("the agent has the drain of s-1")
    time.sleep(0.7)
    if trouble:
        agent.set_silent(True)
    time.sleep(0.5)
    started_at = record.now()
    Process(case, document, case.private_folder())
    time.sleep(OUTAGE)
    if trouble:
        agent.set_silent(False)
    time.sleep(1.5)
    ended.set()
    for thread in threads:
        thread.join()

    after_start = [uid for at, uid, _ in got if at > started_at]
    if not trouble and not after_start:
        raise CannotRun("the proxy served nothing after its start")
    late = [(at - started_at, request) for at, uid, request in got if uid == "s-1" and at > started_at + GRACE + SLACK]
    if late:
        return (f"{len(late)} requests went to s-1, which drains, {late[0][0]:.2f} to {late[-1][0]:.2f} s after the start "
                f"of the process, which counts as told from its first moment; the grace is {GRACE} s")
    return None


run(play)
