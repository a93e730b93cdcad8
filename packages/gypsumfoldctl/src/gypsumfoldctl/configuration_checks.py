"""Checks a configuration before operators send it.

Nothing is read, printed or sent here; time plays no part.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from gypsumfold import exceptions
from gypsumfold.platform import configuration_records
from gypsumfold.platform import decoding
from gypsumfold.platform import names
from gypsumfoldctl import configuration_differences
from gypsumfoldctl import configuration_findings as findings
from gypsumfoldctl import configuration_rules
from gypsumfoldctl import json_positions

# Records of the configuration by where they stand; "*" is any index.
RECORDS: dict[tuple[str, ...], type[msgspec.Struct]] = {
    (): configuration_records.ConfigurationRecord,
    ("routes", "*"): configuration_records.RouteRecord,
    ("routes", "*", "split", "*"): configuration_records.TargetRecord,
    ("services", "*"): configuration_records.ServiceRecord,
    ("services", "*", "engine"): configuration_records.EngineRecord,
    ("services", "*", "scale"): configuration_records.ScaleRecord,
    ("limits",): configuration_records.LimitsRecord,
    ("tenants", "*"): configuration_records.AccountRecord,
}
# The names of their fields in the text.
FIELDS = {
    shape: {field.encode_name for field in msgspec.structs.fields(record)}
    for shape, record in RECORDS.items()
}


def check(
    text: findings.Text,
    printer: configuration_differences.Printer,
    in_force: configuration_records.ConfigurationRecord | None = None,
) -> list[findings.Finding]:
    """Checks a configuration.

    Args:
        text: The configuration.
        printer: Knows its keys.
        in_force: The configuration that it shall replace, if known.

    Returns:
        The findings by topic, in the order of the text. If gateways don't
        take the configuration, only the reasons for that.
    """
    if not text.is_json:
        line, column = json_positions.error_position(text.value, text.reason)
        reason = json_positions.BYTE.sub("", text.reason)
        return [
            findings.Finding(
                findings.Level.ERROR,
                findings.Topic.INVALID,
                "",
                "",
                line,
                column,
                reason,
            )
        ]
    report = findings.Report(text, printer)
    if text.record is None:
        _check_types(report)
        return report.sorted()
    _check_unknown(report)
    configuration_rules.check(report, text.record)
    if in_force is not None:
        _check_version(report, text.record, in_force)
    return report.sorted()


def text_keys(text: findings.Text) -> set[str]:
    """Returns the keys of client accounts in a text.

    An invalid text may have keys in a wrong field or type. There, all strings
    of accounts other than their names count as keys.
    """
    if text.record is not None:
        return configuration_differences.keys(text.record)
    found: set[str] = set()
    try:
        loose = decoding.convert(text.value, dict[str, Any])
    except exceptions.RecordInvalid:
        return found
    waiting = [loose.get("tenants")]
    while waiting:
        one = waiting.pop()
        if isinstance(one, str):
            found.add(one)
        elif isinstance(one, list):
            waiting += one
        elif isinstance(one, dict):
            waiting += [one[field] for field in one if field != "name"]
    return found


def _check_types(report: findings.Report) -> None:
    """Finds all values that can't be decoded, not only the first one."""
    try:
        sections = decoding.convert(report.text.value, dict[str, msgspec.Raw])
    except exceptions.RecordInvalid:
        sections = {}
    for field in msgspec.structs.fields(
        configuration_records.ConfigurationRecord
    ):
        name = field.encode_name
        if name not in sections:
            if sections and field.required:
                _add_invalid(report, (), f"the field {name} is missing")
            continue
        raw = bytes(sections[name])
        is_list = name in findings.SECTIONS
        try:
            found = decoding.convert(
                raw, list[msgspec.Raw] | None if is_list else field.type
            )
        except exceptions.RecordInvalid as error:
            _add_invalid(report, (name,), str(error))
            continue
        if is_list:
            _check_entries(report, name, found or [])
    if not report.findings:
        _add_invalid(report, (), report.text.reason)


def _check_entries(
    report: findings.Report, section: str, entries: list[msgspec.Raw]
) -> None:
    """Finds the entries of a section that can't be decoded."""
    report.names[section] = [_loose_name(raw) for raw in entries]
    for index, raw in enumerate(entries):
        path = (section, index)
        try:
            record = decoding.convert(bytes(raw), RECORDS[section, "*"])
        except exceptions.RecordInvalid as error:
            _add_invalid(report, path, str(error))
            continue
        if section == "routes" and record.kind not in names.ROUTE_KINDS:
            kinds = ", ".join(names.ROUTE_KINDS)
            kind = report.printer.show(record.kind)
            reason = f"unknown kind {kind}; known are {kinds}"
            _add_invalid(report, (*path, "kind"), reason)


def _loose_name(raw: msgspec.Raw) -> str:
    """Returns the name of an entry that may be invalid; empty for none."""
    try:
        found = decoding.convert(bytes(raw), dict[str, Any]).get("name")
    except exceptions.RecordInvalid:
        return ""
    return found if isinstance(found, str) else ""


def _add_invalid(
    report: findings.Report, path: json_positions.Path, reason: str
) -> None:
    """Adds what msgspec says of the value at a path."""
    inner = json_positions.error_path(reason)
    sentence = json_positions.PATH.sub("", reason)
    report.add(
        findings.Level.ERROR, findings.Topic.INVALID, path + inner, sentence
    )


def _check_unknown(report: findings.Report) -> None:
    """Warns of fields that gateways don't read, such as misspelt ones."""
    try:
        loose = decoding.convert(report.text.value, Any)
    except exceptions.RecordInvalid:
        # Gateways skip what they don't read, also numbers out of range.
        sentence = "has a field that gateways don't read and can't decode"
        report.unused(findings.Level.WARNING, (), sentence)
        return
    for path in _unknown_fields(loose, (), ()):
        sentence = "gateways don't read this field"
        if path[0] == "tenants" and len(path) > 1:
            # The name of the field may be a key that stands in a wrong place.
            path = path[:-1]
            sentence = "has a field that gateways don't read"
        report.unused(findings.Level.WARNING, path, sentence)


def _unknown_fields(
    value: Any, path: json_positions.Path, shape: tuple[str, ...]
) -> Iterator[json_positions.Path]:
    """Yields the paths of fields that no record has.

    Args:
        value: A part of the configuration.
        path: Where it stands.
        shape: The same as a key of `RECORDS`.
    """
    if isinstance(value, list):
        for index, one in enumerate(value):
            yield from _unknown_fields(one, (*path, index), (*shape, "*"))
    if not isinstance(value, dict) or shape not in RECORDS:
        return
    for name, one in value.items():
        if name not in FIELDS[shape]:
            yield (*path, name)
        elif isinstance(one, (dict, list)):
            yield from _unknown_fields(one, (*path, name), (*shape, name))


def _check_version(
    report: findings.Report,
    record: configuration_records.ConfigurationRecord,
    in_force: configuration_records.ConfigurationRecord,
) -> None:
    """Finds a version that gateways would ignore."""
    if record.version > in_force.version or record == in_force:
        return
    report.contradiction(
        findings.Level.ERROR,
        ("version",),
        f"gateways ignore version {record.version}, since version "
        f"{in_force.version} is in force",
    )
