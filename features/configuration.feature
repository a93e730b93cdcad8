Feature: The configuration is a pure function of the log

  @promise-9
  Scenario: Two nodes agree whatever the order of arrival
    Then two nodes agree through losses, repeats, reordering and retention

  @promise-9
  Scenario: Of two changes to one object the second is told the difference
    Given a configuration with the service "a" and its endpoint "e"
    When two operators alter endpoint "e" from the same revision
    Then the first change is accepted
    And the second change is rejected with "false in force"

  @promise-9
  Scenario: Changes to different objects both win
    Given a configuration with the service "a" and its endpoint "e"
    When one operator alters service "a" and another endpoint "e"
    Then both changes are accepted

  @promise-9
  Scenario: A repeated change id has no second effect
    Given a configuration with the service "a" and its endpoint "e"
    When a change is on the log twice with another one between
    Then the other change is still in force

  @promise-9
  Scenario Outline: A change that breaks a rule is rejected
    Given a configuration with the service "a" and its endpoint "e"
    When the change <text> is put on the log
    Then it is rejected because <reason>

    Examples:
      | text                                    | reason           |
      | drop service "a";                       | needs service    |
      | create model "m" set service = "b";     | needs service    |
      | alter endpoint "f" set drained = true;  | no endpoint      |
      | create service "a" set protocol="plain";| exists           |
      | create endpoint "f" set service="a", data_centre="n", address="127.0.0.1:0080"; | has the address |
      | create version "a" set model = "m";     | needs model      |

  @promise-9
  Scenario: A node knows when its configuration is not fresh
    Then a node is fresh only as the log and its peers allow

  @promise-9
  Scenario: An answer that is read late counts from when it was asked for
    Then a tail that was paused has heard the log when it asked
    And a heartbeat that a peer sent by itself vouches for nothing
