"""Types of values from outside, within what every later step can carry.

A value that is decoded may be encoded again for other nodes, fill a datagram of
a fixed size, be logged or be exported as a metric.
"""

from typing import Annotated

import msgspec

# Largest whole number that JSON, MessagePack and floats all hold exactly.
MAX_WHOLE = 2**53
MAX_NAME_CHARACTERS = 256

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
# Becomes part of a header field and of a path.
Token = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=r"\A[!-~]+\Z"
    ),
]
