Feature: A gateway that stops or starts gives no order between those of another

  Gateways join a group of the store, whose first partition grants the authority. Here
  the store divides partitions among the members in the order of their names, and each
  holder orders as often as it may.

  # The task that renews the membership went on until the process ended, so that
  # a stopping gateway joined again and took the duty back from its successor.
  Scenario Outline: Holders never act as A, B, A within a lease: <what>
    When 3 gateways lead by turns for 60 s while <what>
    Then no gateway acts again within a lease where another has acted in between
    And tokens never go down
    And somebody acts in at least <share> of all seconds

    Examples:
      | what                                            | share |
      | the holder stops every 5 s and starts again     | 0.3   |
      | the holder is killed every 5 s and starts again | 0.2   |
      | the holder stops every 5 s and the store is slow | 0.2  |
      | all partitions are given out anew every 4 s     | 0.15  |

  Scenario: A join that is under way when its gateway stops is answered before the leave
    Given a gateway whose join is under way
    When it stops
    Then it leaves after the join is answered and joins no more
    And it gives no order from its stop on

  Scenario: An order that is under way when its gateway stops is answered before the leave
    Given a holder whose order is under way for 0.5 s
    When it stops
    Then it leaves after the order is answered and joins no more

  Scenario Outline: The membership of a gateway whose order was not answered expires: <how>
    Given a holder whose order <how>
    When it stops
    Then it doesn't leave and joins no more

    Examples:
      | how                            |
      | is under way for 60 s          |
      | has failed a moment ago        |

  Scenario Outline: A gateway that stops takes its entry out for good: <what>
    When a gateway's entry is withdrawn while <what>
    Then the store has no entry of it 10 s later

    Examples:
      | what                                |
      | its first entry is being written    |
      | the store is away since its start   |
      | its entry is written again          |
