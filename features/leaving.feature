@promise-7
Feature: A leaving endpoint gets no new work after a few seconds

  However it leaves: it says so, the platform's list of VMs says so, or it
  only falls silent. Callers go on to get their whole answers.

  Background:
    Given a fleet of 3 nodes, 2 engines and 2 plain services behind proxies

  Scenario Outline: Endpoints that <how> get no new work
    When endpoint "lm-1" <how>
    And endpoint "app-1" <how>
    Then within 10 seconds no node sends new work to "lm-1"
    And within 10 seconds no node sends new work to "app-1"
    And callers of each node get whole answers, none from "lm-1" or "app-1"

    Examples:
      | how                             |
      | says that it leaves             |
      | is leaving in the list of VMs   |
      | is gone from the list of VMs    |
      | is frozen                       |
      | answers no load polls           |
      | is behind connections that hang |

  Scenario: An endpoint that one node cannot reach gets work from the others
    When endpoint "app-1" is cut off from node "entry-1" only
    Then within 10 seconds node "entry-1" sends no new work to "app-1"
    And callers of node "entry-1" get whole answers, none from "app-1"
    And calls through node "entry-2" still reach "app-1"

  Scenario: An endpoint whose open connections went silent is not blamed
    When the open connections to endpoint "app-1" go silent for good
    And the open connections to endpoint "lm-1" go silent for good
    Then callers of each node get whole answers
    And endpoint "app-1" is open at each node
    And endpoint "lm-1" is open at each node

  Scenario: An endpoint that thaws gets work again
    When endpoint "app-1" is frozen
    Then within 10 seconds no node sends new work to "app-1"
    When endpoint "app-1" thaws
    Then endpoint "app-1" is open at each node
    And calls through node "entry-1" still reach "app-1"

  Scenario: An endpoint that is stopped ends what it runs, seen by its caller
    Given calls take 1 second
    When endpoint "app-1" is stopped in the middle of a call
    Then that call's caller gets the whole answer
    And within 10 seconds no node sends new work to "app-1"
