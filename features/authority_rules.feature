Feature: Leases and orders follow from the log alone

  @promise-1 @promise-3
  Scenario: No interleaving gives an engine conflicting orders
    Then 400 random interleavings of three nodes keep every order in turn

  @promise-2
  Scenario: No interleaving lets a node dispatch to an engine that is quiet
    Then 400 random interleavings of a closing leave no permission behind

  @promise-1
  Scenario: An operator's order goes before the planner's and the declaration
    Given the control stream of one service with a holder
    When two operators order the roles "prefill" and then "decode"
    Then the next order of an engine for which the planner wants "mixed" is "decode"
    And once that is done nothing more is ordered
    And once the declared role changes to "prefill" that is ordered
