Feature: A call to the platform's operations API arrives before its permission ends, or never

  What counts is when a call arrives, not when it was sent. A call whose permission has
  ended is not sent, and one without an answer by then is reset.

  # The permission was confirmed before the connection was opened.
  Scenario: A call is sent though its permission ended while it connected
    Given a platform that accepts no connection for 0.8 s
    When a usage report is sent with a permission of 0.5 s
    Then nothing of it arrives

  # The connection was closed in order, so that the kernel delivered what it still held.
  Scenario Outline: A report arrives after its gateway has given it up: it <trouble>
    Given a platform that reads nothing at first
    When a usage report of 30 kB is sent with a permission of 20 s, and its gateway <trouble>
    And the platform reads all that comes
    Then not all of the report arrives, and its connection is reset

    Examples:
      | trouble    |
      | cancels it |
      | is killed  |

  # Neither a call's limit nor the kernel's followed from its permission.
  Scenario Outline: A report arrives after its permission has ended: its gateway <trouble>
    Given a platform that reads nothing at first
    When a usage report of 30 kB is sent with a permission of 1 s, and its gateway <trouble>
    And the platform reads all that comes once the permission has ended
    Then not all of the report arrives, and its connection is reset

    Examples:
      | trouble        |
      | gets no answer |
      | is frozen      |

  # The kernel counts its limit only from the first retransmission after a probe.
  Scenario Outline: A link holds a report up beyond its permission of <seconds> s: its gateway <state>
    Given a platform over a link that is cut as a report is sent, and a gateway that <state>
    When the link is back after the permission of <seconds> s has ended
    Then the report does not arrive any more

    Examples:
      | state     | seconds |
      | runs on   | 0.8     |
      | is frozen | 0.8     |
      | is frozen | 1.2     |
      | is killed | 0.8     |

  # The kernel's limit begins anew with each part that a slow platform takes.
  Scenario: A report is delivered bit by bit beyond its permission while its gateway is frozen
    Given a platform that reads nothing at first
    When a usage report of 30 kB is sent with a permission of 1 s, and its gateway is frozen for 3 s
    And the platform reads at most 20 kB a second
    Then not all of the report arrives, and its connection is reset

  # The HTTP library followed a redirect and sent the report again, without a check.
  Scenario: A report is sent a second time below the check of its permission
    Given a platform that redirects reports to another address
    When a usage report is sent with a permission of 2 s
    Then nothing of it arrives at the other address

  # The limit of a call was measured by a clock that stands still in a suspension.
  Scenario: A call goes on after its machine was suspended beyond its permission
    Given a platform that reads nothing at first
    When the machine is suspended for 60 s while a usage report waits for its answer
    Then the call has ended a moment later

  # The end of a tenure waits for calls that may still arrive, which all failures counted as.
  Scenario Outline: It isn't told apart whether a failed call may still arrive: the platform <answer>
    When a report is sent to a platform that <answer>
    Then it fails with <error>

    Examples:
      | answer         | error                 |
      | can't be found | OperationsUnreachable |
      | answers 503    | OperationsFailed      |
      | answers 307    | OperationsFailed      |
      | hangs up       | OperationsUnavailable |

  # A leader was determined with a clock that stands still in a suspension.
  Scenario Outline: A <duty> goes by an authority that ended in a suspension
    When the <duty> of a gateway checks what is due after a suspension beyond its authority
    Then it keeps nothing that only a leader knows

    Examples:
      | duty           |
      | usage reporter |
      | scaler         |
