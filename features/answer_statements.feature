Feature: What a replica says of itself in any answer is heeded on every path

  Scenario Outline: A request is sent to a replica that has said that it leaves: <count> <stage>, <store>, <nodes> gateways
    Then <count> <stage> replicas that say that they leave get no request 2 seconds later from <nodes> gateways while <store> and <share> in 100 are served

    Examples:
      | count | stage   | nodes | store                     | share |
      | 1     | plain   | 2     | the store is silent       | 95    |
      | 1     | decode  | 6     | the store is silent       | 95    |
      | 1     | prefill | 2     | the store is silent       | 95    |
      | 2     | plain   | 3     | the entry says ready      | 95    |
      | 1     | decode  | 3     | the entry comes back      | 95    |
      | 1     | plain   | 2     | gateways hear nothing     | 95    |

  Scenario Outline: Other gateways use a replica that told one of them that it leaves: <nodes> gateways
    Then nobody uses a plain replica 2 seconds after it told one of <nodes> gateways that it leaves while the store is silent

    Examples:
      | nodes |
      | 6     |
      | 20    |

  Scenario: A request is sent on to a gateway whose answer says that the replica leaves
    Then a gateway that passes such an answer on for another one sends the replica nothing 2 seconds later

  Scenario: A replica that starts again under its id is used again
    Then what an earlier start of a replica said is dropped by a later start and never believed again

  Scenario Outline: Requests reach a replica that has asked for rest: <count> <stage>, <nodes> gateways
    Then <count> <stage> replicas that ask for 3 seconds of rest get nothing within it from <nodes> gateways and <share> in 100 are served

    Examples:
      | count | stage   | nodes | share |
      | 1     | plain   | 2     | 95    |
      | 1     | decode  | 6     | 95    |
      | 1     | prefill | 2     | 95    |
      | 6     | prefill | 2     | 95    |
      | 4     | plain   | 2     | 0     |
      | 4     | decode  | 3     | 0     |

  Scenario Outline: Callers wait in vain where all replicas rest: <stage>
    Then of the requests refused while all <stage> replicas rest 95 in 100 are refused within 0.1 seconds and told the end of the rest

    Examples:
      | stage  |
      | plain  |
      | decode |

  Scenario: All requests go to the replica whose rest has ended
    Then a decode engine whose rest has ended gets no more than twice the share of each other one in the next second

  Scenario: A resting engine looks idle or ill
    Then an engine that rests is neither ordered to change its role, nor probed, nor counted as failing

  Scenario Outline: A Retry-After is misread: <value>
    Then a 503 with the Retry-After "<value>" asks for <seconds> seconds of rest

    Examples:
      | value                         | seconds |
      | 3                             | 3       |
      | 0.25                          | 0.25    |
      | 0                             | 0       |
      | -1                            | 0       |
      | 3600                          | 3600    |
      | 999999999999                  | 86400   |
      | soon                          | 0       |
      | nan                           | 0       |
      | Wed, 21 Oct 2015 07:28:00 GMT | 0       |
      | in 30 seconds as a date       | 30      |

  Scenario Outline: Only a refusal asks for rest: <status>
    Then an answer with status <status> and a Retry-After of 3 asks for <seconds> seconds of rest

    Examples:
      | status | seconds |
      | 503    | 3       |
      | 429    | 0       |
      | 200    | 0       |

  Scenario: A connection is lost for a request that was withheld
    Then a request that is withheld once its connection is open leaves the connection to the next one
