"""Finds where the events of an event stream end, however its bytes arrive.

An answer without a length or chunks ends with its connection, and the
connection of a process that has crashed ends like that of one that is done. So
only the last event shows whether such a stream was broken off.

The format is that of the HTML standard, "Server-sent events": an event ends
with an empty line, a line ends with LF, CRLF or CR, and a line that begins with
a colon is a comment.
"""

import re

LINE_END = re.compile(rb"\r\n|\n|\r")
CR = b"\r"
LF = b"\n"
CRLF = b"\r\n"
COMMENT = b":"


class EventBoundaries:
    r"""Follows one stream and knows how much of it belongs to whole events.

    Attributes:
        tail: Number of bytes after the end of the last whole event or comment.
        events: Number of whole events.

    >>> boundaries = EventBoundaries()
    >>> boundaries.feed(b"data: a\n\ndata: b")
    >>> boundaries.tail, boundaries.is_whole()
    (7, False)
    """

    def __init__(self):
        self.tail = 0
        self.events = 0
        self.in_event = False
        self.line_start = b""
        self.last_line_end = b""
        self.held_cr = False
        self.may_extend_cr = False

    def feed(self, data: bytes) -> None:
        """Takes the next bytes of the stream."""
        if not data:
            return
        self.tail += len(data)
        if self.held_cr:
            data = CR + data
            self.held_cr = False
        if self.may_extend_cr and data.startswith(LF):
            data = self.extend_cr(data)
        self.may_extend_cr = False
        position = 0
        for match in LINE_END.finditer(data):
            if not self.line_start and match.start() > position:
                self.line_start = data[position : position + 1]
            ending = match.group()
            at_end = match.end() == len(data)
            if ending == CR and at_end and self.last_line_end != CR:
                # An LF that belongs to it may follow.
                self.held_cr = True
                return
            self.end_line(ending, len(data) - match.end())
            self.may_extend_cr = ending == CR and at_end
            position = match.end()
        if not self.line_start:
            self.line_start = data[position : position + 1]

    def extend_cr(self, data: bytes) -> bytes:
        """Adds an LF to the CR before it, which has ended a line already."""
        self.last_line_end = CRLF
        if not self.in_event:
            self.tail -= 1
        return data[1:]

    def end_line(self, ending: bytes, left: int) -> None:
        """Ends the current line.

        Args:
            ending: Its line end.
            left: Number of bytes that follow it.
        """
        start, self.line_start = self.line_start, b""
        self.last_line_end = ending
        if not start:
            self.events += self.in_event
            self.in_event = False
        elif not start.startswith(COMMENT):
            self.in_event = True
        if not self.in_event:
            self.tail = left

    def is_whole(self) -> bool:
        """Whether a stream that ends here has ended after a whole event."""
        if not self.held_cr:
            return not self.line_start and not self.in_event
        if self.last_line_end == CRLF:
            # The LF that the other lines have is missing.
            return False
        if self.line_start:
            return self.line_start.startswith(COMMENT) and not self.in_event
        return True

    def has_events(self) -> bool:
        """Whether a stream that ends here has at least one whole event."""
        return self.events > 0 or (self.in_event and self.is_whole())
