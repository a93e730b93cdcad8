Feature: An answer before the end of its upload is complete only if the upload goes through

  A replica may answer before it has read a long body. An answer with neither a length nor
  chunks ends with its connection: if that is reset while the body is still being sent, the
  answer has been broken off, though the replica had closed its side in order before.

  # The close in order was taken for the answer's end before the reset came.
  Scenario Outline: An answer whose connection is reset under its upload is broken: <call>, <size> bytes
    When a replica answers <call> of <size> bytes at once, closes its side and then resets the connection
    Then the answer has been broken off

    Examples:
      | call          | size    |
      | a plain call  | 200000  |
      | a plain call  | 4000000 |
      | a stream      | 4000000 |
      | a prefill     | 4000000 |

  Scenario Outline: An answer whose replica reads the upload to its end is whole: <call>, <size> bytes
    When a replica answers <call> of <size> bytes at once, closes its side and then reads on
    Then the answer is whole

    Examples:
      | call         | size    |
      | a plain call | 20000   |
      | a plain call | 4000000 |
      | a stream     | 4000000 |
      | a prefill    | 4000000 |

  Scenario Outline: An answer whose connection is reset at once is broken: <call>, <size> bytes
    When a replica answers <call> of <size> bytes at once and resets the connection
    Then the answer has been broken off

    Examples:
      | call         | size    |
      | a plain call | 20000   |
      | a plain call | 4000000 |
      | a stream     | 20000   |
      | a stream     | 4000000 |
      | a prefill    | 4000000 |
