Feature: Sequences of events in which a tenure must or must not begin

  # A gateway took a store that has returned from an old copy for one that never had a tenure.
  Scenario: The store returns from a copy without any tenure
    Given 2 gateways that started with the whole system, one of which acts
    When the one that acts is cut off and the store returns without members and tenures
    Then no gateway acts until the permission of the one that acted has ended

  # Each change of the group began the wait for a silent holder anew.
  Scenario: Members join and leave again and again after the holder has died
    Given 2 gateways that started with the whole system, one of which acts
    When the one that acts dies and another member joins and leaves every 2 s
    Then another gateway acts within 20 s

  # The wait for a silent holder went on over a tenure that it began meanwhile.
  Scenario: A silent holder is back for a moment while another member waits for its end
    Given 2 gateways that started with the whole system, one of which acts
    When the one that acts is cut off, members come and go for 13 s, and it is back for 0.2 s
    Then no two gateways act by turns, and tokens never go down

  # A claim went on with the tenure of a copy, as its own read was the first to see the drill.
  Scenario: The store returns from a copy as a successor reads the last tenure
    Given 2 gateways that started with the whole system, one of which acts
    When the one that acts is cut off and the store returns with an ended tenure as the other reads
    Then no gateway acts until the permission of the one that acted has ended

  # Each process has its own address; a refused connection tells that it has ended.
  Scenario Outline: A successor asks at an address where <what>
    Given an address where <what>
    When a gateway asks whether the tenure of its holder has ended
    Then it takes it for <taken>

    Examples:
      | what                       | taken     |
      | nothing listens            | over      |
      | another incarnation runs   | over      |
      | somebody gives no answer   | not over  |
