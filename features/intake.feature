Feature: Who has to go when a process holds too much for its callers

  Refusing whoever comes next would lock ordinary callers out with the crowd
  that holds the room.

  Scenario Outline: <who> goes first for want of memory
    Given a connection "crowd" in state "<state>" that holds <held> KiB for <age> s
    And a connection "caller" in state "BODY" that holds 512 KiB for 0.1 s
    Then "<who>" has to go for want of memory

    Examples:
      | who    | state     | held | age |
      | crowd  | BODY      | 1024 | 5   |
      | crowd  | HEAD      | 60   | 60  |
      | crowd  | ANSWERING | 2048 | 9   |
      | crowd  | IDLE      | 16   | 90  |
      | caller | SERVING   | 9000 | 90  |
      | caller | ANSWERING | 9000 | 0   |
      | caller | BODY      | 16   | 5   |

  Scenario: Nothing is freed of requests that were read whole
    Given a connection "crowd" in state "SERVING" that holds 9000 KiB for 90 s
    Then nobody has to go for want of memory

  Scenario: Descriptors are given back in order
    Given a connection "served" in state "SERVING" that holds 16 KiB for 90 s
    And a connection "stalled" in state "ANSWERING" that holds 16 KiB for 80 s
    And a used connection "idle" in state "IDLE" that holds 16 KiB for 70 s
    And a used connection "unfinished" in state "HEAD" that holds 16 KiB for 1 s
    And a connection "silent" in state "IDLE" that holds 16 KiB for 3 s
    And a connection "new" in state "HEAD" that holds 16 KiB for 0.1 s
    And a connection "answered" in state "DRAINING" that holds 16 KiB for 0.2 s
    Then "answered, silent, new, unfinished, idle, stalled" give back descriptors in turn

  Scenario: Only unfinished requests give back descriptors together
    Given a connection "silent" in state "IDLE" that holds 16 KiB for 3 s
    And a connection "new" in state "IDLE" that holds 16 KiB for 1 s
    And a used connection "idle" in state "IDLE" that holds 16 KiB for 70 s
    Then "silent, new" give back descriptors at once

  Scenario Outline: A connection in state <state> after <age> s
    Given a connection "one" in state "<state>" that holds 16 KiB for <age> s
    Then with a head limit of 3 s and an idle limit of 15 s it is overdue: "<reason>"

    Examples:
      | state     | age  | reason        |
      | HEAD      | 2.9  |               |
      | HEAD      | 3.6  | head-too-slow |
      | IDLE      | 14.9 |               |
      | IDLE      | 15.6 | idle          |
      | BODY      | 999  |               |
      | SERVING   | 999  |               |
      | ANSWERING | 999  |               |
      | DRAINING  | 2.6  | not-drained   |

  Scenario Outline: A request of <held> KiB where <total> of 1000 KiB are held
    Then a request of <held> KiB "<verdict>" where <total> of 1000 KiB are held

    Examples:
      | held | total | verdict |
      | 900  | 1000  | stays   |
      | 900  | 1001  | goes    |
      | 40   | 1200  | stays   |
      | 40   | 1300  | goes    |

  Scenario: A body of the largest size always fits
    Then a VM of 100 MB has room for a body of 64 MiB, twice

  Scenario: Slices of connections are parsed in rotation and for a bounded time
    Given connections with 4000, 4000 and 1 slices that take 0.3 ms each
    Then the one with 1 slice is done in the first turn of the event loop
    And no turn takes as long as the slices of one connection
