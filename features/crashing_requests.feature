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

  Scenario Outline: A crash counts for the request that caused it though another suspect ran beside it: seed <seed>
    Then in the play of seed <seed> 2 requests that crash replicas crash at most 3 each before 6 gateways with gateways that are killed

    Examples:
      | seed |
      | 6    |
      | 21   |

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

  Scenario: Crashes known by several nodes add up in whatever order they are exchanged
    Then 200 shuffled exchanges of 3 crashes with 20 requests each, some doubled, give the same verdicts

  Scenario: A request in quarantine is tried once after it, and then for longer
    Given a request that has crashed 3 replicas
    Then it is in quarantine for 600 seconds
    And it may then run as a canary though other nodes still send of its crashes
    And one more crash puts it into quarantine for 2400 seconds

  Scenario: A request that ran to its end is suspected no more on any node
    Given a request that has crashed 2 replicas
    When it runs to its end on another node
    Then it is sent like any other

  Scenario: An attacker that makes up requests does not fill the memory
    When 1000 replicas crash, each with 500 requests of its own
    Then at most 256 crashes with 128 requests each are remembered

  Scenario: News of canaries die down among nodes that pass them on
    When 6 nodes that pass on all that is new to them run 20 canaries to their ends
    Then no message is left after 400 of them, and no canary is left

  Scenario Outline: An interruption that is no crash makes nobody a suspect: <event>
    Given a node with requests that were interrupted at a replica
    When <event>
    Then nobody is suspected

    Examples:
      | event                                     |
      | the replica answers the next question     |
      | the replica had said that it leaves       |
      | nothing is known of the replica for 10 s  |

  Scenario Outline: An interruption by a crash makes its requests suspects: <event>
    Given a node with requests that were interrupted at a replica
    When <event>
    Then its requests are suspected

    Examples:
      | event                                     |
      | nothing listens at the replica's address  |
      | the replica says that it has just started |
      | the replica's entry goes                  |

  Scenario: The same seed gives the same course in virtual time
    Then two plays of one seed with 6 gateways and 2 requests that crash replicas end alike

  Scenario: A stream that a crash interrupts long after its begin goes on elsewhere
    Then in each of 16 plays 12 long streams that may be resumed are whole though a replica is killed after 3 seconds

  Scenario: A failure that a replica has answered reaches a caller whose repeat is held
    Given a call that one replica answers with 500 while another node runs it as a canary
    Then its caller gets the 500 at once
