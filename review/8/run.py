"""A program whose budget is spent returns after the host that ran it was killed."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins2 import Case, Worker, call, manifest, now

TROUBLE = os.environ.get("TROUBLE") != "0"
RETENTION_S = 60.0
BUDGET, MOST, CHUNK = 2288, 286, 11
# The pause between the last turn and the next one, and from the 402 to the return: each is within
# `retention-s`.
THINK_S, AWAY_S = 40.0, 58.0

tokens = 0


def run_turn(worker, sock, req):
    global tokens
    worker.record.line(f"{worker.id}: runs {req.id}")
    head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    head += [f"{name}: {value}" for name, value in worker.headers(req).items()]
    sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
    for number in range(1, MOST // CHUNK + 1):
        event = f"id: {number}\ndata: {req.id} {number}\n\n".encode()
        sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        time.sleep(0.002)
    sock.sendall(b"0\r\n\r\n")
    return True


turns = 0


def send_turn(case, host):
    """Sends the program's next turn; returns its status."""
    global tokens, turns
    turns += 1
    request = f"turn-{turns}"
    headers = {"Request-Id": request, "Deadline-Ms": 4000, "Model-Id": "m", "Program-Id": "p1",
               "Session-Id": "s1", "Program-Deadline-Ms": 5200, "Token-Budget": BUDGET,
               "Token-Count": f"{812 + turns * MOST},{MOST}",
               "Prefix-Hash": f"5c1e07a2:512,91bd3f06:{300 + turns * MOST}"}
    status, _, body = call(host, "POST", "/gig/1", headers, b"go on")
    events = body.count(b"id: ") if status == 200 else 0
    tokens += events * CHUNK
    case.record.line(f"client: {request} by {host.name} gets {status}, {events} events; "
                     f"{tokens} tokens in all")
    return status


def main():
    with Case(os.path.dirname(os.path.abspath(__file__))) as case:
        for n in (1, 2, 3):
            Worker(case.store, case.record, "quill", f"i-{n}", run_turn)
        route = {"name": "gig", "hostname": "ficu95.example", "path-prefix": "/gig/",
                 "route-type": "streaming", "timeout-ms": 4000, "target-latency-ms": 200,
                 "priority": 0, "service": "quill", "max-attempts": 1, "stateful": False,
                 "retention-s": RETENTION_S, "public": False, "session-affinity": True,
                 "resumable": True, "gap-target-ms": 200}
        engine = {"slots": 12, "kv-capacity": 108066, "chunk-tokens": CHUNK,
                  "models": [{"name": "m"}]}
        service = {"name": "quill", "health-path": "/healthz", "max-connections": 160,
                   "protocol": "h1", "tls-enabled": False, "engine": engine}
        case.store.put("op", "config", manifest(1, [route], [service]))
        hosts = [case.host(f"edge-{n + 1}", zone=f"mid-{zone}") for n, zone in enumerate("abc")]
        for host in hosts:
            host.start()
        for host in hosts:
            host.wait_ready()
        time.sleep(6)

        # The program runs until its budget holds no further turn.
        for _ in range(BUDGET // MOST):
            if send_turn(case, hosts[0]) != 200:
                raise RuntimeError("a turn within the budget is not served")
        spent_at = now()
        if TROUBLE:
            time.sleep(2)
            hosts[0].kill()
            time.sleep(1)
            hosts[0].start()

        # A program that loops without end sends a turn twice more after a 402.
        time.sleep(spent_at + THINK_S - now())
        for _ in range(3):
            send_turn(case, hosts[1])
            time.sleep(0.2)
        # One that was stopped may return within `retention-s`.
        time.sleep(spent_at + THINK_S + AWAY_S - now())
        for _ in range(3):
            send_turn(case, hosts[2])

        excess = tokens - BUDGET - MOST
        case.record.line(f"budget {BUDGET}, most of one turn {MOST}, handed out {tokens}")
        print(f"handed out {tokens} of {BUDGET} + {MOST}")
        return int(excess > 0)


if __name__ == "__main__":
    try:
        sys.exit(main())
    except RuntimeError as e:
        print(f"the case could not run: {e}")
        sys.exit(2)
