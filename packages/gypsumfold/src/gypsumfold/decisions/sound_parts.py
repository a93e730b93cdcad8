"""Remembers which parts of prompts replicas have answered without a crash.

Load pattern: most prompts of a route begin with the same part, so it is in
every crash that one of them causes. Requests that hold it and are answered
tell it from the part that crashes replicas.
"""

import collections
from collections.abc import Hashable
from typing import NamedTuple

# Parts and versions that are remembered; callers may make up any number.
MAX_PARTS = 8192
# Crashes in a row, without an answer in between, after which a part no longer
# counts as sound.
MAX_INTERRUPTIONS = 3


class Interruptions(NamedTuple):
    """Crashes since a part was answered last.

    Attributes:
        count: How many.
        replica: What crashed last; None if nothing did.
    """

    count: int = 0
    replica: Hashable | None = None


class SoundParts:
    """The parts with which replicas of a software version gave an answer.

    >>> sound = SoundParts()
    >>> sound.answered(7, version=1)
    >>> sound.is_sound(7, version=1)
    True
    """

    def __init__(self):
        # By part and version.
        self.interruptions: collections.OrderedDict[
            int, dict[int, Interruptions]
        ] = collections.OrderedDict()

    def answered(self, part: int, version: int) -> None:
        """Records that a request with a part ran past its beginning."""
        self.interruptions.setdefault(part, {})[version] = Interruptions()
        self.interruptions.move_to_end(part)
        if len(self.interruptions) > MAX_PARTS:
            self.interruptions.popitem(last=False)

    def interrupted(self, part: int, version: int, replica: Hashable) -> None:
        """Records that a crash interrupted requests with a sound part."""
        before = self.interruptions[part][version]
        if before.replica != replica:
            after = Interruptions(before.count + 1, replica)
            self.interruptions[part][version] = after

    def is_sound(self, part: int, version: int) -> bool:
        """Whether a part doesn't crash replicas of a version.

        Args:
            part: The part.
            version: Digest of the version; 0 for one that is unknown.
        """
        found = self.interruptions.get(part, {}).get(version)
        return found is not None and found.count < MAX_INTERRUPTIONS

    def is_known(self, part: int) -> bool:
        """Whether a part is sound with any version."""
        for version in self.interruptions.get(part, {}):
            if self.is_sound(part, version):
                return True
        return False
