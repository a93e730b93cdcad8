Feature: Replicas that are paid by the second are ordered as the load needs them

  The platform takes reclaimable replicas back, all of a data centre at once.
  Replicas serve 4 s after they were ordered and leave within 3 s.

  Scenario Outline: Replicas are missing that the load needs, or paid for nothing: <trouble>
    Given 30 replicas in 3 data centres, of which the load keeps <busy> busy
    When 60 s pass with <trouble>
    Then after 15 s at least <least> replicas serve, and <steady> at most can't be reclaimed
    And no more than <orders> orders were given

    Examples:
      | trouble                                         | busy | least | steady | orders |
      | nothing wrong                                   | 8    | 30    | 3      | 12     |
      | the replicas of a data centre reclaimed for 20 s | 8    | 30    | 3      | 30     |
      | no reclaimable replicas to be had               | 8    | 30    | 30     | 60     |
      | orders that are carried out 6 s late            | 8    | 30    | 3      | 24     |
      | a new leader every 7 s                          | 8    | 30    | 3      | 24     |

  Scenario: Reclaimed replicas are missing until reclaimable ones can be had again
    Given 30 replicas in 3 data centres, of which the load keeps 8 busy
    When the replicas of two data centres are reclaimed for 20 s
    Then within 6 s as many replicas serve as before

  Scenario: A second data centre's replicas are reclaimed before the first one's are back
    Given 30 replicas in 3 data centres, of which the load keeps 8 busy
    When the replicas of two data centres are reclaimed 10 s apart
    Then at every moment at least 30 replicas served

  Scenario: A burst waits for replicas though it was seen coming
    Given 30 replicas in 3 data centres, of which the load keeps 8 busy
    When the load rises to keep 26 busy
    Then within 8 s as many replicas serve as it needs

  Scenario: The steady replicas leave before reclaimable ones serve in their place
    Given 30 replicas in 3 data centres, of which the load keeps 8 busy
    When 60 s pass with nothing wrong
    Then at every moment at least 30 replicas served

  Scenario: A new leader orders replicas that its predecessor has on their way
    Given 30 replicas in 3 data centres, of which the load keeps 0 busy
    When a new leader takes over while the first reclaimable replicas start
    Then no more replicas are ordered that can't be reclaimed

  Scenario: A service without cheaper replicas or without an offer is changed
    Given 30 replicas in 3 data centres, of which the load keeps 8 busy
    And reclaimable replicas cost as much as others
    When 60 s pass with nothing wrong
    Then no order was given

  Scenario: Engines get no roles until the last reclaimable replica has registered
    Given 30 replicas in 3 data centres, of which the load keeps 0 busy
    When the first reclaimable replicas serve, all but one
    Then none is awaited that would replace the first replicas

  Scenario: An order that a higher token has refused is repeated with the same token
    Given a platform that has seen a higher token for replicas
    When a leader orders replicas for 10 s
    Then it orders once for each data centre at most, until its token is higher

  Scenario: Replicas that have not registered yet are missing from the number that is kept
    Given a service of 30 replicas that register within 2.5 s of a leader's start
    When the leader orders replicas for 6 s
    Then its orders add up to 44 replicas, of which 30 remain without any one data centre

  Scenario: A new leader orders all the engines of the start again
    Given a leader that has reduced 30 replicas by what callers need
    When another leader takes over
    Then it starts with the number that the last one needed

  Scenario: A refused order of fewer engines ends all orders of a leader that has not lost its authority
    Given a platform that refuses fewer than one steady engine anywhere
    When the leader orders replicas for 90 s
    Then it orders one in each data centre once it was refused fewer
