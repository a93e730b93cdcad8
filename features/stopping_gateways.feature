Feature: A gateway that stops answers each request that it has passed on

  When a stopping gateway takes its last request depends on the time of the signal alone.
  What it has read whole by then is answered, and what can't end in time is refused before
  a replica gets it.

  # A stop waited for its calls to the store before it closed its callers' connections,
  # and ended with requests that it had passed on in the meantime.
  Scenario Outline: No call on a kept connection runs without an answer: <outage>
    Given two gateways that callers keep connections to, and calls of 2.2 s
    When the first gateway is told to stop while <outage>
    And callers send calls that may run once on their kept connections until it has ended
    Then none of these calls has run without an answer
    And each refusal among the answers is true
    And the first gateway has ended by itself

    Examples:
      | outage                                         |
      | nothing is wrong                               |
      | the store is silent                            |
      | the store falls silent after 0.05 s            |
      | the store falls silent after 1 s               |
      | each byte of the store is 0.35 s late          |
      | the store is cut off                           |
      | the store is killed                            |
      | the other gateway is frozen                    |
      | the store is silent and the other gateway frozen |
      | the store is silent and it is told so again    |
      | the store is silent and its settings change    |
      | the store has been silent since its start      |

  # What was received behind a request in progress was dropped with its connection.
  Scenario Outline: A call that was received before the stop's last request is answered: <how>
    Given two gateways that callers keep connections to, and calls of 1.5 s
    When the first gateway is told to stop while nothing is wrong
    And callers send, 2 s later, <how>
    Then none of these calls has run without an answer
    And each of these calls has an answer
    And each refusal among the answers is true

    Examples:
      | how                                              |
      | two calls at once                                |
      | a call, and another one behind it 0.3 s later    |
      | a call whose body comes in pieces over 0.4 s     |

  Scenario: A call whose body is still coming when the last request is taken is refused
    Given two gateways that callers keep connections to, and calls of 0.2 s
    When the first gateway is told to stop while nothing is wrong
    And callers send, 2 s later, a call whose body comes in pieces over 2 s
    Then each of these calls has an answer
    And each of these calls was refused before it was passed on

  Scenario: A call that can't end before the process does gets its final answer in time
    Given two gateways that callers keep connections to, and calls of 9 s
    When the first gateway is told to stop while nothing is wrong
    And callers send, 1 s later, a call
    Then each of these calls has an answer
    And the first gateway has ended by itself

  Scenario: Calls that usually take longer than is left are refused before they are passed on
    Given two gateways that callers keep connections to, and calls of 3.5 s
    And the first gateway has served such calls
    When the first gateway is told to stop while nothing is wrong
    And callers send, 2.2 s later, a call
    Then each of these calls has an answer
    And each of these calls was refused before it was passed on
