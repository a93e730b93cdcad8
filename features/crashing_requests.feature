Feature: A request that crashes the replicas that run it is stopped

  Whole gateways run under virtual time before engines and plain replicas that
  run, crash and start again. A request comes again after each crash, under a
  new attempt id and at any gateway; what ran beside it is interrupted with it.

  Scenario Outline: A request that crashes replicas reaches no fourth one: <nodes> gateways, <crashing> such requests, <trouble>
    Then in each of <plays> plays <crashing> requests that crash replicas crash at most 3 each before <nodes> gateways with <trouble>

    Examples:
      | nodes | crashing | trouble                          | plays |
      | 6     | 1        | no other trouble                 | 4     |
      | 9     | 3        | no other trouble                 | 3     |
      | 6     | 5        | callers that come back at once   | 2     |
      | 6     | 2        | replicas that are killed         | 3     |
      | 6     | 2        | answers that are reset           | 2     |
      | 9     | 2        | lost datagrams                   | 2     |
      | 6     | 2        | gateways that are killed         | 2     |
      | 9     | 2        | a store that is silent           | 2     |
      | 40    | 2        | no other trouble                 | 1     |

  Scenario Outline: A request that ran beside one that crashes replicas is served: <nodes> gateways, <crashing> such requests, <trouble>
    Then in each of <plays> plays before <nodes> gateways with <trouble> none is refused for the crashes of <crashing> other requests, and no refusal is untrue

    Examples:
      | nodes | crashing | trouble                          | plays |
      | 6     | 1        | no other trouble                 | 4     |
      | 9     | 3        | no other trouble                 | 3     |
      | 6     | 5        | callers that come back at once   | 2     |
      | 6     | 2        | replicas that are killed         | 3     |
      | 40    | 2        | no other trouble                 | 1     |

  Scenario Outline: Three crashes seen by parts of a site add up within the contact bound: <trouble>
    Then in each of <plays> plays a request that crashes replicas reaches them in at most 3 attempts later than 3 seconds after its third crash, with <trouble>

    Examples:
      | trouble                          | plays |
      | gateways that do not hear others | 3     |
      | all gateways started again       | 3     |
