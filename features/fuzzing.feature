Feature: What comes from outside is decoded or refused, whatever it holds

  Each scenario decodes what `hypothesis` makes up, with the same examples in
  each run: valid messages with fields changed, left out, of other types or
  cut, and bytes that are no message. Each must give a value of its type or
  the error that says so; no other exception, and no half-read value.

  Scenario Outline: <kind> that anybody may have written
    When made-up <kind> are decoded
    Then each is decoded or refused

    Examples:
      | kind                |
      | registrations       |
      | configurations      |
      | reports of engines  |
      | lists of caches     |
      | handles of caches   |
      | entries of nodes    |

  Scenario: Headers of requests from anybody
    When made-up headers of requests are decoded
    Then each is decoded or refused

  Scenario: Datagrams from anybody
    When made-up datagrams reach a node
    Then each is decoded or refused
    And the node still takes a peer's datagram in

  Scenario: Settings files from anybody
    When made-up settings are read
    Then each is decoded or refused

  Scenario Outline: A registration with <fault> names no replica and harms no other
    Given a directory that follows registrations
    When a registration with <fault> comes between two good ones
    Then the two good ones are known and the other one is not
    And it was counted once, however often it was read

    Examples:
      | fault             |
      | no service        |
      | a number as name  |
      | an unknown state  |
      | an unknown role   |
      | slots as text     |
      | no address        |
      | bytes             |
      | a start as text   |
      | slots beyond 64 bits       |
      | a start beyond 64 bits     |
      | a start before 1970        |
      | a version of 4000 digits   |
      | a service of a megabyte    |
      | a data centre of a megabyte |
      | a version of a megabyte    |

  # A number that decoding let through ended the read of all registrations.
  Scenario Outline: What is decoded can be passed on to other nodes: <kind>
    When made-up <kind> are decoded and encoded for other nodes
    Then each is decoded or refused

    Examples:
      | kind                |
      | registrations       |
      | configurations      |
      | reports of engines  |
      | lists of caches     |
      | handles of caches   |

  Scenario: An entry that fails in a later step ends neither a read nor a relay's message
    Given a directory that follows registrations and fails at "i-bad"
    When a registration with nothing wrong comes between two good ones
    Then the two good ones are known and the other one is not
    And it was counted once, however often it was read
    And the same holds where a relay passes the three on

  Scenario: Entries that can't be read take no memory
    Given a directory that follows registrations
    When 256 entries of 100 kilobytes that can't be read come
    Then at most 100 kilobytes are kept of them

  Scenario Outline: A gateway whose view no longer moves is not ready: <failures> failures, <seconds> s apart
    When a part that follows the store fails <failures> times, <seconds> s after each start
    Then the gateway is <readiness> at once
    And the gateway is ready 5 seconds later

    Examples:
      | failures | seconds | readiness |
      | 2        | 0.1     | ready     |
      | 3        | 0.1     | not ready |
      | 9        | 0.1     | not ready |
      | 9        | 30      | ready     |
