Feature: An answer that never ends costs neither memory nor time

  A replica in trouble may send bytes that are no answer, in a head or a body, without end.

  Scenario Outline: A gateway reads an answer without end: <call>, <place>
    Then <call> that gets bytes without end <place> ends within <seconds> seconds after at most <size> MB

    Examples:
      | call             | place                    | seconds | size |
      | a prefill        | in its body              | 5       | 4    |
      | a report         | in its body              | 5       | 4    |
      | a cache list     | in its body              | 5       | 16   |
      | an order         | in its body              | 5       | 4    |
      | a refused run    | in its body              | 5       | 4    |
      | a mismatched run | in its body              | 5       | 4    |
      | a failed stream  | in its body              | 5       | 16   |
      | a plain call     | in its body              | 5       | 16   |
      | a plain call     | in its head              | 5       | 4    |
      | a plain call     | in heads of no answer    | 5       | 4    |
      | a plain call     | in a chunk's extension   | 5       | 4    |
      | a plain call     | after a whole answer     | 5       | 4    |
      | a stream         | in one event             | 5       | 16   |
      | a store read     | in its body              | 5       | 16   |
      | a question       | in its body              | 5       | 20   |
      | a usage report   | in its body              | 5       | 4    |

  Scenario Outline: A trickle without end holds a call: <call>, <place>
    Then <call> that gets a trickle without end <place> ends within <seconds> seconds after at most 1 MB

    Examples:
      | call             | place       | seconds |
      | a prefill        | in its body | 3       |
      | a report         | in its body | 3       |
      | a refused run    | in its body | 1       |
      | a mismatched run | in its body | 1       |
      | a plain call     | in its body | 3       |
      | a plain call     | in its head | 3       |

  Scenario: Answers without end fill the memory together
    Then 30 plain calls that get bytes without end hold at most 32 MB together

  Scenario: A long stream of small chunks stalls
    Then a stream of 200000 chunks of one event each arrives whole
