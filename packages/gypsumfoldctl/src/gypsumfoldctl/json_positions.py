"""Finds the lines and columns of values in JSON text."""

import bisect
import json
import re
from typing import NamedTuple

# A string, with the colon behind it if it is a member's name; a bracket or a
# comma; a number or a literal.
TOKEN = re.compile(
    r'("(?:[^"\\]|\\.)*")(\s*:)?|([{}\[\],])|[^\s{}\[\],:"]+', re.DOTALL
)
# Where a decoding error of msgspec lies, as in "at `$.routes[3].timeoutMs`".
PATH = re.compile(r" - at `\$([^`]*)`")
STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]")
BYTE = re.compile(r" \(byte (\d+)\)")

# Names of members and indexes of elements, from the outermost value inwards.
Path = tuple[str | int, ...]


class Position(NamedTuple):
    """A place in a text; both numbers start at 1."""

    line: int
    column: int


class Positions:
    """The positions of all values of a valid JSON text.

    >>> Positions('{"routes": [7]}').find(("routes", 0))
    Position(line=1, column=13)
    """

    def __init__(self, text: str):
        self.offsets = offsets(text)
        self.starts = [0]
        for match in re.finditer("\n", text):
            self.starts.append(match.end())

    def find(self, path: Path) -> Position:
        """Returns the position of a value.

        If the text doesn't have the value, the position is that of the
        innermost value around it.
        """
        while path not in self.offsets:
            path = path[:-1]
        offset = self.offsets[path]
        line = bisect.bisect_right(self.starts, offset)
        return Position(line, offset - self.starts[line - 1] + 1)


def offsets(text: str) -> dict[Path, int]:
    """Returns the offset of each value in a valid JSON text.

    The offset of an object's member is that of its name.
    """
    found: dict[Path, int] = {(): 0}
    outer: list[tuple[Path, int | None]] = []
    # Path of the enclosing value, and the index of the next element if that
    # value is an array.
    path: Path = ()
    index: int | None = None
    member: Path = ()
    for match in TOKEN.finditer(text):
        string, colon, mark = match.groups()
        if colon:
            name = string[1:-1]
            if "\\" in name:
                name = json.loads(string)
            member = (*path, name)
            found[member] = match.start()
            continue
        if mark == ",":
            if index is not None:
                index += 1
            continue
        if mark in ("}", "]"):
            path, index = outer.pop()
            continue
        here = member
        if index is not None:
            here = (*path, index)
            found[here] = match.start()
        if mark:
            outer.append((path, index))
            path = here
            index = 0 if mark == "[" else None
    return found


def error_path(reason: str) -> Path:
    """Returns the path that a decoding error of msgspec names.

    The path ends before the member of a mapping, which msgspec doesn't name
    ("[...]").
    """
    match = PATH.search(reason)
    steps = match[1].partition("[...]")[0] if match else ""
    found: list[str | int] = []
    for name, index in STEP.findall(steps):
        found.append(name or int(index))
    return tuple(found)


def error_position(value: bytes, reason: str) -> Position:
    """Returns the position of a syntax error.

    Args:
        value: The text, which isn't valid JSON.
        reason: What msgspec says about it. If this names no byte, the text
            has an invalid character or ends early.
    """
    match = BYTE.search(reason)
    end = len(value)
    if match:
        end = int(match[1])
    else:
        try:
            value.decode()
        except UnicodeDecodeError as error:
            end = error.start
    before = value[:end].decode(errors="replace")
    line = before.count("\n") + 1
    return Position(line, len(before) - before.rfind("\n"))
