Feature: An answer that ends early, also inside its head, never looks complete

  A real gateway before replicas whose answers end at chosen bytes. Each cut answer is
  followed by a sound request on the same connection of the caller. Operators of other
  systems saw a replica stop inside its answer's head, and a success without a body.

  # A second run's output came behind that of the first one; within the first
  # one's length both together looked complete.
  Scenario Outline: A generation that may be repeated is not repeated behind its first output: <content>
    Given a gateway before replicas that cut their answers
    When answers of <content> on the routes repeats are cut after each 6th byte of their first run
    Then no answer looks more complete than it is

    Examples:
      | content |
      | events  |
      | json    |

  # JSON without a length or chunks that was cut, also to nothing, was ended
  # with a last chunk on the routes of streams.
  Scenario: Cut JSON on a route of streams looks broken to its caller
    Given a gateway before replicas that cut their answers
    When answers of json on the routes briefs and swaps are cut after each 4th byte of their decode run
    Then no answer looks more complete than it is

  # On a resumable route an answer without an event's end got no head, and the
  # gateway failed it.
  Scenario: A whole answer that is no stream comes whole on a route of streams
    Given a gateway before replicas that cut their answers
    When whole answers of json are asked for on the routes briefs and swaps and repeats and seats
    Then each of them comes whole

  # An answer to HEAD came with the body of the gateway's error, which stood
  # before the next answer on the connection.
  Scenario: An answer to HEAD never has a body, so the next one is read as it is
    Given a gateway before replicas that cut their answers
    When answers to HEAD on the routes lookups and seats are cut after each 3rd byte
    And whole answers to HEAD are asked for on the routes lookups and briefs and nowhere
    Then no answer looks more complete than it is
    And no bytes come between the answers to HEAD and to GET

  # A length that the body doesn't have let the next answer's bytes fill it, or
  # ended the body early.
  Scenario Outline: A length beside chunks never ends a body early or late: <kind>
    Given a gateway before replicas that cut their answers
    When answers in <kind> are asked for on the routes seats and briefs and swaps and repeats
    Then no answer looks more complete than it is

    Examples:
      | kind                        |
      | chunks and a longer length  |
      | chunks and a shorter length |

  # Between two nodes only the last message tells that an answer is complete.
  Scenario Outline: A node's answer to another one that is cut never looks complete: <framing>, <ends>, <kind>
    When a node's answers in <framing> to a forwarded <kind> request are <ends> after each byte
    Then each ends with the message of its end or looks broken, and runs as often as it may

    Examples:
      | framing  | ends   | kind           |
      | chunks   | closed | idempotent     |
      | chunks   | reset  | non_idempotent |
      | unframed | closed | non_idempotent |
      | length   | closed | idempotent     |

  # A caller that ends inside its request has not sent it.
  Scenario Outline: A request that ends early isn't run: <framing>, <ends>
    Given a gateway before replicas that cut their answers
    When requests in <framing> are <ends> after each byte
    Then none of them runs or is answered as a success

    Examples:
      | framing  | ends   |
      | a length | closed |
      | a length | reset  |
      | chunks   | closed |
      | chunks   | reset  |

  # The kernel closes the connections of a killed process in order, so that only
  # the framing tells that an answer was cut.
  Scenario: The answers of a gateway that is killed look broken
    Given a gateway before replicas that cut their answers
    When answers of each kind are read from a gateway
    Then none looks complete before its last byte
    When a gateway is killed while answers stop at each 4th byte
    Then each caller sees its answer broken off

  Scenario: A large answer of a gateway that is killed looks broken to a late reader
    Given a gateway before replicas that cut their answers
    When a gateway is killed while its caller has not read a large answer
    Then the caller gets less than the length promises
