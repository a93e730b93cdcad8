Feature: Hundreds of gateways know what each other does, at a cost that does not grow

  The peers' part of each gateway runs unchanged, all in one process under
  virtual time; one datagram in forty is lost unless it says otherwise. Told
  by everyone, each of 195 nodes sent 150 datagrams a second and heard of a
  prompt after 1.3 s.

  Scenario Outline: The cost of a node is the same however many there are: <nodes> nodes
    Given <nodes> gateways in <data_centres> data centres that have run for 3 seconds
    When 280 prompts a second are placed anywhere for 5 seconds
    Then each node sent at most 60 datagrams and 24000 bytes a second

    Examples:
      | nodes | data_centres |
      | 48    | 3            |
      | 195   | 5            |
      | 390   | 6            |

  Scenario Outline: What a node has sent is known to all within two tenths of a second: <nodes> nodes
    Given <nodes> gateways in <data_centres> data centres that have run for 3 seconds, and no datagram is lost
    When a node sends a prompt of 0.5 seconds to an engine
    Then 1.0 of the nodes know of it after 0.2 seconds
    And all of them know that it is done 0.2 seconds after that

    Examples:
      | nodes | data_centres |
      | 6     | 3            |
      | 195   | 5            |
      | 390   | 6            |

  Scenario Outline: One lost datagram in forty delays that for a second at the most: <nodes> nodes
    Given <nodes> gateways in <data_centres> data centres that have run for 3 seconds
    When a node sends a prompt of 0.5 seconds to an engine
    Then 0.8 of the nodes know of it after 0.5 seconds
    And all of them know of it after 2 seconds
    And all of them know that it is done 2.5 seconds after that

    Examples:
      | nodes | data_centres |
      | 6     | 3            |
      | 195   | 5            |
      | 390   | 6            |

  Scenario: Each data centre has one relay
    Given 195 gateways in 5 data centres that have run for 3 seconds
    Then each data centre has one relay
    And each node counts 195 nodes

  Scenario: Stronger VMs relay
    Given 40 gateways in 1 data centres of which 3 have four times the power of the others
    Then one of the 3 is first in at least 5 of 20 data centres, and the weakest share the rest

  Scenario: The relay and the one that stands by are killed at the same moment
    Given 195 gateways in 5 data centres that have run for 3 seconds
    When the first two nodes of each data centre are killed
    Then no node follows a dead one after 1.5 seconds
    And each data centre has one relay after 4 seconds
    And what a node sends is known to all others

  Scenario: All nodes lose power, and entries of dead nodes rank first
    Given 195 gateways in 5 data centres that have run for 3 seconds
    And the first two nodes of each data centre are killed
    When all nodes lose power and start again
    Then at most 5 nodes a data centre relay after 1 seconds
    And each data centre has one relay after 5 seconds
    And what a node sends is known to all others

  Scenario: A data centre is cut off and comes back
    Given 195 gateways in 5 data centres that have run for 3 seconds
    When the first data centre is cut off for 5 seconds
    Then each data centre has one relay
    And what a node of it sends is known to all others

  Scenario: A relay freezes and wakes
    Given 195 gateways in 5 data centres that have run for 3 seconds
    When the relays freeze for 4 seconds
    Then no node followed them after 1 seconds
    And each data centre has one relay after 10 seconds

  Scenario: A node that starts later takes part
    Given 195 gateways in 5 data centres that have run for 3 seconds
    When 40 more start
    Then each data centre has one relay after 5 seconds
    And each node counts 235 nodes
    And what a node sends is known to all others

  Scenario: Dead nodes are forgotten, and those that are only not heard are not
    Given 48 gateways in 3 data centres that have run for 3 seconds
    And the first two nodes of each data centre are killed
    When 40 seconds pass
    Then the entries of the dead are gone, and each node still knows 41 others or more
    When the first two nodes of each data centre are killed
    Then no node follows a dead one after 1.5 seconds
    And each data centre has one relay after 3 seconds

  Scenario: A handful of nodes grows past the mesh
    Given 12 gateways in 3 data centres that have run for 3 seconds
    When 9 more start
    Then each data centre has one relay after 5 seconds
    And each node counts 21 nodes

  Scenario: An engine's closing reaches all nodes at once
    Given 195 gateways in 5 data centres that have run for 3 seconds, and no datagram is lost
    When a relay closes an engine that all know
    Then all nodes have closed it after 0.1 seconds

  Scenario: Records may come in any order and from anybody
    Given a registry that took in 200 records of 20 keys in the log's order
    When others take them in in 50 other orders, some of them twice
    Then all have the same digest and the same values

  Scenario: A node that is told reads for itself once what it knows is old or differs
    Given a bound of 4 seconds
    Then what is 1.9 seconds old is trusted, and what is 2.1 seconds old is not
    And a digest that differs is trusted for 0.7 seconds and not for 0.9

  Scenario: Two relays that have both lost the store do not make each other look fresh
    Given two relays that know the same and read no more
    When they tell each other for 10 seconds, each time 5 ms on the way
    Then each knows that what it knows is at least 9.9 seconds old

  Scenario: A relay that failed to read goes by the newest records, whatever others tell it
    Given a relay to which the store answers that it has forgotten what it asks for
    When another relay that knows the same tells it so all the while
    Then it asks for the newest records before it has asked 4 times for others

  Scenario: A newer configuration is read from the store at once, and asked of a relay where that fails
    Given a node that follows a relay and has the version 3
    When the relay tells of the version 7
    Then it reads the configuration, and has asked no node for it
    When that read has failed
    Then it asks the relay for the configuration

  Scenario: Only frames under a shared key are taken, and keys change without a stop
    Given a node with the keys "new, old"
    Then it takes frames sealed with "new" and with "old"
    And it takes none that is unsealed, of another key, changed or of another version
