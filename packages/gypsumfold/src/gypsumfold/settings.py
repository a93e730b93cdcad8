"""Settings of a node, read from one TOML file.

The classes define types and bounds. `load` checks the whole file; its errors
contain the invalid key and its line.
"""

import pathlib
import re
import tomllib
from typing import Annotated
from typing import Any

import msgspec

from gypsumfold import exceptions

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Section(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The base of all sections: unknown keys are errors."""


class NodeSection(Section):
    """Identity of this node.

    Attributes:
        name: The VM's name in the platform's list.
        data_centre: The data centre it runs in.
        address: The IP number on which it listens and is reached.
    """

    name: str
    data_centre: str
    address: str


class TLSSection(Section):
    """Certificate files in PEM; TLS is off if the section is missing."""

    certificate: str
    key: str
    authority: str = ""


class CallersSection(Section):
    """HTTP for callers.

    Attributes:
        port: TCP port.
        body_limit: Largest request body in bytes.
        read_timeout: Seconds a caller may take to send its body.
        deadline: Seconds a request may take if its kind sets no deadline.
        tls: TLS of the port; off if missing.
    """

    port: Port = 8080
    body_limit: Count = 4 * 1024 * 1024
    read_timeout: Seconds = 10.0
    deadline: Seconds = 60.0
    tls: TLSSection | None = None


class OperatorsSection(Section):
    """HTTP for operators.

    Attributes:
        port: TCP port.
        tokens: Operator name to the SHA-256 of its bearer token, in hex.
        tls: TLS of the port; off if missing.
    """

    port: Port = 8081
    tokens: dict[str, str] = {}
    tls: TLSSection | None = None


class PeersSection(Section, kw_only=True):
    """Connections between nodes.

    Attributes:
        port: TCP port, the same on every node.
        secret: Shared by all nodes; signs frames and tokens.
        seeds: IP numbers of nodes, used until the VM list is read.
        heartbeat: Seconds between heartbeats.
        fanout: Number of peers that get a digest in each round.
        tls: TLS between nodes; off if missing.
    """

    port: Port = 8082
    secret: Annotated[str, msgspec.Meta(min_length=16)]
    seeds: tuple[str, ...] = ()
    heartbeat: Seconds = 1.0
    fanout: Count = 3
    tls: TLSSection | None = None


class PlatformSection(Section):
    """Base URLs of the platform's systems.

    Attributes:
        log: Base URL of the log service.
        vms: Base URL of the VM list.
        weights: Base URL of the weight store.
        timeout: Seconds for one call.
        retention: Minimum seconds that the log keeps a record.
        poll: Seconds between two readings of the VM list.
    """

    log: str
    vms: str
    weights: str = ""
    timeout: Seconds = 2.0
    retention: Seconds = 86400.0
    poll: Seconds = 1.0


class EndpointsSection(Section):
    """Polling and calling of endpoints.

    Attributes:
        poll: Seconds between two load polls of an endpoint.
        silent_after: Seconds without an answer until it gets no work.
        connect_timeout: Seconds to connect, and to wait for a 100 response.
        idle_timeout: Seconds without an event until a stream is probed.
        subset: Replicas of a service that one node polls and routes to.
    """

    poll: Seconds = 0.25
    silent_after: Seconds = 2.0
    connect_timeout: Seconds = 1.0
    idle_timeout: Seconds = 5.0
    subset: Count = 16


class ControlSection(Section):
    """Leases over services, held through the log.

    Attributes:
        duration: Seconds that a lease is valid.
        renewal: Seconds between two renewals.
        drift: Seconds a challenger waits beyond the duration.
        permission: Seconds that a node's permission to dispatch to an
            engine lasts without confirmation.
        quarantine: Seconds between proof that a holder has ended and the
            next holder's first order to an engine that checks no tokens.
        changes: Maximum number of engines of one service that change at
            the same time.
    """

    duration: Seconds = 6.0
    renewal: Seconds = 2.0
    drift: Seconds = 1.0
    permission: Seconds = 3.0
    quarantine: Seconds = 15.0
    changes: Count = 1


class ShutdownSection(Section):
    """The graceful shutdown of this node.

    Attributes:
        notice: Seconds until the load balancer sees that the node is not
            ready.
        limit: Seconds until requests in progress are aborted.
    """

    notice: Seconds = 2.0
    limit: Seconds = 300.0


class MetricsSection(Section):
    """Address of the statsd server; no metrics if the host is empty."""

    host: str = ""
    port: Port = 8125
    prefix: str = "gypsumfold"


class Settings(Section):
    """All settings of a node.

    >>> settings = load(pathlib.Path("examples/ramp-towage.toml"))
    >>> settings.node.data_centre
    'north-apron'
    """

    node: NodeSection
    peers: PeersSection
    platform: PlatformSection
    callers: CallersSection = CallersSection()
    operators: OperatorsSection = OperatorsSection()
    endpoints: EndpointsSection = EndpointsSection()
    control: ControlSection = ControlSection()
    shutdown: ShutdownSection = ShutdownSection()
    metrics: MetricsSection = MetricsSection()


def load(path: pathlib.Path, kind: type[Any] = Settings) -> Any:
    """Reads and checks a settings file.

    Args:
        path: The TOML file.
        kind: The class of the settings.

    Returns:
        The settings.

    Raises:
        exceptions.SettingsError: The file is unreadable or invalid.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(str(path), "", str(error)) from error
    return parse(text, str(path), kind)


def parse(text: str, path: str = "settings", kind: type[Any] = Settings) -> Any:
    """Checks the text of a settings file.

    Args:
        text: TOML.
        path: The path for error messages.
        kind: The class of the settings.

    Returns:
        The settings.

    Raises:
        exceptions.SettingsError: The text is invalid.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"at line (\d+)", str(error))
        line = int(found[1]) if found else 0
        raise exceptions.SettingsError(path, "", str(error), line) from error
    try:
        return msgspec.convert(data, kind, strict=True)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `$")
        key = place.rstrip("`").lstrip(".")
        unknown = re.search(r"unknown field `([^`]+)`", reason)
        missing = re.search(r"required field `([^`]+)`", reason)
        name = (unknown or missing or [None, ""])[1]
        key = ".".join(part for part in (key, name) if part)
        raise exceptions.SettingsError(
            path, key, reason, find_line(text, key)
        ) from error


def find_line(text: str, key: str) -> int:
    """Finds the line of a dotted key, or of its table if it is missing.

    Args:
        text: TOML.
        key: Dotted, for example ``callers.port``.

    Returns:
        The line from 1; 0 if neither the key nor its table is found.
    """
    table, _, name = re.sub(r"\[.*?\]", "", key).rpartition(".")
    current = ""
    found = 0
    for number, line in enumerate(text.splitlines(), start=1):
        header = re.match(r"\s*\[+\s*([^\]]+?)\s*\]+", line)
        if header:
            current = header[1]
            if current in (table, key):
                found = found or number
            continue
        if current == table and re.match(rf"\s*{re.escape(name)}\s*=", line):
            return number
    return found
