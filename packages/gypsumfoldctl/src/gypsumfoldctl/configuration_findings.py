"""Collects what is wrong in a configuration, with its place in the text.

Decoding is the gateway's own, so a configuration has an error of the topic
`INVALID` exactly if gateways would not put it in force.
"""

import enum
import functools
import json
from typing import Any
from typing import NamedTuple

from gypsumfold import exceptions
from gypsumfold.platform import configuration_records
from gypsumfold.platform import decoding
from gypsumfoldctl import configuration_differences
from gypsumfoldctl import json_positions

# Sections that are lists of named entries, and what an entry is called.
SECTIONS = {"routes": "route", "services": "service", "tenants": "account"}


class Level(enum.StrEnum):
    """How serious a finding is."""

    # Gateways don't take the configuration, or requests go wrong with it.
    ERROR = "error"
    # Something has no effect, which may be intended.
    WARNING = "warning"


class Topic(enum.StrEnum):
    """What a finding is about, in the order of printing."""

    INVALID = "invalid"
    UNUSED = "unused"
    CONTRADICTION = "contradiction"


class Finding(NamedTuple):
    """One thing that is wrong.

    Attributes:
        level: How serious it is.
        topic: What it is about.
        place: The route, service or account by name, or the section.
        field: Name of the field; empty if it is about the whole entry.
        line: Line in the text, from 1.
        column: Column in the line, from 1.
        sentence: What is wrong; never contains a key.
    """

    level: Level
    topic: Topic
    place: str
    field: str
    line: int
    column: int
    sentence: str


class Text:
    """A configuration as text, decoded as far as it is valid.

    Attributes:
        value: The bytes.
        reason: Why gateways don't take it; empty if they do.
        record: What it declares; None if gateways don't take it.
        is_json: Whether the syntax is valid.
    """

    def __init__(self, value: bytes):
        self.value = value
        self.reason = ""
        self.record: configuration_records.ConfigurationRecord | None = None
        self.is_json = True
        try:
            decoding.decode_configuration(value)
            self.record = decoding.convert(
                value, configuration_records.ConfigurationRecord
            )
        except exceptions.RecordInvalid as error:
            self.reason = str(error)
            # The gateway stops at a wrong type before it sees wrong syntax
            # behind it. The syntax is mended first.
            try:
                decoding.convert(value, Any)
            except exceptions.RecordInvalid as error:
                self.reason = str(error)
                self.is_json = False

    @functools.cached_property
    def positions(self) -> json_positions.Positions:
        """Where the values of valid JSON stand."""
        text = self.value.decode(errors="replace")
        return json_positions.Positions(text)


class Report:
    """Collects the findings of one text.

    Args:
        text: The text.
        printer: Knows the keys in it.
    """

    def __init__(self, text: Text, printer: configuration_differences.Printer):
        self.text = text
        self.printer = printer
        self.findings: list[Finding] = []
        # Names of the entries of each section, in the order of the text.
        self.names: dict[str, list[str]] = {}
        record = text.record
        if record is not None:
            self.names["routes"] = [one.name for one in record.routes]
            self.names["services"] = [one.name for one in record.services]
            accounts = record.accounts or ()
            self.names["tenants"] = [one.name for one in accounts]

    def add(
        self,
        level: Level,
        topic: Topic,
        path: json_positions.Path,
        sentence: str,
    ) -> None:
        """Adds a finding about the value at a path."""
        place, field = self.locate(path)
        line, column = self.text.positions.find(path)
        self.findings.append(
            Finding(level, topic, place, field, line, column, sentence)
        )

    def unused(
        self, level: Level, path: json_positions.Path, sentence: str
    ) -> None:
        """Adds a finding about an entry that has no effect."""
        self.add(level, Topic.UNUSED, path, sentence)

    def contradiction(
        self, level: Level, path: json_positions.Path, sentence: str
    ) -> None:
        """Adds a finding about limits that contradict each other."""
        self.add(level, Topic.CONTRADICTION, path, sentence)

    def locate(self, path: json_positions.Path) -> tuple[str, str]:
        """Returns the place and the field that a path leads to."""
        if len(path) < 2 or not isinstance(path[1], int):
            return self.join(path[:1]), self.join(path[1:])
        section, index = str(path[0]), path[1]
        known = self.names.get(section, ())
        name = known[index] if index < len(known) else ""
        if not name or self.printer.hide(name) != name:
            return self.join(path[:2]), self.join(path[2:])
        place = f"{SECTIONS[section]} {self.printer.show(name)}"
        return place, self.join(path[2:])

    def join(self, path: json_positions.Path) -> str:
        """Returns a path as operators read it, such as split[0].weight."""
        found = ""
        for step in path:
            if isinstance(step, int):
                found += f"[{step}]"
                continue
            step = self.printer.hide(step)
            # Names of unknown fields may have any characters.
            step = step if step.isidentifier() else json.dumps(step)
            found += f".{step}" if found else step
        return found

    def sorted(self) -> list[Finding]:
        """Returns the findings by topic, and by position within a topic."""
        topics = list(Topic)
        return sorted(
            self.findings,
            key=lambda one: (topics.index(one.topic), one.line, one.column),
        )
