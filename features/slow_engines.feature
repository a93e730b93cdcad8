Feature: Engines that are slow for a moment get fewer prompts

  Scenario Outline: All gateways know of a slow spell: <nodes> gateways, seed <seed>
    Given <nodes> gateways with 12 engines that prefill, shared speed and no moves
    When 2 of the engines take 5 times as long for 3 seconds
    Then 9 in 10 gateways know of each within 0.5 seconds of its first prompt

    Examples:
      | nodes | seed |
      | 6     | 1    |
      | 40    | 2    |
      | 120   | 3    |

  Scenario Outline: Prompts are taken back from an engine that <trouble>
    Given 8 gateways with 6 engines that prefill, shared speed and moves
    When 1 of the engines takes 20 times as long and <trouble>
    Then prompts are moved away from it, each once, within the retry budget
    And every request with two attempts is answered and no refusal is false

    Examples:
      | trouble    | seed |
      | stays      | 4    |
      | is leaving | 5    |

  Scenario Outline: Only what differs from the other engines is slow: <case>
    Given a gateway whose prompts take <own> times as long at 6 engines
    And another gateway that reports <reported> times at <engines> of them
    Then <slow> engines are slow

    Examples:
      | case                       | own         | reported | engines | slow |
      | one engine is              | 4,1,1,1,1,1 | 1        | 0       | 1    |
      | the gateway itself is      | 4,4,4,4,4,4 | 1        | 0       | 0    |
      | another gateway says so    | 1,1,1,1,1,1 | 4        | 1       | 1    |
      | a load that all share      | 1,1,1,1,1,1 | 4        | 6       | 0    |

  Scenario: A spell is known before the first answer and forgotten soon
    Given a gateway that has sent a prompt to an engine that holds it
    Then the engine is slow 0.3 seconds later, before it answers
    And 0.3 seconds after usual answers, or 1 without any, it is not
    And the report of a gateway that was killed counts for 0.6 seconds

  Scenario: Without the setting reports take the same bytes as before
    Given a report without slow engines
    Then its loads have six kinds on the wire, and with a slow engine ten

  Scenario: No engine is left while some are known to be slow
    Given a gateway with 0 engines that prefill and one that it knows as slow
    Then it chooses no engine for a prompt

  Scenario Outline: A prompt no longer counts as waiting: <end>
    Given a gateway with 1 engines that prefill and one that it knows as slow
    When a prefill ends with <end>
    Then no prompt counts as waiting

    Examples:
      | end            |
      | RuntimeError   |
      | CancelledError |
      | AnswerBroken   |
      | TimeoutError   |

  Scenario Outline: A prompt is moved only where it gains: <case>
    Given a gateway with 2 engines that prefill and one that it knows as slow
    And a prompt of a route with <objective> s that waits there, for callers that stay <stay> s
    When late prompts of <late> s wait at the other engine and the prompt is checked
    Then it is moved <moves> times

    Examples:
      | case                               | objective | stay | late | moves |
      | on time elsewhere                  | 3.0       | 8    | 4.0  | 1     |
      | deferred behind no prompts         | 0.1       | 8    | 0.0  | 1     |
      | deferred behind late prompts       | 0.1       | 8    | 2.0  | 0     |
      | refused elsewhere as hopeless      | 0.1       | 0.5  | 0.0  | 0     |

  Scenario Outline: No other engine is looked for in vain: <obstacle>
    Given a gateway with 2 engines that prefill and one that it knows as slow
    And a prompt of a route with 3.0 s that waits there, for callers that stay 8 s
    When the prompt is checked although <obstacle>
    Then <count> engines are looked for

    Examples:
      | obstacle                           | count |
      | nothing is against it              | 1     |
      | it is about to complete            | 0     |
      | the retry budget is used up        | 0     |
      | only a loan of the budget is left  | 0     |
      | the request is suspected           | 0     |

  Scenario: The baseline of a gateway isn't computed for each prompt
    Given a gateway whose prompts take 4,1,1,1,1,1 times as long at 6 engines
    When it sends and checks 100 prompts within 0.1 seconds
    Then it computes its baseline at most 6 times

  Scenario Outline: After a move there is no third prefill: <trouble>
    Given a gateway with 5 engines that prefill and one that it knows as slow
    When a prompt is moved and the second engine <trouble>
    Then 2 prefills were sent and the decode engine got the prompt without a cache

    Examples:
      | trouble                     |
      | refuses it                  |
      | restarts after its prefill  |

  Scenario: Gateways that learn of a slow engine at once choose different others
    Given 60 gateways that know the preferred one of 6 engines as slow
    Then none of them chooses it, and no other is chosen by more than 20
