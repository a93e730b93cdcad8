Feature: A request that is given up does not reach its replica later

  Scenario Outline: A connection that is given up delivers its request once a link is back: <how>
    Given a replica that has accepted a connection and reads nothing
    When a request of 6 megabytes is sent to it and <how>
    Then the replica finds its connection reset, and not a request that ended

    Examples:
      | how                        |
      | the connection is spoilt   |
      | its caller leaves          |

  Scenario: A connection that is not needed any more is closed in order
    Given a replica that has accepted a connection and reads nothing
    When the idle connection to it is closed
    Then the replica finds the end of its connection, and no reset
