"""Steps on settings files."""

import pathlib
import subprocess
import sys
import tempfile

import behave

BASE = """[node]
name = "entry-1"
data_centre = "north-apron"
address = "127.0.0.1"
[peers]
secret = "0123456789abcdef"
[platform]
log = "http://127.0.0.1:1"
vms = "http://127.0.0.1:2"
"""


@behave.given('a settings file with "{line}" in the section "{section}"')
def step_file(context, line, section):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.file = folder / "node.toml"
    text = f"{BASE}[{section}]\n{line}\n"
    context.file.write_text(text)
    context.line = text.splitlines().index(line) + 1


@behave.when("gypsumfold checks the settings")
def step_check(context):
    command = [sys.executable, "-m", "gypsumfold.main", "check-settings"]
    context.result = subprocess.run(
        [*command, str(context.file)], capture_output=True, text=True
    )


@behave.then('it exits with {code:d} and names "{key}" with its line')
def step_named(context, code, key):
    assert context.result.returncode == code, context.result
    assert f":{context.line}: {key}:" in context.result.stderr, context.result
