"""Decides which client account a key belongs to, and when to refuse a key.

Load pattern: many requests with unknown keys, from callers whose key was
withdrawn or that guess keys. A lookup takes constant time and an unknown key
causes no call, so that they cost other callers nothing.
"""

from collections.abc import Iterable
import enum
import hashlib
from typing import NamedTuple

# Hexadecimal digits of a key's digest in log lines: enough to tell the keys of
# thousands of accounts apart, too few to search for the key.
FINGERPRINT_DIGITS = 8


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Unique among the accounts.
        urgency: Urgency of its requests, 0 is the most urgent; None leaves it
            to the route.
    """

    name: str
    urgency: int | None = None


class KeyTable:
    """The accounts of one version of the configuration, by digest of key.

    >>> KeyTable([(Account("north-air"), ["k1"])]).find(digest("k1")).name
    'north-air'
    """

    def __init__(self, accounts: Iterable[tuple[Account, Iterable[str]]]):
        self.by_digest: dict[bytes, Account] = {}
        self.by_name: dict[str, Account] = {}
        for account, keys in accounts:
            for key in keys:
                self.by_digest[digest(key)] = account
                self.by_name[account.name] = account

    def find(self, key_digest: bytes) -> Account | None:
        """Returns the account that holds a key; None if there is none."""
        return self.by_digest.get(key_digest)

    def find_name(self, name: str) -> Account | None:
        """Returns the account of a name if it holds a key, else None."""
        return self.by_name.get(name)


class Policy(NamedTuple):
    """How long keys remain valid at a node that may have missed a change.

    Attributes:
        strict: Whether a node refuses all keys once its configuration may be
            older than `max_age`.
        max_age: Age in seconds.
    """

    strict: bool = False
    max_age: float = 5.0


class Knowledge(NamedTuple):
    """How recent a node's configuration is.

    Attributes:
        behind: Whether another node has reported a newer version.
        store_reachable: Whether the last read of the configuration succeeded.
        age: Seconds in which a change may have been missed.
    """

    behind: bool
    store_reachable: bool
    age: float


class Verdict(enum.Enum):
    """What to do with a request."""

    SERVE = "serve"
    # The key is in no version that may be in force.
    REFUSE = "refuse"
    # This node may have missed the version that holds the key.
    WAIT = "wait"


def digest(key: str) -> bytes:
    """Returns the digest under which a key is stored; empty for no key."""
    return hashlib.sha256(key.encode()).digest() if key else b""


def fingerprint(key_digest: bytes) -> str:
    """Returns a key's identification in log lines; empty for no key."""
    return key_digest.hex()[:FINGERPRINT_DIGITS]


def decide(
    account: Account | None, public: bool, knowledge: Knowledge, policy: Policy
) -> Verdict:
    """Decides whether a request is served.

    Args:
        account: The account that holds the request's key, if any.
        public: Whether its route needs no key.
        knowledge: How recent the configuration is that was searched.
        policy: How long keys remain valid.
    """
    if public:
        return Verdict.SERVE
    if policy.strict and knowledge.age > policy.max_age:
        return Verdict.WAIT
    if account is not None:
        return Verdict.SERVE
    if knowledge.behind or not knowledge.store_reachable:
        return Verdict.WAIT
    return Verdict.REFUSE
