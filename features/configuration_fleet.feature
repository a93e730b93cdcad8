@promise-9
Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Two operators race through different nodes
    Given a configured fleet of 3 nodes
    When 2 operators alter the same kind at once, 10 times over
    Then exactly one of each race wins and the other sees the difference
    When 2 operators alter different kinds at once, 10 times over
    Then all changes of the races win
    And every configured node is level, and no revision ever went back

  Scenario: The answer to an append is lost
    Given a configured fleet of 3 nodes
    When the log loses the answers to 2 changes and no node can read it
    Then a change is on the log 3 times, is accepted and counts once
    And every configured node is level, and no revision ever went back

  Scenario: The log goes down just after it took a change
    Given a configured fleet of 3 nodes whose log can be cut off
    When the log is cut off from all nodes but the first
    And a change is accepted by the first node and the log goes down for all
    Then every configured node is level, and no revision ever went back
    And every configured node is still ready
    When a new node starts while the log is down
    Then it is ready with the last change, which it got from its peers

  Scenario: A node that is cut off from the log and all peers is not ready
    Given a configured fleet of 3 nodes whose log can be cut off
    When the last node is cut off from the log and all of its peers freeze
    Then the last node is not ready any more
    When the last node sleeps while its peers accept a change
    Then the last node does not become ready within seconds
    When the peers go on
    Then the last node is not ready before it has that change
    And every configured node is level, and no revision ever went back

  Scenario: A node that starts without the log and without peers waits
    Given a configured fleet of 2 nodes whose log can be cut off
    When all nodes are killed and the log goes down for all
    And the first node is started again
    Then the first node does not become ready within seconds
    When the log is there again
    Then every configured node is level, and no revision ever went back

  Scenario: All nodes are replaced while the log forgets
    Given a configured fleet of 3 nodes on a log that keeps 4 seconds
    When the log has forgotten the first change
    And every configured node is restarted in turn
    Then every configured node is level, and no revision ever went back
    When the log has forgotten all that was there
    And all configured nodes are killed and started again
    Then every configured node is level, and no revision ever went back

  Scenario: A node sleeps for longer than the log remembers
    Given a configured fleet of 3 nodes on a log that keeps 4 seconds
    When the last node sleeps until changes made meanwhile are forgotten
    Then the last node is not ready before it has that change
    And every configured node is level, and no revision ever went back

  Scenario: A starting node reads from the newest snapshot
    Given a log with 2500 changes and a node that has published a snapshot
    When the node that reads from the log alone is started again
    Then it has the last of the changes, having applied fewer than 1200

  Scenario: A node that is slow to open its ports says first that it has started
    A node seemed to go back to revision 0 after a restart: its node-started
    came after the first of the changes that it applied, since it read the log
    before it had opened its ports. So the lines of two starts could not be
    told apart.

    Given a log with 30 changes and a node that has started twice, slow to open its ports
    Then each of its starts was logged before what it applied
