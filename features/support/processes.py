"""One child process of a test: started, watched, frozen, ended by its pid."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

from features.support import http

# Seconds; a loaded machine takes several for a start. No test's verdict
# hangs on it.
START_LIMIT = 60.0
STOP_LIMIT = 60.0
LOOK = 0.02


class Process:
    """One process on an IP number of its own.

    Attributes:
        name: For messages; also its log file's name.
        host: Its IP number.
        address: Its IP number and port.
        url: The base of its HTTP addresses.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        host: str,
        port: int,
        folder: pathlib.Path,
        environment: dict[str, str],
    ):
        self.name = name
        self.command = [sys.executable, "-m", module, *arguments]
        self.host = host
        self.port = port
        self.address = f"{host}:{port}"
        self.url = f"http://{self.address}"
        self.path = folder / f"{name}.log"
        self.environment = environment
        self.frozen = False
        self.child: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Starts the process; its log goes on in the same file."""
        with self.path.open("ab") as log:
            self.child = subprocess.Popen(
                self.command,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **self.environment},
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self.child.pid

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        return self.child.poll() is None

    def ready(self, path: str) -> bool:
        """Whether a GET of a path is answered with 200."""
        assert self.alive, f"{self.name} has ended:\n{self.tail()}"
        with contextlib.suppress(*http.Gone):
            return http.get(self.url + path, timeout=1.0).status == 200
        return False

    def until_ready(self, path: str) -> None:
        """Waits until a GET of a path is answered with 200."""
        limit = time.monotonic() + START_LIMIT
        while not self.ready(path):
            assert time.monotonic() < limit, (
                f"{self.name} is not ready:\n{self.tail()}"
            )
            time.sleep(LOOK)

    def kill(self) -> None:
        """Ends it at once (SIGKILL)."""
        self.child.kill()
        self.child.wait()

    def freeze(self) -> None:
        """Pauses it (SIGSTOP)."""
        self.child.send_signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Lets it go on (SIGCONT)."""
        self.child.send_signal(signal.SIGCONT)
        self.frozen = False

    def terminate(self) -> None:
        """Asks it to stop (SIGTERM), without waiting."""
        self.child.terminate()

    def stop(self, limit: float = STOP_LIMIT) -> int:
        """Asks it to stop (SIGTERM), waits, and gives the exit code."""
        self.terminate()
        return self.child.wait(limit)

    def restart(self) -> None:
        """Starts it again with the same command, as a new incarnation."""
        assert not self.alive
        self.start()

    def log_lines(self) -> list[dict[str, Any]]:
        """Lists the log's lines that are JSON objects."""
        found = []
        for line in self.path.read_text(errors="replace").splitlines():
            if not line.startswith("{"):
                continue
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def events(self, number: int) -> list[dict[str, Any]]:
        """Lists the log's lines of one numbered event."""
        lines = self.log_lines()
        return [line for line in lines if line.get("number") == number]

    def tail(self, lines: int = 30) -> str:
        """Gives the end of the log."""
        text = self.path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def faults(self, **changes) -> None:
        """Changes the switches of a stand-in."""
        answer = http.post(f"{self.url}/_test/faults", changes)
        assert answer.status == 200, answer

    def test(self, path: str) -> Any:
        """Reads what a stand-in records, below ``/_test/``."""
        return http.get(f"{self.url}/_test/{path}").json()
