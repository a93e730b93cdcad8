"""Prints the tables of kinds and fields that docs/LANGUAGE.md holds.

Run ``python -m gypsumfold.operators.reference`` and paste its output there
after a change of `gypsumfold.objects`.
"""

import inspect
import re
import typing

import msgspec

from gypsumfold import objects
from gypsumfold.operators import language


def tables() -> str:
    """Renders one section for each kind, from the classes themselves."""
    sections = []
    for kind, object_type in objects.KINDS.items():
        text = inspect.getdoc(object_type)
        summary = " ".join(text.split("\n\n")[0].split())
        rows = ["| field | value | if left out | what it is |"]
        rows.append("|---|---|---|---|")
        meanings = described(text)
        for field in msgspec.structs.fields(object_type):
            default = "must be given"
            if not field.required:
                default = f"`{language.print_value(field.default)}`"
            rows.append(
                f"| `{field.name}` | {type_name(field.type)} | {default} | "
                f"{meanings.get(field.name, '')} |"
            )
        sections.append(f"### {kind}\n\n{summary}\n\n" + "\n".join(rows))
    return "\n\n".join(sections)


def described(text: str) -> dict[str, str]:
    """Reads the attributes' descriptions out of a Google docstring."""
    _, _, attributes = text.partition("Attributes:\n")
    found = {}
    for match in re.finditer(
        r"^ {4}(\w+): (.*(?:\n {8}.*)*)", attributes, re.MULTILINE
    ):
        found[match[1]] = " ".join(match[2].replace("``", "`").split())
    return found


def type_name(annotation: typing.Any) -> str:
    """Names the type of a field for operators."""
    if typing.get_origin(annotation) is typing.Literal:
        return " or ".join(f'`"{v}"`' for v in typing.get_args(annotation))
    if typing.get_origin(annotation) is typing.Annotated:
        base, bounds = typing.get_args(annotation)
        return type_name(base) + bounded(bounds)
    names = {
        str: "string",
        bool: "`true` or `false`",
        int: "whole number",
        float: "number or duration",
    }
    return names[annotation]


def bounded(bounds: msgspec.Meta) -> str:
    """Describes a field's bounds."""
    found = []
    for name, word in (
        ("ge", "at least"),
        ("gt", "above"),
        ("le", "at most"),
        ("lt", "below"),
    ):
        limit = getattr(bounds, name)
        if limit is not None:
            found.append(f"{word} {limit}")
    if bounds.pattern:
        found.append(f"matching `{bounds.pattern}`")
    return ", " + ", ".join(found) if found else ""


if __name__ == "__main__":
    print(tables())
