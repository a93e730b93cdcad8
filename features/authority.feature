Feature: Engines get their orders from one holder at a time

  @promise-1 @promise-2
  Scenario Outline: An operator's role order is carried out once
    Given controlled engines "<kind>" and 3 nodes
    When an operator orders the role "decode" of "lm-1"
    Then "lm-1" has the role "decode" and took 1 order
    And no engine took an order that was stale, overlapping or cutting

    Examples:
      | kind     |
      | checking |
      | ignoring |

  @promise-1 @promise-3
  Scenario: A holder frozen before its order wakes after the takeover
    Given controlled engines "checking" whose holder freezes before sending
    When an operator orders the role "decode" of "lm-1"
    And the holder has frozen and another node holds the lease
    Then "lm-1" has the role "decode" and took 1 order
    When the frozen holder wakes
    Then "lm-1" refuses its order as stale
    And no engine took an order that was stale, overlapping or cutting

  @promise-1 @promise-3
  Scenario: Nobody takes over an ignoring engine from a frozen holder
    Given controlled engines "ignoring" whose holder freezes before sending
    When an operator orders the role "decode" of "lm-1"
    And the holder has frozen and another node holds the lease
    And an operator orders the role "prefill" of "lm-2" elsewhere
    Then no order reaches an engine for 2 durations of the lease
    When the frozen holder wakes
    Then "lm-1" has the role "decode" and took 1 order
    And "lm-2" has the role "prefill" and took 1 order
    And no engine took an order that was stale, overlapping or cutting

  @promise-1 @promise-3
  Scenario Outline: An ignoring engine is taken over after <proof>
    Given controlled engines "ignoring" whose holder freezes before sending
    When an operator orders the role "decode" of "lm-1"
    And the holder has frozen and another node holds the lease
    Then no order reaches an engine for 1 durations of the lease
    When there is <proof>
    Then "lm-1" has the role "decode" and took 1 order
    And no engine took an order that was stale, overlapping or cutting

    Examples:
      | proof                     |
      | a restart of the holder   |
      | the holder's VM leaving   |
      | an operator's seizure     |

  @promise-1 @promise-3
  Scenario: Bytes that are late until after the takeover have no effect
    Given controlled engines "checking" behind proxies and 3 nodes
    When the holder's orders are held back on their way
    And an operator orders the role "decode" of "lm-1"
    And the order is on its way and the holder is killed
    Then "lm-1" has the role "decode" and took 1 order
    When the late bytes arrive
    Then "lm-1" refuses its order as stale
    And no engine took an order that was stale, overlapping or cutting

  @promise-1 @promise-3
  Scenario: Late bytes within the quarantine are found at an ignoring engine
    Given controlled engines "ignoring" behind proxies and 3 nodes
    When the holder's orders are held back on their way
    And an operator orders the role "decode" of "lm-1"
    And the order is on its way and the holder is killed
    And the late bytes arrive
    And the killed holder is started again
    And an operator orders the role "prefill" of "lm-1" elsewhere
    Then "lm-1" has the role "prefill" and took 2 orders
    And no engine took an order that was stale, overlapping or cutting

  @promise-1
  Scenario Outline: An order whose answer is lost takes effect once
    Given controlled engines "<kind>" and 3 nodes
    When the answer of the next order to "lm-1" is lost
    And an operator orders the role "decode" of "lm-1"
    Then "lm-1" has the role "decode" and took 1 order
    And "lm-1" is open again at every node
    And "lm-1" has the role "decode" and took 1 order

    Examples:
      | kind     |
      | checking |
      | ignoring |

  @promise-1
  Scenario Outline: An order whose connection is cut takes effect once
    Given controlled engines "<kind>" behind proxies and 3 nodes
    When orders to "lm-1" take 2 seconds longer
    And an operator orders the role "decode" of "lm-1"
    And the connection is cut while "lm-1" carries out an order
    Then "lm-1" has the role "decode" and took 1 order
    And no engine took an order that was stale, overlapping or cutting

    Examples:
      | kind     |
      | checking |
      | ignoring |

  @promise-1
  Scenario: An engine that crashes in mid-change is ordered anew
    Given controlled engines "ignoring" and 3 nodes
    When "lm-1" crashes in the middle of its next order
    And an operator orders the role "decode" of "lm-1"
    And "lm-1" has crashed and is started again
    Then "lm-1" has the role "decode" and took 1 order
    And "lm-1" is open again at every node

  @promise-1
  Scenario: Operators who want different things meet at the holder
    Given controlled engines "ignoring" and 3 nodes
    When every node is asked for another role of "lm-1", 4 times over
    Then "lm-1" comes to rest in the role that is last on the log
    And no engine took an order that was stale, overlapping or cutting

  @promise-1
  Scenario: In an outage of the log nothing is ordered and requests flow
    Given controlled engines "checking" and 3 nodes
    When a long stream keeps "lm-1" from the role "decode" it was ordered
    And the log goes down
    And the long stream has ended
    Then no order reaches an engine for 3 durations of the lease
    And completions through every node are whole meanwhile
    When the log comes back
    Then "lm-1" has the role "decode" and took 1 order

  @promise-1
  Scenario: A holder that stops hands an ignoring engine over at once
    Given controlled engines "ignoring" and 3 nodes
    When the holder is stopped
    And an operator orders the role "decode" of "lm-1" elsewhere
    Then "lm-1" has the role "decode" and took 1 order
