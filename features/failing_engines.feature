Feature: An engine that fails each run draws no streams

  Scenario Outline: Streams stay away from an engine that answers 500: <nodes> gateways, seed <seed>
    Given <nodes> gateways with 4 engines that generate
    When one of the engines answers each run with a failure for 8 seconds
    Then after 1 second it gets at most a tenth of the streams
    And at least 98 in 100 of the streams that may be resumed are answered
    And no refusal is false

    Examples:
      | nodes | seed |
      | 8     | 1    |
      | 40    | 2    |

  Scenario: Plain replicas that fail or refuse at once draw no calls
    Given a directory with 4 plain replicas of which one fails at once
    When 400 calls are placed by the gateways' totals
    Then the failing replica gets at most a tenth of them
