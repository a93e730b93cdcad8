"""A gateway that is stopped while the store is silent cuts requests.

Clients keep channels to it, which it goes on serving for too long. With
TROUBLE=0 the store answers.
"""

import pathlib
import signal
import socket
import sys
import threading
import time
import uuid

import fleet
import wire

# What was sent, answered and run.
RECORD = pathlib.Path(__file__).with_name("record.txt")
GATEWAYS = ("edge-north-apron-1", "edge-north-apron-2")
REPLICAS = ("i-31b174c273", "i-7f3a91c2aa")
# Milliseconds that a hold takes, and of its route's timeout.
HOLD_MS = 3400
TIMEOUT_MS = 7000
CLIENTS = 10
# Seconds from the store's silence to SIGTERM, and how long the store is silent.
SILENCE_SECONDS = 1.0
SILENT_SECONDS = 9.0
# Seconds after SIGTERM at which the first and the last client sends its hold.
FIRST_HOLD_SECONDS = 4.1
LAST_HOLD_SECONDS = 4.6
# From the settings: SIGKILL follows SIGTERM after that.
GRACE_SECONDS = 8.0


class Client:
    """A client that keeps a channel; it opens another one if that was closed.

    Attributes:
        result: How its hold ended.
    """

    def __init__(self, deployment: fleet.Fleet):
        self.deployment = deployment
        self.sock = self.connect(GATEWAYS[0])
        self.result = ""

    def connect(self, gateway: str) -> socket.socket:
        """Opens a channel to a gateway."""
        host, _, port = self.deployment.addresses[gateway].rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=10.0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def is_closed(self) -> bool:
        """Whether the idle channel was closed by its gateway."""
        self.sock.setblocking(False)
        try:
            return not self.sock.recv(1)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(10.0)

    def exchange(self, method: str, prefix: str) -> tuple[str, str]:
        """Sends a request; returns its id and the answer's first line."""
        attempt = uuid.uuid4().hex[:16]
        lines = (
            f"{method} {prefix}{attempt} HTTP/1.1",
            f"Host: {fleet.HOST}",
            f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {TIMEOUT_MS}",
            "Content-Length: 0",
        )
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode())
        received = b""
        try:
            while b"\r\n\r\n" not in received:
                data = self.sock.recv(65536)
                if not data:
                    return attempt, "closed without an answer"
                received += data
            head, _, body = received.partition(b"\r\n\r\n")
            first, fields = wire.parse_head(head)
            while len(body) < int(fields["content-length"]):
                data = self.sock.recv(65536)
                if not data:
                    return attempt, "closed within the answer"
                body += data
        except OSError as error:
            return attempt, repr(error)
        return attempt, first

    def hold(self, at: float, stopped_at: float) -> None:
        """Sends a hold at a time, on the kept channel if it is still open."""
        time.sleep(max(0.0, at - time.monotonic()))
        where = "its kept channel"
        if self.is_closed():
            self.sock.close()
            self.sock = self.connect(GATEWAYS[1])
            where = "a new channel to the other gateway"
        sent = time.monotonic() - stopped_at
        attempt, self.result = self.exchange("POST", "/rapu33/")
        ended = time.monotonic() - stopped_at
        self.deployment.note(
            f"hold {attempt}, sent {sent:.3f} s after SIGTERM on {where}, "
            f"ended {ended:.3f} s after it: {self.result}"
        )


def start(deployment: fleet.Fleet) -> None:
    """Starts the deployment."""
    for route in deployment.config["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
    deployment.start_store()
    options = ("--slow-prefix", "/rapu33/", "--slow-ms", str(HOLD_MS))
    for number, name in enumerate(REPLICAS):
        deployment.start_replica(name, 0.1 * number, *options)
    for name in GATEWAYS:
        deployment.start_gateway(name)
    deployment.start_beats()
    time.sleep(8.0)


def play(deployment: fleet.Fleet, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    start(deployment)
    clients = [Client(deployment) for _ in range(CLIENTS)]
    for client in clients:
        attempt, first = client.exchange("GET", "/puxa403/")
        deployment.note(f"lookup {attempt} on a channel that is kept: {first}")
    store = deployment.processes["store"]
    if has_trouble:
        store.send_signal(signal.SIGSTOP)
        deployment.note("the store falls silent")
    silent_at = time.monotonic()
    time.sleep(SILENCE_SECONDS)
    gateway = deployment.processes[GATEWAYS[0]]
    gateway.terminate()
    stopped_at = time.monotonic()
    deployment.note(f"{GATEWAYS[0]} gets SIGTERM")
    threads = []
    step = (LAST_HOLD_SECONDS - FIRST_HOLD_SECONDS) / CLIENTS
    for number, client in enumerate(clients):
        at = stopped_at + FIRST_HOLD_SECONDS + number * step
        thread = threading.Thread(target=client.hold, args=(at, stopped_at))
        thread.start()
        threads.append(thread)
    time.sleep(max(0.0, stopped_at + GRACE_SECONDS - time.monotonic()))
    alive = gateway.poll() is None
    gateway.kill()
    deployment.note(f"{GATEWAYS[0]} gets SIGKILL; it still ran: {alive}")
    time.sleep(max(0.0, silent_at + SILENT_SECONDS - time.monotonic()))
    store.send_signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    ran = [row["attempt"] for name in REPLICAS for row in deployment.runs(name)]
    deployment.note(f"the replicas ran {len(ran)} requests")
    lost = 0
    for client in clients:
        lost += not client.result.startswith("HTTP/1.1 ")
    deployment.note(f"{lost} of {CLIENTS} holds were read and never answered")
    return not lost


if __name__ == "__main__":
    sys.exit(fleet.run_case(play, RECORD))
