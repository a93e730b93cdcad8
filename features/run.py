"""Runs behave and prints one closing line taken from its own results.

A scenario listed in KNOWN-RED.txt may fail without failing the run; every
other failure fails it. Usage: ``python -m features.run [behave arguments]``.
"""

from concurrent import futures
import contextlib
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import textwrap
from typing import NamedTuple

import psutil

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / "reports" / "behave"
KNOWN_RED = ROOT / "KNOWN-RED.txt"

# Feature files that run side by side. A fleet is a dozen processes that
# mostly wait; four of them keep about half of 12 cores busy.
WORKERS = 4
# First line of a feature file that runs apart from all others: what it checks
# of a process's memory must not depend on other load.
ALONE = "@alone"
# Statuses of behave that are no failure.
FINE = ("passed", "skipped", "untested")
# Seconds one feature file may take. A test that hangs fails by its name; a
# run that is ended from outside says nothing of any.
FILE_LIMIT = 1500.0
# Seconds behave has to print where it hangs.
TRACE_LIMIT = 10.0
# Characters of a failed step's message that the summary repeats.
REASON = 600


class Scenario(NamedTuple):
    """What one scenario gave.

    Attributes:
        name: Its name, with the example's number.
        status: As behave says it.
        reason: The step that failed and the start of its message; empty if
            none did.
    """

    name: str
    status: str
    reason: str = ""


class Run(NamedTuple):
    """What one feature file gave.

    Attributes:
        output: What behave printed.
        code: Its exit code.
        scenarios: What each scenario gave.
    """

    output: str
    code: int
    scenarios: list[Scenario]


def known_red() -> dict[str, str]:
    """Reads KNOWN-RED.txt as scenario name to its whole line."""
    lines = {}
    if not KNOWN_RED.exists():
        return lines
    for line in KNOWN_RED.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        name, _, _ = line.partition("|")
        lines[name.strip()] = line
    return lines


def reason(element: dict) -> str:
    """Why a scenario failed; empty if no step did."""
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") not in ("failed", "error"):
            continue
        message = result.get("error_message", "")
        if isinstance(message, list):
            message = "\n".join(message)
        return f"{step['name']}: {message[:REASON]}"
    return ""


def scenarios(results: list[dict]) -> list[Scenario]:
    """Lists the scenarios that behave reported.

    A feature whose hook failed before its scenarios ran counts as failed.
    """
    found = []
    for feature in results:
        elements = feature.get("elements", [])
        for element in elements:
            if element["type"] == "background":
                continue
            # behave ends the name of an outline's example with a space.
            found.append(
                Scenario(
                    element["name"].strip(), element["status"], reason(element)
                )
            )
        if not elements and feature.get("status") in ("failed", "error"):
            found.append(Scenario(feature["name"], "failed"))
    return found


def run_file(path: pathlib.Path, arguments: list[str]) -> Run:
    """Runs behave on one feature file, in a process of its own."""
    results = RESULTS / f"{path.stem}.json"
    command = [sys.executable, "-X", "faulthandler", "-m", "behave", str(path)]
    # The last format has no file of its own and goes to standard output.
    command += ["--format", "json", "--outfile", str(results)]
    command += ["--format", "progress3"]
    printed = RESULTS / f"{path.stem}.txt"
    with printed.open("a") as output:
        behave = subprocess.Popen(
            [*command, *arguments],
            cwd=ROOT,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        try:
            code = behave.wait(FILE_LIMIT)
        except subprocess.TimeoutExpired:
            code = end_hanging(behave)
            output.write(f"{path.name} took over {FILE_LIMIT:.0f} s\n")
    text = printed.read_text(errors="replace")
    listed = []
    # behave that was ended leaves results that end in their middle.
    with contextlib.suppress(FileNotFoundError, json.JSONDecodeError):
        listed = scenarios(json.loads(results.read_text()))
    if code and all(one.status in FINE for one in listed):
        where = text.rpartition("Current thread")[2]
        listed.append(Scenario(path.name, "failed", where[:REASON]))
    return Run(text, code, listed)


def end_hanging(behave: subprocess.Popen) -> int:
    """Ends a behave that hangs, with the processes that it started.

    The abort makes it print the line where each of its threads stands.
    """
    started = psutil.Process(behave.pid).children(recursive=True)
    behave.send_signal(signal.SIGABRT)
    with contextlib.suppress(subprocess.TimeoutExpired):
        behave.wait(TRACE_LIMIT)
    behave.kill()
    for process in started:
        with contextlib.suppress(psutil.NoSuchProcess):
            process.kill()
    return behave.wait()


def run_all(paths: list[pathlib.Path], arguments: list[str]) -> list[Scenario]:
    """Runs feature files side by side, then one by one those that run apart."""
    together = []
    apart = []
    for path in paths:
        lines = path.read_text().split("\n", 1)
        (apart if lines[0].strip() == ALONE else together).append(path)
    listed = run_files(together, arguments, WORKERS)
    return listed + run_files(apart, arguments, 1)


def run_files(
    paths: list[pathlib.Path], arguments: list[str], workers: int
) -> list[Scenario]:
    """Runs feature files, some side by side; prints each as it ends.

    Each fleet has addresses of its own, so files do not meet.
    """
    listed = []
    with futures.ThreadPoolExecutor(workers) as pool:
        runs = [pool.submit(run_file, path, arguments) for path in paths]
        for each in futures.as_completed(runs):
            run = each.result()
            print(run.output, flush=True)
            listed.extend(run.scenarios)
    return listed


def choose(arguments: list[str]) -> tuple[list[pathlib.Path], list[str]]:
    """Splits the command line into feature files and behave's arguments."""
    paths = [ROOT / a for a in arguments if a.endswith(".feature")]
    rest = [a for a in arguments if not a.endswith(".feature")]
    if not paths:
        folder = ROOT / "features"
        # The largest first, so that the last to end is a small one.
        paths = sorted(
            folder.glob("*.feature"), key=lambda path: -path.stat().st_size
        )
    return paths, rest


def main() -> int:
    """Runs behave and returns the exit code for CI."""
    shutil.rmtree(RESULTS, ignore_errors=True)
    RESULTS.mkdir(parents=True)
    listed = run_all(*choose(sys.argv[1:]))
    allowed = known_red()
    passed = failed = skipped = red = 0
    for one in listed:
        if one.status == "passed":
            passed += 1
            continue
        if one.status in FINE:
            skipped += 1
            continue
        failed += 1
        if one.name in allowed:
            red += 1
            print(f"known red: {allowed[one.name]}")
        else:
            print(f"failed: {one.name}")
        # Whoever sees the end of the output only has the reason with it.
        print(textwrap.indent(one.reason, "    "))
    print(f"tests: {passed} passed, {failed} failed, {skipped} skipped")
    if not passed and not failed:
        return 1
    return 1 if failed > red else 0


if __name__ == "__main__":
    sys.exit(main())
