Feature: A planned change cuts nothing that is in progress

  @promise-2
  Scenario Outline: Role changes under callers' load cut no request
    Given controlled engines "<kind>" and 3 nodes
    When callers use every node while each engine changes its role twice
    Then every caller got its whole answer, and no tug call ran twice
    And no engine took an order that was stale, overlapping or cutting

    Examples:
      | kind     |
      | checking |
      | ignoring |

  @promise-2
  Scenario: A node that froze with an old permission does not dispatch
    Given controlled engines "checking" and 3 nodes, one with the log behind a proxy
    When a long stream runs on "lm-1"
    And a node freezes with a permission for "lm-1"
    And the engine is closed and the frozen node's permission has lapsed
    And requests wait for the frozen node when it wakes
    Then "lm-1" got no dispatch after it was closed
    When the long stream has ended
    Then "lm-1" has the role "decode" and took 1 order
    And no engine took an order that was stale, overlapping or cutting
