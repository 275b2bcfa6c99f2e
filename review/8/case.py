"""A client sends a request slowly; meanwhile a bad client sends one with the id of that open request. The bad client is
owed an error or a close, and what has the id runs once."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

SETTINGS = settings([method("work-order", "non_idempotent", deadline=0.52, target=0.21)])
# 48 kB at 64 kB a second.
PIECE = 8000
PIECES = 6
PAUSE = PIECE / 64000


def play(case, trouble):
    record = case.record
    discovery = Discovery(record)
    lock = threading.Lock()
    runs = {}

    def backend(name):
        def handle(stream):
            while True:
                line, fields = stream.head()
                body = stream.body(fields)
                request = fields.get("request-id")
                if request is None:
                    stream.sock.sendall(response(404))
                    continue
                with lock:
                    runs.setdefault(request, []).append((record.now(), name, len(body)))
                record(f"{name} runs {request}, {len(body)} bytes of body")
                time.sleep(0.05)
                stream.sock.sendall(response(200, f"{name} ran {request} on {len(body)} bytes".encode()))
        return handle

    for number in (1, 2):
        sock = listener()
        serve(sock, backend(f"s-{number}"))
        discovery.publish(entry(f"s-{number}", address_of(sock)))
    listen = free_address()
    Process(case, config("n1", listen, discovery, SETTINGS), case.private_folder())
    case.await_ready(listen)
    discovery.await_watch()

    def head(request, length):
        return (f"POST /work-order HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {request}\r\n"
                f"Request-Timeout-Ms: 520\r\nContent-Length: {length}\r\n\r\n").encode()

    def answer(client, request, who):
        client.sock.settimeout(3.5)
        try:
            line, fields = client.head()
            status, body = int(line.split()[1]), client.body(fields)
        except (OSError, EOFError):
            status, body = 0, b""
        record(f"{who} is answered {status} {body} to {request}")
        return status

    for number in range(4):
        client = connect(listen)
        client.sock.sendall(head(f"usual-{number}", 5) + b"order")
        if answer(client, f"usual-{number}", "client") != 200:
            raise CannotRun("an ordinary request was not served")

    request = "order-1"
    client = connect(listen)
    client.sock.sendall(head(request, PIECE * PIECES))
    record(f"client begins {request}, {PIECE * PIECES} bytes of body")
    bad_status = None
    for number in range(PIECES):
        client.sock.sendall(b"o" * PIECE)
        if number < PIECES - 1:
            time.sleep(PAUSE)
        if number == 1 and trouble:
            bad = connect(listen)
            bad.sock.sendall(head(request, 7) + b"not it!")
            record(f"a bad client sends a request of 7 bytes with the id {request}")
            bad_status = answer(bad, request, "the bad client")
            bad.close()
    record(f"client has sent the last byte of {request}")
    answer(client, request, "client")
    time.sleep(0.2)

    for request, all_runs in runs.items():
        if len(all_runs) > 1:
            return f"{request} ran {len(all_runs)} times: {all_runs}; the bad client was answered {bad_status}"
    if bad_status is not None and bad_status < 400 and bad_status != 0:
        return f"the bad client was served with an answer, {bad_status}"
    return None


run(play)
