Feature: A call that may not be repeated runs at most once

  @promise-6
  Scenario: A repeat through another node gets the recorded answer
    Given a fleet for keyed calls
    When a keyed call through entry-1 is answered and entry-1 is killed
    Then its repeat through entry-2 gets the same answer
    And a node that starts afterwards gives the same answer
    And the call ran once

  @promise-5 @promise-6
  Scenario: Calls of one key at the same time run once
    Given a fleet for keyed calls
    When 5 keyed calls are made 12 times each through all nodes at once
    Then all of their answers are exact and each call ran once

  @promise-5 @promise-6
  Scenario Outline: A node is <fault> between any two steps of a keyed call
    Given a fleet for keyed calls
    When entry-1 is <fault> at each step of a keyed call and it is repeated
    Then no keyed call ran twice and none ran that was said not to have
    And the repeats have ended as they should when a node is <fault>

    Examples:
      | fault                    |
      | killed                   |
      | frozen                   |
      | frozen past the deadline |
      | cut off                  |
      | delayed                  |

  @promise-5 @promise-6
  Scenario: The answer is lost after the call ran
    Given a fleet for keyed calls
    When the service loses the answers of calls with and without a key
    Then the callers are told "undetermined" and so is each repeat
    And the call ran once

  @promise-5 @promise-6
  Scenario: A key is refused when it does not fit
    Given a fleet for keyed calls
    When a key is used with another body, too old, too new and malformed
    Then the other body and the malformed key are told "not-run"
    And the old and the new key are told "undetermined"
    And only the first body ran

  @promise-5 @promise-6
  Scenario: A refused key is closed for every attempt
    Given a fleet for keyed calls
    When a keyed call is refused because the service is leaving
    Then it is told "not-run" with a time to return
    And its repeat through each node is told "not-run" and runs nothing
    And a call with a new key runs when the service is back

  @promise-6
  Scenario: The log loses answers after appends took effect
    Given a fleet for keyed calls
    When the log loses the answers to the next 3 claims
    Then a keyed call is answered and its claim stands on the log twice
    And the call ran once

  @promise-5 @promise-6
  Scenario: The log is down
    Given a fleet for keyed calls
    When the log is down
    Then a call without a key is answered
    And a call with a caller's key is told "undetermined" and runs nothing
    And a call with a bound key is answered once through every node
    And a bound key with another body is told "not-run"
    And a bound key is told "undetermined" once its node was restarted

  @promise-5
  Scenario: A call goes to another replica while nothing can have run
    Given a fleet for keyed calls
    When the service withholds the 100 from some calls
    Then calls without a key are answered by the other replica
    And the call ran once

  @promise-5 @promise-6
  Scenario: An attempt that slept through a refusal does not run
    Given a fleet for keyed calls whose log may take 10 seconds
    When entry-1 freezes before its claim and entry-2 refuses the call
    Then entry-2 has told "not-run"
    And entry-1 wakes to a service that is back and tells "not-run"
    And nothing of the call ran

  @promise-5 @promise-6
  Scenario: An overload's refusals are true
    Given a fleet for keyed calls
    When 160 keyed calls of two seconds come at once with a deadline of 3
    Then no keyed call ran twice and none ran that was said not to have
    And some were answered and some were told "not-run"

  @promise-6
  Scenario: The log forgets a key
    Given a fleet for keyed calls whose log keeps 3 seconds
    When a keyed call is answered and the log has forgotten it
    Then its repeat through every node is told "undetermined"
    And a node that started afterwards tells it "undetermined"
    And the call ran once

  @promise-6
  Scenario: Open connections to the services go silent
    Given a fleet for keyed calls
    When all open connections from the nodes to the services go silent
    Then a call through each node is answered with and without a key
    And the call ran once

  @promise-6
  Scenario Outline: A keyed call is refused while a new connection to the log is opened: <log>
    Given a node that has lost the log <lost> s ago
    When a keyed call comes, and the log is <log>
    Then the call is <end> within 1.1 s

    Examples:
      | lost | log                     | end     |
      | 0.0  | back after 0.4 s        | claimed |
      | 0.3  | back after 0.4 s        | claimed |
      | 0.0  | not back                | refused |
      | 20.0 | not back                | refused |
