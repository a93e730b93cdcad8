Feature: Silence is not blamed on an engine or a peer that is well

  @promise-4
  Scenario: A request waits in a busy engine for longer than the idle limit
    Given an engine that runs one sequence at a time, and a node
    When two long answers and a short one are asked for at once
    Then all answers are whole, each by its first dispatch

  @promise-4
  Scenario: A stuck engine is left for another one
    Given two engines, of which one is stuck, and a node
    When 4 answers are asked for at once
    Then all answers are whole, from the engine that is not stuck

  Scenario: A peer whose open connections went silent is heard of again
    Given two nodes with a fault proxy between them
    When the open connections between the nodes go silent for good
    Then each node hears of the other again, on fresh connections
    And no node logs that it lost its peer

  Scenario: A peer that is frozen is lost, and found when it thaws
    Given two nodes with a fault proxy between them
    When node "entry-2" is paused
    Then node "entry-1" logs that it lost its peer
    When node "entry-2" goes on
    Then each node hears of the other again, on fresh connections
