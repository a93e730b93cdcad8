"""Logs what a gateway sends to the store and to the other nodes."""

import collections

from gypsumfold import events
from gypsumfold.gateway.peers import gossip as gossip_module
from gypsumfold.platform import store as store_module

# Seconds between two log lines.
INTERVAL_SECONDS = 10.0


class TrafficLog:
    """Logs calls to the store and datagrams since the last lines.

    >>> log = TrafficLog(store, gossip, now=0.0)
    >>> log.check(now=1.0)
    """

    def __init__(
        self,
        store: store_module.Store,
        gossip: gossip_module.Gossip,
        now: float,
    ):
        self.store = store
        self.gossip = gossip
        self.due = now + INTERVAL_SECONDS
        self.logged_calls: collections.Counter[str] = collections.Counter()
        self.logged_bytes: collections.Counter[str] = collections.Counter()

    def check(self, now: float) -> None:
        """Logs if the interval is over."""
        if now < self.due:
            return
        self.due += INTERVAL_SECONDS
        self.log_calls()
        self.log_datagrams()

    def log_calls(self) -> None:
        """Logs the number of calls to the store."""
        calls = self.store.calls - self.logged_calls
        self.logged_calls = self.store.calls.copy()
        if calls:
            events.log(
                events.STORE_CALLED,
                reads=self.gossip.is_store_reader(),
                **calls,
            )

    def log_datagrams(self) -> None:
        """Logs the kilobytes sent to other nodes."""
        sent = self.gossip.sender.bytes_sent
        kilobytes = {}
        for kind, size in (sent - self.logged_bytes).items():
            kilobytes[kind] = round(size / 1000, 1)
        self.logged_bytes = sent.copy()
        if kilobytes:
            events.log(
                events.DATAGRAMS_SENT,
                relays=self.gossip.is_relay(),
                **kilobytes,
            )
