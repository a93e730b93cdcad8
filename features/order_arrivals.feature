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

  # Connections are expensive for engines.
  Scenario: An order opens a connection although one is idle
    Given an engine that takes orders
    When a node with a permission for 30 s gives an order after a request
    Then the order has taken the connection that was open
