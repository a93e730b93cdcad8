Feature: Nodes accept nothing from strangers and harm no one by bad input

  Scenario Outline: A hostile frame costs a node nothing
    Given peers of 2 nodes
    When a stranger sends <bytes> to a node's port for peers
    Then the node closes the connection and logs event 502
    And the node's memory grew by less than 8 MiB
    And the two nodes still hear of each other

    Examples:
      | bytes                                     |
      | a claim of a 2 GiB string                 |
      | a frame of 4 GiB                          |
      | a frame with a wrong HMAC                 |
      | a repeated frame of another connection    |

  Scenario: Frames that were changed, repeated or reordered are refused
    Then hypothesis finds no changed frame that is accepted
    And hypothesis finds no reordered frame that is accepted
    And hypothesis finds no payload that fails without a typed error

  Scenario: Server-sent events are read alike however the bytes are cut
    Then hypothesis finds no events that change by where they are cut
    And hypothesis finds no bytes that fail without a typed error

  Scenario: A peer that goes silent is given up and found again
    Given peers of 2 nodes
    When the second node is frozen until the first one has lost it
    Then the two nodes hear of each other once it is thawed
