Feature: No window of usage is reported with other counts after a drill of the store

  In a drill the store returns from a copy that is some seconds old. Windows that were
  reported in these seconds have no total in the store any more.

  # Only gateways that had seen the store before the drill knew that totals may be missing.
  Scenario: A leader that starts after a drill totals a window anew
    Given a window that was reported just before a drill
    When a gateway that starts after the drill leads for 12 s
    Then no window is reported with other counts

  # The time of the drill has to be known to those that start later.
  Scenario: Windows are missed long after a drill
    Given a window that was reported just before a drill
    When a gateway that starts after the drill leads for 12 s
    And another gateway starts 6 s later and leads for 12 s
    Then all windows that have closed since the first one's start are reported
    And no window is reported with other counts
