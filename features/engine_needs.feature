Feature: The number of engines follows what callers need

  45 engines in 4 data centres, which serve 4 s after they were ordered. The load
  keeps 1.6 of them busy with prefill and fills 0.8 with streams; its prompts share
  prefixes of 1,500,000 tokens, and an engine caches 633,501.

  Scenario Outline: Engines are paid for nothing, or too few are left: <trouble>
    Given 45 engines whose number follows the load
    When 240 s pass with <trouble>
    Then at every moment the engines that serve were enough for the load
    And the loss of any one data centre's reclaimable engines would have left enough
    And the number needed never fell by more than a quarter in 20 s
    And no two data centres lost engines by orders within 3 s
    And at the end <least> to <most> engines serve

    Examples:
      | trouble                                               | least | most |
      | nothing wrong                                         | 8     | 16   |
      | a mix that swings for 2.8 s inside phases of 14 s     | 8     | 22   |
      | a data centre reclaimed, and none to be had for 10 s  | 8     | 22   |
      | orders that are carried out 6 s late                  | 8     | 16   |
      | a new leader each 50 s                                | 8     | 22   |
      | a new leader each 15 s                                | 45    | 70   |
      | a leader that hears few other nodes                   | 45    | 70   |
      | no traffic for the first 50 s                         | 8     | 16   |
      | none to be had in the cheapest data centre            | 8     | 22   |

  Scenario: Engines are given up in a pause of the load, and missing after it
    Given 45 engines whose number follows the load
    When 300 s pass with a mix that swings for 2.8 s inside phases of 14 s
    Then the number needed never falls within a phase, once it fits the load

  Scenario: Engines that can't be reclaimed meet a minimum that others meet
    Given 45 engines whose number follows the load
    When 240 s pass with nothing wrong
    Then a tenth of the engines needed can't be reclaimed, and no more but where none else is

  Scenario Outline: A leader orders fewer engines before it knows the load: after <start> s, <trouble>
    Given 45 engines whose number follows the load
    When <start> s pass with nothing wrong
    And a new leader finds 5 engines in the store, and <seconds> s pass with <trouble>
    Then no engine is gone

    Examples:
      | start | seconds | trouble                           |
      | 0     | 19      | nothing wrong                       |
      | 0     | 100     | a leader that hears few other nodes |
      | 100   | 19      | nothing wrong                       |
      | 100   | 100     | a leader that hears few other nodes |

  Scenario Outline: Steady engines are paid for a period, or gone before others serve: <trouble>
    Given 45 engines whose number follows the load
    When 19 s pass with <trouble>
    Then 45 engines were left at every moment, whichever data centre's were reclaimed
    And <steady> engines can't be reclaimed

    Examples:
      | trouble                                     | steady |
      | nothing wrong                               | 5      |
      | a leader that hears few other nodes         | 5      |
      | orders that are carried out 6 s late        | 5      |
      | a new leader each 2.5 s                     | 5      |
      | none to be had in the cheapest data centre  | 19     |
      | no reclaimable ones to be had anywhere      | 45     |

  Scenario: Engines are given up for others that an earlier order takes away
    Given 45 engines whose number follows the load
    When 4 reclaimable ones serve for 4 in dc-1 that an order takes away
    Then no other data centre is ordered fewer steady engines

  Scenario: The dearest data centre gives an engine up before the others have theirs
    Given 45 engines whose number follows the load
    When 300 s pass while streams fill 2 engines
    And 4 s pass while streams fill 2.3 engines
    Then no engine is gone
    And 8 s later dc-2 has one reclaimable engine fewer, and the others one more

  Scenario Outline: A data centre is ordered more engines than it may have: <needed> needed
    Given 45 engines whose number follows the load
    When <needed> engines are needed, of 3 to 10 a data centre, and one has lost its reclaimable ones
    Then each data centre is ordered 3 to 10 engines

    Examples:
      | needed |
      | 12     |
      | 28     |
      | 36     |

  Scenario: A load that nothing foretold waits for engines until the next period
    Given 45 engines whose number follows the load
    When 200 s pass with nothing wrong
    And 201 s pass with four times the load
    Then 6 s later the engines that serve are enough for it

  Scenario Outline: The first prompts find few engines, with nothing cached: after <idle> s
    Given 45 engines whose number follows the load
    When <idle> s pass without traffic
    Then <least> to 70 engines serve

    Examples:
      | idle | least |
      | 50   | 45    |
      | 400  | 4     |

  Scenario Outline: The most expensive data centre has as many as the others, or the cheapest too many: <needed>
    When <needed> reclaimable engines must be left by the loss of a data centre
    Then data centres at 0.8, 0.9, 1.0 and 1.25 get <counts>

    Examples:
      | needed | counts         |
      | 0      | 0, 0, 0, 0     |
      | 1      | 1, 1, 0, 0     |
      | 4      | 2, 2, 2, 0     |
      | 10     | 4, 4, 4, 2     |
      | 40     | 14, 14, 14, 12 |

  Scenario Outline: What no other prompt shares counts as a prefix in use: <prompts> prompts
    When <prompts> prompts share 200 prefixes of 5,000 tokens, each with a block of its own
    Then prefixes of 800,000 to 1,200,000 tokens are in use, and none 21 s later

    Examples:
      | prompts |
      | 1000    |
      | 100000  |

  Scenario Outline: A leader that others can't reach takes a part of the load for all: <nodes> gateways
    When <few> of <nodes> gateways are cut off from the others
    Then no possible leader among them knows the load of most, until all are connected

    Examples:
      | few | nodes |
      | 4   | 9     |
      | 12  | 30    |

  Scenario: An order that was refused and isn't wanted any more stops all reductions
    Given 45 engines whose number follows the load
    When an order of more engines is refused, which are not needed any more
    Then the engines count as those that were ordered after 9 s, and not after 5 s

  Scenario: An engine that has no room for any prefix ends the leader's checks
    When the engines needed are counted by engines without a cache
    Then as many are needed as prefixes have tokens, twice over

