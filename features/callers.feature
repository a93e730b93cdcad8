Feature: Callers get clear errors and name what they want

  Scenario: Bodies that are too large, too slow or wrong are refused clearly
    Given callers of a node that takes 2000 bytes in 1 second
    Then a body of 3000 bytes is answered with 413, "body-too-large"
    And a body that does not come is answered with 408, "body-too-slow"
    And a body "{}" is answered with 400, "invalid-request"
    And a body "no JSON" is answered with 400, "invalid-request"
    And an unknown model is answered with 404, "not-found"
    And an unknown kind is answered with 400, "invalid-request"

  Scenario: Adapters and versions are asked for by the model's name
    Given callers of a node that takes 2000 bytes in 1 second
    When the adapter "swaps" and the default version "2" are declared
    Then asking for "dispatch-lm" has engines run "dispatch-lm@2"
    And asking for "dispatch-lm:swaps" has engines run "dispatch-lm:swaps@2"
    And asking for "dispatch-lm:swaps@1" is answered with 404

  Scenario: A caller that leaves cancels what was asked for
    Given callers of a node that takes 2000 bytes in 1 second
    And slow engines
    When a caller leaves in the middle of its stream
    Then the engine's dispatch is cancelled
