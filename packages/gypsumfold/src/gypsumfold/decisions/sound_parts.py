"""Remembers which parts of prompts replicas have answered without a crash.

Load pattern: most prompts of a route begin with the same part, so it is in
every crash that one of them causes. Requests that hold it and are answered
tell it from the part that crashes replicas.
"""

import collections

# Parts that are remembered; callers may make up any number.
MAX_PARTS = 8192


class SoundParts:
    """The parts with which replicas of a software version gave an answer.

    A crash doesn't end that: while others crash all replicas of a service, none
    may answer for a while.

    >>> sound = SoundParts()
    >>> sound.answered(7, version=1)
    >>> sound.is_sound(7, version=1)
    True
    """

    def __init__(self):
        # Versions by part, the part answered last at the end.
        self.versions: collections.OrderedDict[int, set[int]] = (
            collections.OrderedDict()
        )

    def answered(self, part: int, version: int) -> None:
        """Records that a request with a part ran past its beginning."""
        self.versions.setdefault(part, set()).add(version)
        self.versions.move_to_end(part)
        if len(self.versions) > MAX_PARTS:
            self.versions.popitem(last=False)

    def is_sound(self, part: int, version: int) -> bool:
        """Whether a part doesn't crash replicas of a version.

        Args:
            part: The part.
            version: Digest of the version; 0 for one that is unknown.
        """
        return version in self.versions.get(part, ())

    def is_known(self, part: int) -> bool:
        """Whether a part is sound with any version."""
        return part in self.versions
