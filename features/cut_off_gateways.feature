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

  Scenario Outline: A gateway declines what it can't serve better: <reason>
    Then a gateway declines a request that was passed on to it if <reason>

    Examples:
      | reason                                        |
      | it has an older configuration                 |
      | it is cut off as well                         |
      | it doesn't know the account                   |

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
