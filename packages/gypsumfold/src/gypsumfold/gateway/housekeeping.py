"""Maintains a gateway's settings, log lines, gauges and retry budget."""

import asyncio
import contextlib
import time

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import subjects
from gypsumfold.gateway import core
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import traffic_log

# Seconds between two checks of the settings file, log lines and gauges.
HOUSEKEEPING_SECONDS = 1.0


class Housekeeping:
    """What a gateway does once a second.

    >>> await Housekeeping(gateway).run()
    """

    def __init__(self, gateway):
        self.gateway = gateway

    async def run(self) -> None:
        """Maintains the gateway until it is cancelled."""
        reported = 0
        traffic = traffic_log.TrafficLog(
            self.gateway.store, self.gateway.gossip, time.monotonic()
        )
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HOUSEKEEPING_SECONDS):
                    await self.gateway.reload.wait()
            if (
                self.gateway.reload.is_set()
                or core.modified_at(self.gateway.path)
                != self.gateway.settings_modified_at
            ):
                self.gateway.reload.clear()
                self.reload_settings()
            self.gateway.directory.expire(time.monotonic())
            self.gateway.pool.close_expired(time.monotonic())
            self.share_retries()
            self.gateway.counters.open_requests.set(
                len(self.gateway.server.busy)
            )
            self.gateway.counters.unusable.set(
                self.gateway.registrations.unreadable
            )
            self.update_gauges()
            self.gateway.intake.report()
            self.gateway.lines.flush()
            traffic.check(time.monotonic())
            if self.gateway.lines.dropped > reported:
                events.log(
                    events.LINES_DROPPED,
                    count=self.gateway.lines.dropped - reported,
                )
                reported = self.gateway.lines.dropped

    def share_retries(self) -> None:
        """Divides the site's retry budget by the number of known nodes."""
        nodes = self.gateway.gossip.sharing_node_count()
        apart = self.gateway.gossip.is_partitioned()
        if (nodes, apart) == (
            self.gateway.budget.nodes,
            self.gateway.budget.partitioned,
        ):
            return
        events.log(
            events.RETRIES_SHARED,
            nodes=nodes,
            before=self.gateway.budget.nodes,
            apart=apart,
        )
        self.gateway.budget.nodes = nodes
        self.gateway.budget.partitioned = apart
        self.gateway.directory.second_copies.is_site_known = (
            nodes > 0 and not apart
        )

    def update_gauges(self) -> None:
        """Updates the gauges of nodes, relays, crashes and store calls."""
        age = self.gateway.watches.registrations.staleness.age(clocks.now())
        self.gateway.counters.update_intake(self.gateway.intake)
        self.gateway.counters.nodes.set(self.gateway.gossip.node_count())
        self.gateway.counters.relays.set(
            int(self.gateway.gossip.is_store_reader())
        )
        self.gateway.counters.registrations_age.set(age)
        crashes = self.gateway.quarantine.crash_log
        for gauge, found in (
            (self.gateway.counters.suspected, crashes.suspected),
            (self.gateway.counters.quarantined, crashes.quarantined),
        ):
            parts = sum(subjects.is_part(subject) for subject in found)
            gauge.labels("part").set(parts)
            gauge.labels("request").set(len(found) - parts)
        self.gateway.counters.quarantine_refusals.set(
            self.gateway.quarantine.refused
        )
        self.gateway.counters.keys_refused.set(
            self.gateway.authenticator.refused
        )
        lost = self.gateway.directory.reachability.unreachable
        self.gateway.counters.unreachable.set(len(lost))
        slow = self.gateway.prefix_router.slow_engines.slow(time.monotonic())
        self.gateway.counters.slow_engines.set(len(slow))
        moves = self.gateway.generations.prefills.moves
        self.gateway.counters.moved_prompts.set(moves.count)
        for source, count in self.gateway.origins.results.items():
            self.gateway.counters.taken_up.labels(source).set(count)
        for result, count in self.gateway.forwarder.results.items():
            self.gateway.counters.forwarded.labels(result).set(count)
        if self.gateway.handler.plain_calls.shared is not None:
            self.gateway.counters.update_plain_calls(
                self.gateway.handler.plain_calls.shared
            )
        for service, count in self.gateway.budget.taken.items():
            self.gateway.counters.retries.labels(service, "allowed").set(count)
        for service, count in self.gateway.budget.refused.items():
            self.gateway.counters.retries.labels(service, "refused").set(count)
        for (
            service,
            result,
        ), count in self.gateway.directory.second_copies.results.items():
            self.gateway.counters.copies.labels(service, result).set(count)
        for name, count in self.gateway.supervisor.failures.items():
            self.gateway.counters.task_failures.labels(name).set(count)
        for call, count in self.gateway.store.calls.items():
            self.gateway.counters.store_calls.labels(call).set(count)

    def reload_settings(self) -> None:
        """Loads the settings file again; an invalid one changes nothing.

        Addresses stay until the next start: connections are open on them.
        """
        self.gateway.settings_modified_at = core.modified_at(self.gateway.path)
        try:
            self.gateway.settings = settings_module.load(self.gateway.path)
        except exceptions.SettingsError as error:
            events.log(events.SETTINGS_REJECTED, reason=str(error))
            return
        self.gateway.budget.policy = core.budget_policy(self.gateway.settings)
        self.gateway.authenticator.policy = (
            self.gateway.settings.accounts.policy
        )
        self.gateway.apply_role_settings()
        self.gateway.directory.second_copies.change(
            self.gateway.settings.copies.policy
        )
        events.log(events.SETTINGS_RELOADED)
