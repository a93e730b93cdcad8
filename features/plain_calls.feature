Feature: Plain calls are balanced by the totals of all gateways

  Scenario Outline: Calls avoid a replica that is slow for a while: <nodes> gateways
    Given <nodes> gateways in front of 4 plain replicas of 6 slots, seed <seed>
    When 78 calls a second come and one replica takes 5 times as long for 6 seconds
    Then at most 1 in 20 calls miss their objective of 0.42 seconds
    And nothing is left behind, run twice or refused untruly

    Examples:
      | nodes | seed |
      | 6     | 1    |
      | 40    | 2    |
      | 88    | 3    |

  Scenario Outline: Calls wait in order when there are too many: <nodes> gateways
    Given <nodes> gateways in front of 4 plain replicas of 6 slots, seed <seed>
    When half as many calls again as they can run come for 6 seconds
    Then the replicas run 8 in 10 of what they can
    And repeats at replicas are at most 0.2 of the calls
    And 9 in 10 of the answers meet their objective of 0.42 seconds
    And no call is refused later than its deadline allows
    And each client account is served at least a quarter as often as all
    And 9 in 10 urgent calls are served, and the others don't starve
    And nothing is left behind, run twice or refused untruly

    Examples:
      | nodes | seed |
      | 6     | 4    |
      | 40    | 5    |

  # Calls that were refused before they had waited for 0.4 s never aged.
  Scenario Outline: No urgency starves behind too many urgent calls: <nodes> gateways
    Given <nodes> gateways in front of 4 plain replicas of 6 slots, seed <seed>
    When urgent calls come half as often again as they can run, and half as many others
    Then the others are served at least a quarter as often as all
    And 9 in 10 of the answers meet their objective of 0.42 seconds
    And nothing is left behind, run twice or refused untruly

    Examples:
      | nodes | seed |
      | 1     | 7    |
      | 6     | 8    |
      | 40    | 9    |

  Scenario Outline: Nothing is lost when <event> while calls wait
    Given 6 gateways in front of 4 plain replicas of 6 slots, seed 6
    When half as many calls again as they can run come and <event>
    Then what waited has not run and is answered at once
    And nothing is left behind, run twice or refused untruly

    Examples:
      | event                 |
      | callers leave         |
      | a gateway stops       |
      | a gateway is killed   |
      | datagrams are lost    |
      | two replicas crash    |
      | all replicas crash    |

  # A division by the rate of no replicas left the call in the queue for ever.
  Scenario Outline: Calls don't wait while no replica responds: a call <moment>
    Given a gateway that knows 2 full plain replicas
    When a call <moment> all replicas become silent
    Then it is sent at once and nothing is left in the queue

    Examples:
      | moment       |
      | waits and    |
      | comes after  |

  # A replica counted as slow for 3 s after a spell of 0.6 s.
  Scenario: A slow spell ends though the gateway that reported it was killed
    Given a gateway to which another one reports slow calls at a replica
    Then the replica is slow 0.5 seconds later but not after 0.61 seconds

  # All waiting calls were refused in a moment without a permit.
  Scenario: Calls wait on while their gateway has no permit for any replica
    Given a gateway that knows 2 full plain replicas
    When all permits are used while a call waits, and slots and permits come
    Then it is sent at once and nothing is left in the queue

  # The permit was taken before the wait, and lost with the refusal.
  Scenario: A call refused while it waits to be sent again uses no retry
    Given a gateway that knows 2 full plain replicas
    When a call that a replica refused is refused while it waits
    Then no retry is taken from the budget

  # The call was refused although slots came free within its objective.
  Scenario: A call that all replicas refused as full waits for a free slot
    Given a gateway that knows 2 full plain replicas
    When all replicas refuse a call as full and slots come free later
    Then it is sent at once and nothing is left in the queue
    And a replica may be chosen for it

  Scenario: A service's replicas are found without a scan of all
    Given a gateway that knows 4 full plain replicas
    Then 2000 changes keep replicas found as fast among 2900
