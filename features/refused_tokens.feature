Feature: A refused token is not repeated, and a leader that still is one goes on

  The platform answers 409 to a token below one that it has seen, and while it has no
  replicas to give. A holder keeps its token for its whole tenure.

  # A holder was silent for the rest of its tenure once a report was refused.
  Scenario: Usage stays unreported for a whole tenure after its token was refused
    Given a platform that has seen a token above the holder's by 4
    When the holder reports usage for 60 s
    Then all windows of that time are reported, and no refused token comes again

  # A shortage of replicas ended all orders for the service for the rest of the tenure.
  Scenario: A service is left without replicas as an order was refused in a shortage
    Given a leader of 30 replicas, 20 of which are lost
    When the platform has no replicas to give for 20 s
    Then the leader orders replicas again once there are some, with a higher token
    And in the shortage it had at most 12 orders refused
