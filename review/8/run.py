"""A request that crashes its workers comes again after a host that knew of it was killed."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins2 import Case, Worker, call, manifest, now, send_answer

TROUBLE = os.environ.get("TROUBLE") != "0"
KILLS = 2
WORKER_BACK_S = 2.0
PAUSE_S = 4.0
CONTACT_S = 3.0
# "... reaches workers in more than three retries, sent by machines in touch later than contact-ms
# after it has crashed the third."
ALLOWED = 3

reached = []


def run_call(worker, sock, req):
    if req.target != "/ping/crash":
        return send_answer(sock, 200, worker.headers(req), b"here")
    reached.append((now(), req.id))
    worker.record.line(f"{worker.id}: runs {req.id} and crashes")
    worker.crash()
    threading.Timer(WORKER_BACK_S, start_again, [worker]).start()
    return False


def start_again(worker):
    worker.start_again()
    worker.record.line(f"{worker.id}: is back")


def send(case, host, number):
    request = f"crash-{number}"
    headers = {"Request-Id": request, "Deadline-Ms": 1200}
    case.record.line(f"client: sends {request} to {host.name}")
    status, _, body = call(host, "GET", "/ping/crash", headers)
    case.record.line(f"client: {request} gets {status} {body}")
    time.sleep(PAUSE_S)


def main():
    with Case(os.path.dirname(os.path.abspath(__file__))) as case:
        for n in range(1, 5):
            Worker(case.store, case.record, "desk", f"i-{n}", run_call, slots=6)
        route = {"name": "ping", "hostname": "ficu95.example", "path-prefix": "/ping/",
                 "route-type": "idempotent", "timeout-ms": 1200, "target-latency-ms": 80,
                 "priority": 2, "service": "desk", "max-attempts": 1, "stateful": False,
                 "public": False, "session-affinity": False, "resumable": False}
        service = {"name": "desk", "health-path": "/healthz", "max-connections": 110,
                   "protocol": "h1", "tls-enabled": False}
        case.store.put("op", "config", manifest(1, [route], [service]))
        hosts = [case.host("edge-1"), case.host("edge-2", zone="mid-b")]
        for host in hosts:
            host.start()
        for host in hosts:
            host.wait_ready()
        time.sleep(5)
        for number in range(20):
            headers = {"Request-Id": f"quiet-{number}", "Deadline-Ms": 1200}
            if call(hosts[0], "GET", "/ping/1", headers)[0] != 200:
                raise RuntimeError("a plain request is not served")

        number = 0
        for round_ in range(KILLS + 1):
            if TROUBLE and round_ > 0:
                hosts[0].kill()
                time.sleep(0.5)
                hosts[0].start()
                hosts[0].wait_ready()
                time.sleep(CONTACT_S + 1.5)
            for _ in range(4):
                number += 1
                send(case, hosts[0], number)

        third = reached[2][0] if len(reached) > 2 else now()
        late = [request for at, request in reached if at > third + CONTACT_S]
        case.record.line(f"{number} sent, {len(reached)} ran; later than contact-ms after the third "
                         f"crash: {len(late)} {late}")
        print(f"ran {len(reached)} of {number}, late retries {len(late)}")
        return int(len(late) > ALLOWED)


if __name__ == "__main__":
    try:
        sys.exit(main())
    except RuntimeError as e:
        print(f"the case could not run: {e}")
        sys.exit(2)
