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
