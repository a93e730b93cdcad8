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
