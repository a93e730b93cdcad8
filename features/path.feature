Feature: A request is served end to end by separate processes

  Scenario: Streamed, whole and plain answers come back through any node
    Given a path of 3 nodes, 2 engines and 1 plain service
    Then a streamed completion through each node is whole and exact
    And an unstreamed completion through each node is whole and exact
    And a plain call through each node is answered and ran once
    And each node lists the declared model
    And a caller without a token gets a problem document with "not-run"
