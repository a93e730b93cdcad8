Feature: A request that one gateway passes on to another runs once and ends with its caller

  Two real gateways before replicas behind a fault proxy, which cuts the first one off
  from all of them.

  Scenario: What is passed on says nothing of the caller's key
    When a caller's request with a key is read and encoded to be passed on
    Then neither the key nor its digest is in the message

  Scenario Outline: Real gateways: one that is cut off serves by way of another: <how>
    Given two gateways before replicas behind a fault proxy
    When the first gateway is cut off from all replicas: <how>
    Then 12 calls and 4 streams at the first gateway are answered by replicas and run once

    Examples:
      | how               |
      | nothing passes    |
      | all are reset     |

  Scenario: A call that is passed on ends when its caller leaves
    Given two gateways before replicas behind a fault proxy
    And each plain call takes 4 seconds
    When the first gateway is cut off from all replicas: nothing passes
    And a caller posts to "/seats/7" and leaves when it runs
    Then the replica's run ends as left

  Scenario: A stream that is passed on is whole though the gateway that serves it is stopped
    Given two gateways before replicas behind a fault proxy
    And a stream takes 3.0 seconds
    When the first gateway is cut off from all replicas: nothing passes
    And a caller asks for a stream and the second gateway is told to stop meanwhile
    Then the caller gets all events of one engine in order

  Scenario: A call that is passed on is not said to be not run when the gateway that serves it is killed
    Given two gateways before replicas behind a fault proxy
    And each plain call takes 3 seconds
    When the first gateway is cut off from all replicas: nothing passes
    And a caller posts to "/seats/7" and the second gateway is killed when it runs
    Then the caller gets 502 without a seal
    And the attempt has run once in all

  Scenario: What no gateway has sealed is not served
    Given a site with a gateway whose messages are sealed
    When a request that no gateway has sealed comes to the port for gateways
    Then it is declined and no replica ran anything
