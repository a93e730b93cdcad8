"""Consistency rules between declared objects."""

import ipaddress
from typing import NamedTuple

from gypsumfold import exceptions
from gypsumfold import objects

# The field of each kind that names an object of another kind.
REFERENCES = {
    "model": "service",
    "version": "model",
    "adapter": "model",
    "endpoint": "service",
    "kind": "service",
    "objective": "service",
}
# The field of each kind that must be unique: one engine with two names could
# get conflicting orders, and one token must identify one account.
UNIQUE_FIELDS = {"endpoint": "address", "account": "token_sha256"}
# Separator after the model's name in the names of these kinds.
SEPARATORS = {"version": "@", "adapter": ":"}


class Declared(NamedTuple):
    """One object in force.

    Attributes:
        kind: Its kind, a key of `objects.KINDS`.
        name: Its name, unique within the kind.
        value: The declared object.
        revision: Offset of the change that last modified it.
        author: The operator who made that change.
    """

    kind: str
    name: str
    value: objects.Object
    revision: int
    author: str = ""


Objects = dict[str, dict[str, Declared]]


def check(found: Objects, touched: set[str]) -> None:
    """Checks the rules between the objects of the touched kinds.

    Raises:
        exceptions.ChangeRejected: An object refers to one that does not
            exist, two have the same unique field or are both the default,
            or a name does not start with its model's.
    """
    for kind, field in REFERENCES.items():
        if kind not in touched and field not in touched:
            continue
        for declared in found[kind].values():
            target = getattr(declared.value, field)
            if target not in found[field]:
                raise exceptions.ChangeRejected(
                    f'{kind} "{declared.name}" needs {field} "{target}"'
                )
    for kind in sorted(touched):
        check_unique(kind, found[kind])
        check_names(kind, found[kind])
        check_defaults(kind, found[kind])


def check_unique(kind: str, found: dict[str, Declared]) -> None:
    """Rejects two objects with the same address or token."""
    field = UNIQUE_FIELDS.get(kind)
    if not field:
        return
    owners: dict[str, str] = {}
    for name, declared in found.items():
        value = getattr(declared.value, field)
        if field == "address":
            value = normalize_address(value, name)
        if value in owners:
            raise exceptions.ChangeRejected(
                f'{kind} "{name}" has the {field} of "{owners[value]}"'
            )
        owners[value] = name


def normalize_address(address: str, name: str) -> str:
    """Returns an address in a canonical form for comparison.

    Raises:
        exceptions.ChangeRejected: It is not an IP number and port.
    """
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise exceptions.ChangeRejected(
            f'endpoint "{name}": {error}'
        ) from error
    if not 1 <= int(port) <= 65535:
        raise exceptions.ChangeRejected(f'endpoint "{name}": {port} is no port')
    return f"{ip} {int(port)}"


def check_names(kind: str, found: dict[str, Declared]) -> None:
    """Checks that versions and adapters are named after their model."""
    separator = SEPARATORS.get(kind)
    if not separator:
        return
    for name, declared in found.items():
        head = f"{declared.value.model}{separator}"
        if not name.startswith(head) or name == head:
            raise exceptions.ChangeRejected(
                f'{kind} "{name}" must be named "{head}..."'
            )


def check_defaults(kind: str, found: dict[str, Declared]) -> None:
    """Rejects two defaults of one service or model."""
    if kind not in ("version", "kind"):
        return
    owners: dict[str, str] = {}
    for name, declared in found.items():
        if not declared.value.default:
            continue
        parent = getattr(declared.value, REFERENCES[kind])
        if parent in owners:
            raise exceptions.ChangeRejected(
                f'{kind} "{name}" and "{owners[parent]}" are both defaults'
            )
        owners[parent] = name
