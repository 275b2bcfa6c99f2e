"""A long request is turned away by a full backend while its body still arrives; the connection to the next backend comes
up late. Each request that a backend runs must have the body that its client sent."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

# The first part is just over the 64 KiB of a short body; the rest follows after half a second.
FIRST = [bytes([65 + n % 26]) * 1000 for n in range(66)]
REST = [bytes([97 + n % 26]) * 1000 for n in range(54)]
SETTINGS = settings(
    [method("hold-place", "non_idempotent", deadline=6, target=1.5)],
    ceilings={"connect-timeout-ns": int(1.5e9), "most-picks": 3, "conn-idle-ns": int(30e9)},
    contract={"drain-grace-ns": int(250e6), "fall-multiple": 4.0, "cold-from": 0.15, "cold-ns": int(23e9)})


def chunks(parts):
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


def play(case, trouble):
    record = case.record
    discovery = Discovery(record)
    sent = {}
    ran = []
    full = threading.Event()
    turned_away = threading.Event()

    def run_request(stream, name, line, fields):
        body = stream.body(fields)
        request = fields.get("request-id")
        if request is None:
            stream.sock.sendall(response(404))
            return
        record(f"{name} runs {request}, {len(body)} bytes of body")
        ran.append((name, request, body))
        stream.sock.sendall(response(200, f"{name} ran {request} on {len(body)} bytes".encode()))

    def first_backend(stream):
        while True:
            line, fields = stream.head()
            if full.is_set():
                request = fields["request-id"]
                record(f"s-1 gets the head of {request}")
                turned_away.set()
                time.sleep(0.05)
                record(f"s-1 turns {request} away: 503 with Not-Started, its queue is full")
                stream.sock.sendall(response(503, b"", "Not-Started: 1\r\n"))
                record(f"s-1 was sent {len(stream.body(fields))} bytes of the body of {request} nevertheless")
            else:
                time.sleep(0.05)
                run_request(stream, "s-1", line, fields)

    def second_backend(stream):
        record("s-2 has accepted a connection")
        while True:
            line, fields = stream.head()
            run_request(stream, "s-2", line, fields)

    one, two = listener(), listener(backlog=0 if trouble else 64)
    serve(one, first_backend)
    fillers = []
    if trouble:
        # The accept queue of s-2 is full for a moment, so a handshake comes up with the kernel's retry, 1 s later.
        while len(fillers) < 8:
            filler = socket.socket()
            filler.settimeout(0.3)
            try:
                filler.connect(two.getsockname())
            except OSError:
                break
            fillers.append(filler)
    else:
        serve(two, second_backend)
    discovery.publish(entry("s-1", address_of(one)))

    listen = free_address()
    Process(case, config("n1", listen, discovery, SETTINGS), case.private_folder())
    case.await_ready(listen)
    discovery.await_watch()

    # Ordinary requests, on four connections to s-1.
    answers = {}

    def short(number):
        request, body = f"short-{number}", b"%d" % number * 500
        sent[request] = body
        client = connect(listen)
        client.sock.sendall(f"POST /hold-place HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {request}\r\n"
                            f"Request-Timeout-Ms: 6000\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        read_answer(client, request)

    def read_answer(client, request):
        client.sock.settimeout(8)
        try:
            line, fields = client.head()
            answers[request] = (int(line.split()[1]), client.body(fields))
            record(f"client is answered {answers[request]} to {request}")
        except (OSError, EOFError):
            answers[request] = (0, b"")
            record(f"client gets no answer to {request}")

    threads = [threading.Thread(target=short, args=(number,)) for number in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if any(answer[0] != 200 for answer in answers.values()):
        raise CannotRun("an ordinary request was not served")

    # The long request.
    full.set()
    request = "long-1"
    sent[request] = b"".join(FIRST + REST)
    client = connect(listen)
    client.sock.sendall(f"POST /hold-place HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {request}\r\n"
                        "Request-Timeout-Ms: 6000\r\nTransfer-Encoding: chunked\r\n\r\n".encode() + chunks(FIRST))
    record(f"client sends the first {sum(map(len, FIRST))} bytes of {request}")
    if not turned_away.wait(3):
        raise CannotRun("the first attempt did not reach s-1")
    discovery.publish(entry("s-2", address_of(two)))
    time.sleep(0.5)
    client.sock.sendall(chunks(REST) + b"0\r\n\r\n")
    record(f"client sends the last byte of {request}, {len(sent[request])} bytes in all")
    if trouble:
        two.listen(64)
        serve(two, second_backend)
        for filler in fillers:
            filler.close()
    read_answer(client, request)
    time.sleep(0.3)

    for name, request, body in ran:
        if body != sent[request]:
            return (f"{name} ran {request} with a body of {len(body)} bytes, its client sent {len(sent[request])} bytes "
                    f"and was answered {answers[request][0]}")
    return None


run(play)
