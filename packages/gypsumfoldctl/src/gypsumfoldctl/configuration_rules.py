"""Finds entries without effect and limits that contradict each other.

The rules apply to configurations that gateways decode.
"""

import math

from gypsumfold.decisions import routes
from gypsumfold.platform import configuration_records
from gypsumfold.platform import names
from gypsumfoldctl import configuration_findings as findings
from gypsumfoldctl import json_positions

ERROR = findings.Level.ERROR
WARNING = findings.Level.WARNING


def check(
    report: findings.Report, record: configuration_records.ConfigurationRecord
) -> None:
    """Checks a whole configuration."""
    _check_names(report)
    _check_shadows(report, record.routes)
    replicas = {}
    for service in record.services:
        replicas[service.name] = _most_replicas(service)
    for index, route in enumerate(record.routes):
        path = ("routes", index)
        _check_targets(report, path, route, replicas)
        _check_times(report, path, route)
        _check_attempts(report, path, route, replicas)
    used = set()
    for route in record.routes:
        used.update(_targets(route))
    for index, service in enumerate(record.services):
        path = ("services", index)
        if service.name not in used:
            report.unused(WARNING, path, "no route leads to this service")
        _check_scale(report, path, service)
    limits = record.limits
    _check_positive(report, ("limits", "maxBodyBytes"), limits.body_bytes)
    # Gateways of this version decode these two but don't apply them.
    for field, value in (
        ("headerTimeoutMs", limits.header_ms),
        ("idleTimeoutMs", limits.idle_ms),
    ):
        _check_positive(report, ("limits", field), value, WARNING)
    if record.accounts is not None:
        _check_accounts(report, record)


def _check_names(report: findings.Report) -> None:
    """Finds entries of the same name."""
    for section, entries in report.names.items():
        seen = set()
        for index, name in enumerate(entries):
            if name in seen:
                kind = findings.SECTIONS[section]
                sentence = f"another {kind} above has this name"
                path = (section, index, "name")
                report.contradiction(ERROR, path, sentence)
            seen.add(name)


def _check_shadows(
    report: findings.Report, found: list[configuration_records.RouteRecord]
) -> None:
    """Finds routes that no request can match.

    Of the routes of a host, `routes.RouteTable` takes the one with the longest
    prefix and, of equal ones, the first. So a route is shadowed exactly if one
    above it has the same host and prefix.
    """
    first: dict[tuple[str, str], str] = {}
    for index, route in enumerate(found):
        path = ("routes", index)
        key = route.host.lower(), route.prefix
        if key in first:
            other = report.printer.show(first[key])
            sentence = (
                f"never matches, since route {other} above has the same host "
                "and pathPrefix"
            )
            report.unused(ERROR, path, sentence)
        first.setdefault(key, route.name)
        if not route.prefix.startswith("/"):
            sentence = "paths of requests begin with a slash"
            report.unused(ERROR, (*path, "pathPrefix"), sentence)
        if "?" in route.prefix:
            sentence = "never matches, since queries aren't compared"
            report.unused(ERROR, (*path, "pathPrefix"), sentence)
        if ":" in route.host and not route.host.endswith("]"):
            sentence = "never matches, since hosts are compared without a port"
            report.unused(ERROR, (*path, "host"), sentence)


def _targets(route: configuration_records.RouteRecord) -> list[str]:
    """Returns the services that a route leads to, as gateways decode it."""
    if route.split:
        return [target.service for target in route.split]
    return [route.service]


def _check_targets(
    report: findings.Report,
    path: json_positions.Path,
    route: configuration_records.RouteRecord,
    replicas: dict[str, float],
) -> None:
    """Checks the services of a route and their weights."""
    for index, name in enumerate(_targets(route)):
        if name in replicas:
            continue
        inner = ("split", index, "service") if route.split else ("service",)
        sentence = f"service {report.printer.show(name)} isn't declared"
        if not name:
            sentence = "the route has no service"
        report.unused(ERROR, (*path, *inner), sentence)
    if not route.split:
        return
    if route.service:
        sentence = "has no effect, since the route has a split"
        report.unused(WARNING, (*path, "service"), sentence)
    weights = [target.weight for target in route.split]
    for index, weight in enumerate(weights):
        if not 0 <= weight < math.inf:
            inner = (*path, "split", index, "weight")
            sentence = f"the weight {weight:g} isn't a number from 0"
            report.contradiction(ERROR, inner, sentence)
    if sum(weights) == 0:
        sentence = (
            "the weights add up to zero, so all requests go to the first "
            "service"
        )
        report.contradiction(ERROR, (*path, "split"), sentence)


