Feature: Second copies of slow requests

  One of a few replicas is slow for a moment while the others are idle. Callers
  expect an answer within the objective of their route, which is 200 ms here.

  Scenario Outline: The slowest answers miss the objective though other replicas are idle: <nodes> gateways
    Given <nodes> gateways that may copy <share> in 100 requests
    When callers ask for 40 seconds while single replicas are slow by turns
    Then at least 99 in 100 answers come within the objective
    And copies stay within the limits

    Examples:
      | nodes | share |
      | 6     | 5     |
      | 40    | 5     |

  Scenario Outline: A copy outlives what it was sent for: <trouble>
    Given 6 gateways that may copy 5 in 100 requests
    When callers ask for 30 seconds while <trouble>
    Then copies stay within the limits

    Examples:
      | trouble                       |
      | replicas crash by turns       |
      | callers leave early           |
      | gateways start again by turns |
      | all replicas are slow         |
      | replicas refuse as full       |

  Scenario Outline: A prefill waits for a slow engine, or its copy is kept: <trouble>
    Given 6 gateways that may copy 5 in 100 requests
    And they may copy prefills as well
    When callers ask for 30 seconds while <trouble>
    Then copies stay within the limits

    Examples:
      | trouble                             |
      | single replicas are slow by turns   |
      | callers leave early                 |

  Scenario Outline: All gateways together send more copies than operators allow: <nodes>, <trouble>
    Then <nodes> nodes at <rate> requests a second, many slow, keep to 5 copies in 100 while <trouble>

    Examples:
      | nodes | rate  | trouble          |
      | 6     | 80    | nothing happens  |
      | 40    | 80    | nothing happens  |
      | 120   | 300   | nothing happens  |
      | 390   | 1000  | nothing happens  |
      | 390   | 80    | nothing happens  |
      | 6     | 80    | nodes restart    |
      | 120   | 300   | nodes restart    |
      | 6     | 80    | the site is split |
      | 390   | 1000  | the site is split |

  Scenario: Answers that copies cut short lower the threshold without bound
    Given a node that has seen 1000 answers of which 6 in 100 take 10 times as long
    When the slow ones are cut short at the threshold 5000 times
    Then the threshold has not sunk below that of answers that are not cut

  Scenario Outline: A result of two copies is lost or told wrongly: <first>, <second>
    Given a slow first replica that <first> and a second one that <second>
    When a call with time for <seconds> seconds is sent
    Then its caller gets <status> and it counts as <runs> runs
    And it is metered <metered> times and leaves nothing open

    Examples:
      | first         | second        | seconds | status    | runs | metered |
      | answers late  | answers       | 3       | 200 of 2  | 2    | 1       |
      | answers late  | refuses       | 3       | 200 of 1  | 1    | 1       |
      | answers late  | breaks off    | 3       | 200 of 1  | 2    | 1       |
      | answers late  | fails         | 3       | 200 of 1  | 2    | 1       |
      | refuses late  | answers later | 3       | 200 of 2  | 1    | 1       |
      | breaks late   | answers later | 3       | 200 of 2  | 2    | 1       |
      | breaks late   | refuses       | 3       | 200 of 3  | 2    | 1       |
      | breaks late   | breaks off    | 3       | 502       | 2    | 1       |
      | refuses late  | refuses       | 3       | 200 of 3  | 1    | 1       |
      | fails late    | breaks off    | 3       | 500       | 2    | 1       |
      | hangs         | answers       | 3       | 200 of 2  | 2    | 1       |
      | hangs         | hangs         | 0.6     | cancelled | 2    | 0       |
      | hangs         | hangs         | leaving | cancelled | 2    | 0       |

  Scenario Outline: A copy is sent where none may be: <obstacle>
    Given a slow first replica that answers late and a second one that answers
    But copies meet an obstacle: <obstacle>
    When a call with time for 3 seconds is sent
    Then its caller gets 200 of 1 and it counts as 1 runs
    And the refusal counts as <result>

    Examples:
      | obstacle                               | result   |
      | the setting is 0                       | none     |
      | the route is not idempotent            | none     |
      | the route allows one attempt           | attempts |
      | the request is suspected               | suspect  |
      | the others have asked for a backoff    | replicas |
      | the others are draining                | replicas |
      | the others have said that they leave   | replicas |
      | the others have no rate-limit permits  | replicas |
      | the others have refused as full        | full     |
      | most recent requests are slow          | slow     |
      | the share is used up                   | share    |
      | the retry budget is used up            | retries  |
      | the others' shares are unknown         | share    |

  # The missing engine raised KeyError, so that the caller got an error.
  Scenario: An engine that leaves before a prefill is sent breaks the request
    Given a gateway that may copy prefills
    When the engine chosen for a prefill is removed before it is sent
    Then the prefill is reported as not started

  # All reports of a node were refused once its counts had made them too long.
  Scenario Outline: The counts for copies make a report too long: <routes> routes
    When a node has 120 answers of <routes> routes to report beside 20 prompts
    Then its report has all prompts, and <counts> counts for copies within a datagram

    Examples:
      | routes | counts   |
      | 5      | all      |
      | 120    | limiting |
