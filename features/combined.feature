@combined @promise-1 @promise-3 @promise-4 @promise-5 @promise-6 @promise-9
Feature: Everything holds while faults of all kinds come together

  Scenario Outline: Two rounds of mixed faults at <deployment>, seed <seed>
    Given a combined fleet in the shape of "<deployment>"
    When callers and operators use it while faults come by seed <seed>
    Then every whole answer was exact and its caller's own
    And every call that was said not to have run has not
    And no call ran more than once
    And no engine took conflicting or stale orders
    And no node's revision went back, and all nodes agree in the end

    Examples:
      | deployment  | seed |
      | ramp-towage | 1    |
      | bimah       | 2    |
