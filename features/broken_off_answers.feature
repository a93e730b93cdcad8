Feature: An answer that has been broken off never looks complete to its caller

  An answer may have neither a length nor chunks and end with its connection. The
  connection of a process that has crashed ends like that of one that is done, so
  only the last event tells them apart: a stream that ends inside an event has been
  broken off.

  Scenario: An unframed stream that ends inside an event looks broken to its caller
    Given a site with a gateway
    And the next stream has neither a length nor chunks and ends inside an event
    When a caller asks "/briefs/1" for a stream with the prompt "aa:4000,bb:300"
    Then the answer is cut off
    And the attempt has run once in all

  Scenario: An unframed stream that ends inside an event is resumed where it may be
    Given a site with a gateway
    And the next stream has neither a length nor chunks and ends inside an event
    When a caller asks "/swaps/1" for a stream with the prompt "aa:4000,bb:300"
    Then the caller gets all events of one engine in order

  Scenario: An unframed stream that ends after its last event is complete
    Given a site with a gateway
    And the next stream has neither a length nor chunks
    When a caller asks "/briefs/1" for a stream with the prompt "aa:4000,bb:300"
    Then the caller gets all events of one engine in order
    And the attempt has run once in all

  Scenario Outline: A stream <framing> that is <ends> inside an event never looks complete: <route>, <lines>
    When streams <framing> that are <ends> after each of their bytes are forwarded on a <route> route with lines that end in <lines>
    Then each of them was forwarded whole or left visibly broken

    Examples:
      | framing             | ends         | route         | lines |
      | without framing     | closed       | plain         | LF    |
      | without framing     | closed       | resumable     | LF    |
      | without framing     | closed       | plain         | CRLF  |
      | without framing     | closed       | resumable     | CRLF  |
      | without framing     | closed       | plain         | CR    |
      | without framing     | closed       | resumable     | CR    |
      | without framing     | reset        | plain         | LF    |
      | without framing     | reset        | resumable     | CRLF  |
      | in chunks           | closed       | plain         | LF    |
      | in chunks           | closed       | resumable     | CRLF  |
      | in chunks           | reset        | plain         | LF    |
      | with a longer length | closed       | resumable     | LF    |
      | with a longer length | reset        | plain         | CRLF  |
      | in whole chunks     | ended        | plain         | LF    |
      | in whole chunks     | ended        | resumable     | CRLF  |
      | with its own length | ended        | plain         | LF    |
      | with its own length | ended        | resumable     | CR    |

  Scenario Outline: Where events end doesn't depend on how their bytes arrive: <what>
    When made-up event streams arrive in made-up pieces
    Then <what> is that of the whole stream read at once

    Examples:
      | what                        |
      | the end of the last event   |
      | whether the stream is whole |
