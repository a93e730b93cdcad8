Feature: An order does not arrive after the permission for it has ended

  Engines that take any token would carry out a former holder's order after the next one's.

  # The permission was confirmed before the connection was open.
  Scenario Outline: An order is sent though its permission ended meanwhile: <trouble>
    Given an engine that takes orders
    When a node with a permission for 0.6 s gives an order while <trouble> for 0.8 s
    Then the order is not sent, for want of authority
    And the connection that was opened for it takes the next order

    Examples:
      | trouble                                 |
      | its connection opens                    |
      | the node is frozen with it open         |

  # The kernel resends for 5 s by itself, and an orderly close lets it go on.
  Scenario Outline: A link holds an order up until its permission has ended: the node <state>
    Given a node with a connection to an engine, over a link that is cut then
    When it gives an order with a permission for 0.6 s and <state> at once
    And the link is back after the permission has ended
    Then the order does not arrive any more

    Examples:
      | state     |
      | runs on   |
      | is frozen |
      | is killed |

  # The next incarnation at a node's address ends its tenure at once.
  Scenario: The kernel sends the order of a node that was killed
    Given a node with a connection to an engine, over a link that is cut then
    When it gives an order with a permission for 30 s and is killed at once
    And the link is back
    Then the order does not arrive any more

  # The event loop's clock stands still while a machine is suspended.
  Scenario: An order waits on in a machine that was suspended
    Given an engine that does not answer orders
    When a node with a permission for 30 s gives an order and is suspended for 60 s
    Then the order fails with an unknown result within 2 s
    And the engine sees a reset

  # Nothing bounded the wait by the permission.
  Scenario: An order without an answer outlasts its permission
    Given an engine that does not answer orders
    When a node with a permission for 0.6 s gives an order
    Then the order fails with an unknown result within 2 s
    And the engine sees a reset

  # A busy event loop must not keep what was confirmed.
  Scenario: An order leaves after its permission ended, as the event loop is busy
    Given an engine that takes orders
    When a node with a permission for 0.6 s gives an order before its event loop is busy for 0.8 s
    Then the order has arrived while it was permitted

  # The node kept what the socket didn't take, and sent it whenever that had room.
  Scenario: An order waits in its node behind a request that the engine does not read
    Given an engine that answers a request without reading it
    When a node with a permission for 30 s gives an order after a request of 16 MB
    Then the order fails as not sent, and the engine sees a reset before it

  # The pool would have kept a connection on which the order may arrive later.
  Scenario: A connection is kept although an answered order still waits on it
    Given an engine that answers an order before the link lets it through
    When a node with a permission for 30 s gives an order over that link, which is back then
    Then the order is taken as answered, and does not arrive any more

  # Limits of an order would have reset later requests on its connection.
  Scenario: A connection keeps the limits of an order
    Given an engine that takes orders
    When a node with a permission for 30 s gives an order
    Then its connection is closed in order and may wait 5000 ms for an acknowledgement

  # Connections are expensive for engines.
  Scenario: An order opens a connection although one is idle
    Given an engine that takes orders
    When a node with a permission for 30 s gives an order after a request
    Then the order has taken the connection that was open

  # The planner's task ended, and the engine stayed closed.
  Scenario Outline: A planner's authority ends before its order is sent: <moment>
    Given a planner whose authority ends <moment>
    When it orders an engine
    Then it goes on, and the engine is open again
    And it may order the engine again within 0.5 s

    Examples:
      | moment                         |
      | before it may act              |
      | as the connection is open      |

  # The planner compared the end of its authority with another clock.
  Scenario: A planner plans on after its machine was suspended
    Given a planner whose authority ended while its machine was suspended
    When it checks its services
    Then it has dropped its plans
