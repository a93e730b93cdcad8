"""Decodes the records of operators and replicas; encodes orders."""

import json
import re
from typing import Any

import msgspec

from gypsumfold import exceptions
from gypsumfold.decisions import capacity
from gypsumfold.decisions import chains
from gypsumfold.decisions import client_keys
from gypsumfold.decisions import routes
from gypsumfold.gateway import types
from gypsumfold.platform import bounds
from gypsumfold.platform import configuration_records
from gypsumfold.platform import names

# Raised when decoding malformed bytes; RecursionError comes from lists nested
# deeper than 1,000 levels.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
# IP:PORT of a replica.
ADDRESS = re.compile(r"[0-9a-fA-F.:\[\]]+:[0-9]{1,5}")
# A decimal number of requests a second.
RATE = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")
# Requests a second beyond which a limit is as good as none.
MAX_RATE = 1e6


class ReplicaRecord(msgspec.Struct):
    """A replica's registration."""

    service: bounds.Name
    address: bounds.Name = msgspec.field(name="addr")
    data_centre: bounds.Name = msgspec.field(name="zone")
    slots: bounds.Count
    state: bounds.Name
    # Version of the replica's software, not of its weights.
    version: bounds.Name | bounds.Whole = ""
    stage: bounds.Name = ""
    # Start time in Unix milliseconds; some replicas leave it out.
    born: bounds.Count | None = None
    # Number of accepted orders if the replica has a stage; otherwise a counter
    # without meaning.
    orders: bounds.Count = msgspec.field(name="seq", default=0)
    spot: bool = False


def decode_configuration(value: bytes) -> types.Configuration:
    """Decodes the operators' configuration.

    Raises:
        exceptions.RecordInvalid: The value is malformed.
    """
    record = convert(value, configuration_records.ConfigurationRecord)
    found = []
    for route in record.routes:
        if route.kind not in names.ROUTE_KINDS:
            raise exceptions.RecordInvalid(
                f"route {route.name} has an unknown kind: {route.kind}"
            )
        found.append(_route(route))
    return types.Configuration(
        record.version,
        routes.RouteTable(found),
        {one.name: _service(one) for one in record.services},
        types.Limits(
            record.limits.body_bytes,
            record.limits.header_ms / 1000,
            record.limits.idle_ms / 1000,
            record.limits.header_bytes,
        ),
        _keys(record.accounts),
    )


def decode_replica(instance: str, value: bytes) -> types.Replica:
    """Decodes a registration.

    Args:
        instance: The key of the record.
        value: The record's value.

    Raises:
        exceptions.RecordInvalid: The value is malformed.
    """
    record = convert(value, ReplicaRecord, strict=True)
    _check_replica(record)
    return types.Replica(
        instance=instance,
        service=record.service,
        address=record.address,
        data_centre=record.data_centre,
        slots=record.slots,
        draining=record.state == names.DRAINING,
        role=names.ROLES.get(record.stage),
        orders=record.orders,
        started_at=record.born or 0,
        spot=record.spot,
        version=str(record.version),
    )


def _check_replica(record: ReplicaRecord) -> None:
    """Rejects a registration with values that no replica writes.

    Raises:
        exceptions.RecordInvalid: A value is unknown or out of range.
    """
    if record.state not in names.REPLICA_STATES:
        raise exceptions.RecordInvalid(f"unknown state: {record.state!r}")
    if record.stage and record.stage not in names.ROLES:
        raise exceptions.RecordInvalid(f"unknown role: {record.stage!r}")
    if record.slots < 1:
        raise exceptions.RecordInvalid("it has no slots")
    if not ADDRESS.fullmatch(record.address):
        raise exceptions.RecordInvalid(
            f"address is not IP:PORT: {record.address!r}"
        )


class StateRecord(msgspec.Struct):
    """The state that an engine reports."""

    stage: bounds.Name = ""
    busy: bool = False
    orders: bounds.Count = msgspec.field(name="seq", default=0)
    queued: bounds.Count = 0
    running: bounds.Count = 0
    born: bounds.Count | None = None


class HandleRecord(msgspec.Struct):
    """An engine's answer to a finished prefill."""

    handle: bounds.Token


def decode_state(value: bytes) -> types.State:
    """Decodes an engine's report.

    Raises:
        exceptions.RecordInvalid: The value is malformed.
    """
    record = convert(value, StateRecord, strict=True)
    if record.stage and record.stage not in names.ROLES:
        raise exceptions.RecordInvalid(f"unknown role: {record.stage!r}")
    return types.State(
        names.ROLES.get(record.stage),
        record.busy,
        record.orders,
        record.queued,
        record.running,
        record.born or 0,
    )


