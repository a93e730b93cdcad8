Feature: A few gateways read the store and tell the others

  Eight gateways run as processes in two data centres and report to relays;
  each reaches the store through a fault proxy of its own. A replica that
  leaves and a new configuration must be known to every gateway that runs,
  whichever of them is killed, frozen, cut off from the store or refused.

  Background:
    Given a store and two replicas of the service "app"
    And eight gateways in two data centres, one of each the relay of all others

  Scenario: Gateways that follow a relay leave the store alone
    When the store refuses all but the relays, until these called it 30 times
    Then none of the others has noticed

  Scenario: A gateway that is cut off from the store is told
    Given two gateways that follow are cut off from the store
    When "app-1" is marked as leaving and a new configuration comes
    Then all running gateways know both

  Scenario Outline: A relay is <fault> when a replica leaves and a configuration comes
    Given the relays are <fault>
    When "app-1" is marked as leaving and a new configuration comes
    Then all running gateways that reach the store know both

    Examples:
      | fault                      |
      | killed                     |
      | frozen                     |
      | cut off from the store     |
      | partitioned from the store |

  Scenario: A relay that is cut off from the store is told by that of another data centre
    Given the relay of the first data centre is cut off from the store
    When "app-1" is marked as leaving and a new configuration comes
    Then all running gateways know both
    And those that follow it have not read the store in doubt

  Scenario: A relay and the one that would follow it are frozen together
    Given the relays are frozen
    And the relays that took over are frozen too
    When "app-1" is marked as leaving and a new configuration comes
    Then all running gateways know both

  Scenario: A relay that wakes tells nothing that is old
    Given the relays are frozen
    And "app-1" is marked as leaving and a new configuration comes
    And all running gateways know both
    When the frozen gateways wake and relay again
    Then all running gateways know both
    And callers of each gateway get no answer from "app-1"

  Scenario: A relay whose connections to the store fall silent
    Given the relays' open connections to the store fall silent
    When "app-1" is marked as leaving and a new configuration comes
    Then all running gateways know both

  Scenario: The store forgets its history while a relay is dead
    Given the relays are killed
    And the store forgets all but the newest record of each key
    When "app-1" is marked as leaving and a new configuration comes
    Then all running gateways know both

  Scenario: What the store has forgotten is found though all relays have missed it
    Given no gateway reaches the store
    When "app-1" is marked as leaving and a new configuration comes
    And the store forgets all but the newest record of each key
    And all gateways reach the store again
    Then all running gateways know both

  Scenario: A gateway that misses a change and cannot read the store asks for all
    Given the relay of the first data centre is cut off from the store
    And no other gateway hears it or is heard by it while "app-1" is marked as leaving
    When they hear each other again
    Then all running gateways know both

  Scenario: A gateway that starts among many serves, and takes part
    When another gateway starts in the first data centre
    And "app-1" is marked as leaving and a new configuration comes
    Then all running gateways know both
