"""What declared objects may say of one another."""

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
# The field of each kind that no two objects may share: one engine behind two
# names could get conflicting orders, one token must name one account.
UNIQUE_FIELDS = {"endpoint": "address", "account": "token_sha256"}
# What stands between the model's name and the rest in these kinds' names.
SEPARATORS = {"version": "@", "adapter": ":"}


class Declared(NamedTuple):
    """One object in force.

    Attributes:
        kind: Its kind, a key of `objects.KINDS`.
        name: Its name, unique within the kind.
        value: What is declared.
        revision: Offset of the change that last touched it.
        author: The operator who made that change.
    """

    kind: str
    name: str
    value: objects.Object
    revision: int
    author: str = ""


Objects = dict[str, dict[str, Declared]]


def check(found: Objects, touched: set[str]) -> None:
    """Checks what the objects of the touched kinds say of one another.

    Raises:
        exceptions.ChangeRejected: An object refers to one that is not
            there, or two share what only one may have.
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
    """Refuses two objects that share an address or a token."""
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
    """Spells an address in the one way that can be compared.

    Raises:
        exceptions.ChangeRejected: It is no IP number and port.
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
    """Refuses two defaults of one service or model."""
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
