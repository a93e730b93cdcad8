Feature: A gateway that is cut off from the replicas serves its callers by way of others

  Some gateways lose their links to all replicas for seconds, while callers, the
  store and the other gateways still reach them. Whole gateways run under virtual
  time before engines and plain replicas.

  Scenario Outline: Callers of gateways that are cut off from all replicas are served as the others are: <cut> of <nodes>, new connections are <how>
    Then in each of <plays> plays <cut> of <nodes> gateways whose connections are <how> serve first attempts as the others do

    Examples:
      | nodes | cut                  | how     | plays |
      | 6     | 1                    | silent  | 2     |
      | 6     | 1                    | refused | 2     |
      | 6     | all of a data centre | silent  | 2     |
      | 6     | all of a data centre | refused | 2     |
      | 9     | most                 | silent  | 1     |
      | 9     | most                 | refused | 1     |
      | 40    | all of a data centre | silent  | 1     |

  Scenario Outline: What callers of gateways that are cut off are told is true: <cut> of <nodes>, new connections are <how>
    Then in each of <plays> plays with <cut> of <nodes> gateways whose connections are <how> nothing runs twice and no refusal is untrue

    Examples:
      | nodes | cut                  | how     | plays |
      | 6     | 1                    | silent  | 2     |
      | 6     | all of a data centre | refused | 2     |
      | 9     | most                 | silent  | 1     |

  Scenario: Replicas that are silent for a second don't make a gateway pass requests on
    Then before 6 gateways no request is passed on while one replica after the other is silent for 1 second

  Scenario: Gateways that are all cut off don't pass requests to and fro
    Then before 6 gateways that are all cut off a request is passed on to each other one once at most, and refused as not run

  Scenario: What is passed on says nothing of the caller's key
    When a caller's request with a key is read and encoded to be passed on
    Then neither the key nor its digest is in the message

  Scenario Outline: A gateway declines what it can't serve better: <reason>
    Then a gateway declines a request that was passed on to it if <reason>

    Examples:
      | reason                                        |
      | it has an older configuration                 |
      | it is cut off as well                         |
      | it doesn't know the account                   |

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

  Scenario: Attempts that reach no replica use nothing of the retry budget
    Then 1 of 6 gateways whose new connections are refused uses nothing of the retry budget

  Scenario: A gateway whose connections are refused takes no replica for crashed
    Then 1 of 6 gateways whose new connections are refused takes no replica for crashed

  Scenario Outline: A leader that is cut off gives up the authority, unless no gateway reaches the replicas: <cut> of 6 cut off
    Then when the leader and <cut> of 6 gateways are cut off the authority is <whose> within 5 seconds

    Examples:
      | cut    | whose           |
      | no     | another's       |
      | all    | somebody's      |
