Feature: A part of prompts that crashes the replicas that run it is stopped

  Whole gateways run under virtual time. Requests that share one part, no two of
  them alike, crash each engine that begins to answer them. Sound requests share
  their route, first part and subjects.

  Scenario Outline: Requests with a part that crashes replicas reach none after it is known: <nodes> gateways, <culprits> at <rate> a second, place <place>, <trouble>
    Then in each of <plays> plays <culprits> crashing parts at <rate> a second and place <place> are stopped before <nodes> gateways with <trouble>, and sound requests are served

    Examples:
      | nodes | culprits | rate | place | trouble                          | plays |
      | 6     | 1        | 0.3  | 1     | no other trouble                 | 1     |
      | 6     | 1        | 1.0  | 2     | no other trouble                 | 1     |
      | 6     | 1        | 3.0  | 1     | no other trouble                 | 1     |
      | 6     | 1        | 10.0 | 1     | no other trouble                 | 1     |
      | 6     | 1        | 3.0  | 0     | no other trouble                 | 1     |
      | 6     | 3        | 1.0  | 1     | no other trouble                 | 1     |
      | 6     | 1        | 3.0  | 1     | output before each crash         | 1     |
      | 9     | 1        | 3.0  | 1     | replicas that are killed         | 1     |
      | 9     | 1        | 1.0  | 1     | data centres that are lost       | 1     |
      | 9     | 1        | 3.0  | 1     | lost datagrams                   | 1     |
      | 9     | 1        | 3.0  | 1     | gateways that are killed         | 1     |
      | 9     | 1        | 3.0  | 1     | all gateways started again       | 1     |
      | 9     | 1        | 3.0  | 1     | a store that is silent           | 1     |
      | 6     | 1        | 3.0  | 1     | a pause of half a minute         | 1     |
      | 40    | 1        | 3.0  | 1     | no other trouble                 | 1     |

  Scenario Outline: No part is refused for replicas that end by themselves: <nodes> gateways, <trouble>
    Then in each of <plays> plays before <nodes> gateways with <trouble> none is refused for its parts

    Examples:
      | nodes | trouble                          | plays |
      | 6     | replicas that are killed         | 2     |
      | 9     | data centres that are lost       | 2     |
      | 9     | replicas that are killed often   | 1     |
      | 9     | all gateways started again       | 1     |

  Scenario Outline: Sound requests begin again after a crashing part that came first: <engines> decode engines of <versions> versions, <answers> answers
    Then in each of <plays> plays before <nodes> gateways with <engines> decode engines of <versions> versions and <answers> answers sound requests begin again after a crashing part that came first

    Examples:
      | nodes | engines | versions | answers     | plays |
      | 3     | 2       | 2        | short       | 4     |
      | 3     | 3       | 3        | short       | 4     |
      | 3     | 2       | 2        | long        | 3     |
      | 3     | 4       | 2        | long        | 1     |
      | 3     | 2       | 1        | interrupted | 1     |
      | 3     | 3       | 3        | interrupted | 4     |
      | 3     | 3       | 3        | often       | 4     |

  Scenario: A canary of a part that was answered ends with its replica
    Given a canary of a part that has crashed 2 replicas
    When it gives output for 2 seconds and its replica ends
    Then the part is free once it is known how the replica ended

  # Each request to a replica that had started again failed with an internal error.
  Scenario: A replica whose software version isn't known yet runs requests
    Given a canary of a part that has crashed 0 replicas
    When its replica starts again, and its version isn't known
    Then a request may run there, and its answer clears no part

  # The canary ran for ever, and requests with the same part waited for it.
  Scenario: A canary ends that the replica's rate limit keeps from being sent
    Given a canary of a part that has crashed 2 replicas
    Then it is not running after a call that finds no permit for its replica

  Scenario: A part isn't refused for two replicas that ended under it and a crash of another part
    Given a part in 1 crash that is attributed to another part
    When 2 replicas of version "v1" end under it one after the other
    Then requests with the part run as canaries

  Scenario: Replicas that end together count once for a part
    Given a part of which 5 replicas ended within a second
    Then requests with the part are not refused

  Scenario: A part that a replica answered is suspected only with other software
    Given a part that software version "v1" has answered
    When 3 replicas of version "v1" end under it one after the other
    Then requests with the part are sent like any other
    When 3 replicas of version "v2" end under it one after the other
    Then requests with the part are refused

  Scenario: A beginning shared by several crashing parts is not refused alone
    Given a beginning under which 3 parts have crashed 2 replicas each
    Then requests with the beginning run as canaries, and with such a part are refused

  Scenario: A part is refused though its beginning was answered by other software only
    Given a part that software version "v1" has answered
    When 3 replicas of version "v2" end under it and another part one after the other
    Then requests with both are refused

  Scenario: Made-up parts do not fill the memory
    When 20000 made-up parts are answered
    Then at most 8192 of them are remembered, the last ones

  Scenario: One of two nodes that reserve a suspect at once goes on
    Then of 2 nodes that reserve the same part at once 1 goes on
