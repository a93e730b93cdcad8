"""Puts many valid changes on the config stream, without a node."""

import time

import uuid6

from features.support import fleets
from features.support import http
from gypsumfold import changes
from gypsumfold import configuration as configuration_module
from gypsumfold.logservice import records
from gypsumfold.operators import language

FIRST = 'create service "web" set protocol = "plain";'


def fill(fleet: fleets.Fleet, count: int) -> None:
    """Appends changes: the first creates a service, the others alter it.

    Args:
        fleet: Whose log is filled.
        count: How many.
    """
    fleet["log"].faults(rate=1e9)
    url = f"{fleet['log'].url}/streams/{records.CONFIG}/records"
    configuration = configuration_module.Configuration()
    for number in range(count):
        text = f'alter service "web" set change_weight = {number};'
        if not number:
            text = FIRST
        operations = changes.operations(language.parse(text))
        declared = configuration.declared("service", "web")
        revision = declared.revision if declared else -1
        condition = changes.Precondition("service", "web", revision)
        change = changes.Change(
            str(uuid6.uuid7()), "filler", operations, (condition,)
        )
        answer = http.post(url, records.encode([change]))
        offset = answer.json()["offset"]
        configuration.apply(records.Entry(offset, time.time(), (change,)))
