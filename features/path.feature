Feature: A request is served end to end by separate processes

  Scenario: Streamed, whole and plain answers come back through any node
    Given a path of 3 nodes, 2 engines and 1 plain service
    Then a streamed completion through each node is whole and exact
    And an unstreamed completion through each node is whole and exact
    And a plain call through each node is answered and ran once
    And each node lists the declared model
    And a caller without a token gets a problem document with "not-run"

  Scenario: Records that nobody can read stall no node
    Given a path of 2 nodes, 1 engines and 1 plain service
    When records that nobody can read are put on every stream of the log
    Then a change of configuration comes into force at each node
    And a plain call through each node is answered and ran once
    And each node logged event 402 for each of those streams

  Scenario: A node that was not run for seconds refuses the calls that waited at it
    Given a path of 3 nodes, 1 engines and 1 plain service
    When 8 calls wait at each node in turn, which is not run for 5 s
    Then each of these calls was answered