def _check_times(
    report: findings.Report,
    path: json_positions.Path,
    route: configuration_records.RouteRecord,
) -> None:
    """Checks the objectives and time limits of a route."""
    _check_positive(report, (*path, "timeoutMs"), route.limit_ms)
    for field, value in (
        ("goalMs", route.objective_ms),
        ("gapAimMs", route.pause_ms),
    ):
        if not value >= 0:
            sentence = f"{value:g} is below 0"
            report.contradiction(ERROR, (*path, field), sentence)
        if value > route.limit_ms:
            sentence = (
                f"{value:g} ms is beyond the timeoutMs of {route.limit_ms:g} ms"
            )
            report.contradiction(ERROR, (*path, field), sentence)
    if route.urgency < 0:
        sentence = f"{route.urgency} is below 0, the highest priority"
        report.contradiction(ERROR, (*path, "priority"), sentence)
    if names.ROUTE_KINDS[route.kind] == routes.Kind.STREAMING:
        return
    for field, is_set in (
        ("resumable", route.resumable),
        ("gapAimMs", route.pause_ms != 0),
    ):
        if is_set:
            sentence = "has an effect only on streaming routes"
            report.unused(WARNING, (*path, field), sentence)


def _check_attempts(
    report: findings.Report,
    path: json_positions.Path,
    route: configuration_records.RouteRecord,
    replicas: dict[str, float],
) -> None:
    """Checks the number of replicas that may run one request."""
    path = (*path, "attempts")
    if route.attempts < 1:
        sentence = f"{route.attempts} is below 1"
        report.contradiction(ERROR, path, sentence)
    # A request stays with one of the services, so the largest one counts.
    most = max(replicas.get(name, math.inf) for name in _targets(route))
    if route.attempts > 1 and 0 < most < route.attempts:
        sentence = (
            f"{route.attempts} attempts, but no service of the route can have "
            f"more than {most} replicas"
        )
        report.contradiction(WARNING, path, sentence)


def _most_replicas(service: configuration_records.ServiceRecord) -> float:
    """Returns the most replicas that a service can have; inf if unknown.

    `max` counts in each data centre, and replicas are ordered in those that
    have a price.
    """
    if service.scale is None or not service.scale.prices:
        return math.inf
    return service.scale.most * len(service.scale.prices)


def _check_scale(
    report: findings.Report,
    path: json_positions.Path,
    service: configuration_records.ServiceRecord,
) -> None:
    """Checks how many replicas of a service may be ordered."""
    scale = service.scale
    if service.connections < 0:
        sentence = f"{service.connections} is below 0"
        report.contradiction(ERROR, (*path, "maxConns"), sentence)
    if scale is None:
        return
    path = (*path, "scale")
    if scale.least < 0:
        sentence = f"{scale.least} is below 0"
        report.contradiction(ERROR, (*path, "min"), sentence)
    if scale.least > scale.most:
        sentence = f"{scale.least} is above the max of {scale.most}"
        report.contradiction(ERROR, (*path, "min"), sentence)
    if not scale.prices:
        sentence = "without zonePrices no replica is ordered"
        report.unused(WARNING, path, sentence)


def _check_accounts(
    report: findings.Report, record: configuration_records.ConfigurationRecord
) -> None:
    """Checks the client accounts and who holds each key."""
    holders: dict[str, int] = {}
    accounts = record.accounts or ()
    for index, account in enumerate(accounts):
        path = ("tenants", index)
        if not account.keys:
            sentence = "has no key, so no request can be this account's"
            report.unused(WARNING, path, sentence)
        if account.urgency is not None and account.urgency < 0:
            sentence = f"{account.urgency} is below 0, the highest priority"
            report.contradiction(ERROR, (*path, "priority"), sentence)
        if report.printer.hide(account.name) != account.name:
            sentence = "the name is also a key, and names are logged"
            report.contradiction(ERROR, (*path, "name"), sentence)
        for place, key in enumerate(account.keys):
            inner = (*path, "apiKeys", place)
            if not key:
                sentence = (
                    "an empty key gives this account all requests without one"
                )
                report.contradiction(ERROR, inner, sentence)
            holder = holders.setdefault(key, index)
            if key and holder != index:
                other, _ = report.locate(("tenants", holder))
                sentence = f"{other} has the same key; the last one gets it"
                report.contradiction(ERROR, inner, sentence)
    if holders or all(route.public for route in record.routes):
        return
    sentence = (
        "no account has a key, so all requests are refused but those of "
        "public routes"
    )
    report.contradiction(ERROR, ("tenants",), sentence)


def _check_positive(
    report: findings.Report,
    path: json_positions.Path,
    value: float,
    level: findings.Level = ERROR,
) -> None:
    if not value > 0:
        report.contradiction(level, path, f"{value} isn't above 0")
