"""Steps on pages that are checked against the code."""

import pathlib
import re
import subprocess
import sys

import behave

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# A checkout's or a user's own folder; written so that this file has none.
FOLDERS = re.compile(r"/(?:work|home|root|tmp/bash_jobs)/\w")


@behave.then('docs/{file} is what "{module} {page}" prints')
def step_page(context, file, module, page):
    printed = subprocess.run(
        [sys.executable, "-m", module, page],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    kept = (ROOT / "docs" / file).read_text()
    assert kept == printed, f"run make docs: docs/{file} is not up to date"


@behave.then("each defined event and metric is used by some module")
def step_used(context):
    sources = ""
    for path in (ROOT / "packages").rglob("*.py"):
        sources += path.read_text()
    names = re.findall(r"^([A-Z_]+) = define\(", sources, re.MULTILINE)
    assert names
    for name in names:
        uses = re.findall(rf"\b(?:events|metrics)\.{name}\b", sources)
        assert uses, f"{name} is defined and never used"


@behave.then("no tracked file names a folder of one machine")
def step_folders(context):
    listed = subprocess.run(
        ["git", "ls-files"], cwd=ROOT, capture_output=True, text=True
    ).stdout.split()
    for name in listed:
        path = ROOT / name
        if not path.is_file():
            continue
        found = FOLDERS.search(path.read_text(errors="replace"))
        assert not found, f"{name}: {found[0]}"