def decode_handle(value: bytes) -> str:
    """Decodes the id of a KV cache that waits for its decode engine.

    Raises:
        exceptions.RecordInvalid: The value is malformed.
    """
    return convert(value, HandleRecord).handle


class CacheListRecord(msgspec.Struct):
    """Cached prefix blocks of an engine.

    Attributes:
        held: Rows of unused, block id, tokens and model.
        born: Start time of the engine in Unix milliseconds.
    """

    held: list[tuple[str, bounds.Name, bounds.Count, str]]
    born: bounds.Count | None = None


def decode_cache_list(value: bytes) -> types.CacheList:
    """Decodes the list of prefix blocks that an engine caches.

    Raises:
        exceptions.RecordInvalid: The value is malformed.
    """
    record = convert(value, CacheListRecord)
    blocks = [chains.Block(row[1], row[2]) for row in record.held]
    return types.CacheList(blocks, record.born or 0)


def encode_order(desired: types.Order) -> bytes:
    """Encodes an order to an engine."""
    return json.dumps(
        {
            "op": "stage",
            "stage": names.ROLE_NAMES[desired.role],
            "holder": desired.holder,
            "fence": desired.token,
            "expected": desired.after,
        }
    ).encode()


def convert(value: bytes, record_type: type[Any], strict: bool = False) -> Any:
    """Decodes JSON into one of the records here.

    Args:
        value: The JSON text.
        record_type: The type of the record.
        strict: Whether to reject numbers in quotes.

    Raises:
        exceptions.RecordInvalid: The value is malformed.
    """
    try:
        return msgspec.json.decode(value, type=record_type, strict=strict)
    except DECODE_ERRORS as error:
        raise exceptions.RecordInvalid(str(error)) from error


def _route(record: configuration_records.RouteRecord) -> routes.Route:
    targets = []
    for target in record.split or ():
        targets.append(routes.Target(target.service, target.weight))
    if not targets:
        targets.append(routes.Target(record.service, 1.0))
    return routes.Route(
        name=record.name,
        host=record.host,
        prefix=record.prefix,
        kind=names.ROUTE_KINDS[record.kind],
        limit=record.limit_ms / 1000,
        objective=(record.objective_ms or record.limit_ms) / 1000,
        urgency=record.urgency,
        attempts=record.attempts,
        targets=tuple(targets),
        resumable=record.resumable,
        abandon_timeout=_abandon_timeout(record),
        public=record.public,
    )


def _abandon_timeout(record: configuration_records.RouteRecord) -> float:
    if names.ROUTE_KINDS[record.kind] != routes.Kind.STREAMING:
        return 0.0
    return max(
        names.MIN_ABANDON_TIMEOUT_SECONDS,
        names.ABANDON_TIMEOUT_OBJECTIVES * record.objective_ms / 1000,
        names.ABANDON_TIMEOUT_PAUSES * record.pause_ms / 1000,
    )


def _keys(
    records: list[configuration_records.AccountRecord] | None,
) -> client_keys.KeyTable | None:
    if records is None:
        return None
    accounts = []
    for record in records:
        account = client_keys.Account(record.name, record.urgency)
        accounts.append((account, record.keys))
    return client_keys.KeyTable(accounts)


def _service(record: configuration_records.ServiceRecord) -> types.Service:
    engine = record.engine or configuration_records.EngineRecord()
    return types.Service(
        record.name,
        record.connections,
        engine.cache_tokens,
        engine.token_bytes,
        # Megabits to bytes a second.
        engine.link_mbps * 1e6 / 8,
        engine.handle_s,
        engine.switch_s,
        _offer(record.scale),
    )


def _offer(
    record: configuration_records.ScaleRecord | None,
) -> capacity.Offer | None:
    if record is None:
        return None
    return capacity.Offer(
        record.least,
        record.most,
        record.start_s,
        record.spot_price,
        record.prices,
    )


def decode_rate(value: bytes) -> float:
    """Decodes the requests a second that a replica takes from all nodes.

    Raises:
        exceptions.RecordInvalid: It is not a decimal number.
    """
    if RATE.fullmatch(value.strip()) is None:
        raise exceptions.RecordInvalid(f"not a rate: {value[:40]!r}")
    return min(float(value), MAX_RATE)
