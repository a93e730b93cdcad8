"""Compares two versions of the configuration that operators declare."""

from collections.abc import Iterable
import json
from typing import Any
from typing import NamedTuple

import msgspec

from gypsumfold.platform import configuration_records

# Stands for a string that is the key of a client account.
HIDDEN = "(a key)"


class Difference(NamedTuple):
    """What differs in one entry.

    Attributes:
        place: The route, service or account by name, or the section.
        field: Name of the field; empty if the entry is added or removed.
        change: What has changed; never contains a key.
    """

    place: str
    field: str
    change: str


class Printer:
    """Prints strings and values without the keys of client accounts.

    A key may also stand where it doesn't belong, such as in an account's name.

    Args:
        keys: The keys of all versions that are printed.
    """

    def __init__(self, keys: Iterable[str]):
        # An empty key is no secret, and empty strings are common.
        self.keys = set(keys) - {""}

    def show(self, value: Any) -> str:
        """Returns a value as JSON, with control characters escaped."""
        return json.dumps(self.hide(value), ensure_ascii=False)

    def hide(self, value: Any) -> Any:
        """Returns a value with all keys in it replaced."""
        if isinstance(value, str):
            return HIDDEN if value in self.keys else value
        if isinstance(value, list):
            return [self.hide(one) for one in value]
        if isinstance(value, dict):
            return {self.hide(k): self.hide(v) for k, v in value.items()}
        return value


def keys(record: configuration_records.ConfigurationRecord) -> set[str]:
    """Returns the keys of all client accounts."""
    found = set()
    for account in record.accounts or ():
        found.update(account.keys)
    return found


def compare(
    old: configuration_records.ConfigurationRecord,
    new: configuration_records.ConfigurationRecord,
    printer: Printer,
) -> list[Difference]:
    """Compares a configuration with the one in force.

    The order of entries doesn't matter. Fields that are left out count as
    their defaults.

    Args:
        old: The configuration in force.
        new: The configuration to check.
        printer: Knows the keys of both.
    """
    found = _fields("version", {"": old.version}, {"": new.version}, printer)
    found += _entries("route", old.routes, new.routes, printer)
    found += _entries("service", old.services, new.services, printer)
    found += _fields("limits", _flat(old.limits), _flat(new.limits), printer)
    if (old.accounts is None) != (new.accounts is None):
        change = "requests need a key from now on"
        if new.accounts is None:
            change = "requests need no key any more"
        found.append(Difference("tenants", "", change))
    found += _entries(
        "account", old.accounts or (), new.accounts or (), printer
    )
    return found


def _entries(
    kind: str, old: Iterable[Any], new: Iterable[Any], printer: Printer
) -> list[Difference]:
    """Compares entries by name."""
    before = {entry.name: entry for entry in old}
    after = {entry.name: entry for entry in new}
    found = []
    for name in sorted(before.keys() | after.keys()):
        place = f"{kind} {printer.show(name)}"
        if name not in before:
            found.append(Difference(place, "", "added"))
            continue
        if name not in after:
            found.append(Difference(place, "", "removed"))
            continue
        if before[name] == after[name]:
            continue
        was, becomes = _flat(before[name]), _flat(after[name])
        if kind == "account":
            found += _keys(place, was.pop("apiKeys"), becomes.pop("apiKeys"))
        found += _fields(place, was, becomes, printer)
    return found


def _keys(place: str, old: list[str], new: list[str]) -> list[Difference]:
    """Counts the keys that differ."""
    found = []
    for keys, change in (
        (set(new) - set(old), "added"),
        (set(old) - set(new), "removed"),
    ):
        if keys:
            noun = "key" if len(keys) == 1 else "keys"
            text = f"{len(keys)} {noun} {change}"
            found.append(Difference(place, "apiKeys", text))
    return found


def _fields(
    place: str, old: dict[str, Any], new: dict[str, Any], printer: Printer
) -> list[Difference]:
    found = []
    for field in {**old, **new}:
        was, becomes = old.get(field), new.get(field)
        if was != becomes:
            change = f"{printer.show(was)} -> {printer.show(becomes)}"
            found.append(Difference(place, field, change))
    return found


def _flat(record: Any) -> dict[str, Any]:
    """Returns the fields of a record by name, nested ones with a dot."""
    found: dict[str, Any] = {}
    for field, value in msgspec.to_builtins(record).items():
        if not isinstance(value, dict):
            found[field] = value
            continue
        for inner, one in value.items():
            found[f"{field}.{inner}"] = one
    return found
