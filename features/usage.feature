Feature: The usage of each window is reported once, in the same words for ever

  One gateway at a time totals what all of them have counted and reports it.
  Windows are of 5 s and their reports are due 10 s after their end.

  Scenario: A request is counted for no account, or twice
    Given a store and two replicas of the service "app"
    And three engines that read prompts and one that generates
    And the platform's own API
    And a gateway that reports usage in windows of 1 s
    When callers of two accounts send 30 calls and 6 streams
    Then the reports of all windows add up to what replicas began for each account

  Scenario Outline: A report without an answer is sent again with other counts: <fault>
    Given a store and two replicas of the service "app"
    And the platform's own API, which <fault>
    And a gateway that reports usage in windows of 1 s
    When callers of two accounts send 30 calls and 0 streams
    Then the reports of all windows add up to what replicas began for each account
    And no window was reported with different counts

    Examples:
      | fault                                        |
      | answers none of its next 3 calls in time     |
      | refuses all calls for 1 s                    |

  Scenario Outline: Usage is lost or contradicted: <nodes> gateways, <trouble>
    Then in each of <plays> plays of <nodes> gateways with <trouble> all usage is reported once, and at most <missed> windows are missed or off

    Examples:
      | nodes | trouble                                     | plays | missed |
      | 6     | nothing wrong                               | 3     | 0      |
      | 40    | nothing wrong                               | 1     | 0      |
      | 6     | clocks up to 0.1 s apart                    | 2     | 0      |
      | 6     | a leader that is killed every 8 s           | 4     | 1      |
      | 40    | a leader that is killed every 8 s           | 1     | 1      |
      | 9     | gateways that start again every 3 s         | 3     | 0      |
      | 6     | a leader that is cut off from the store     | 4     | 1      |
      | 6     | a store that is silent for 4 s              | 4     | 1      |
      | 6     | an API that is silent for 4 s               | 3     | 0      |
      | 6     | an API that carries calls out late          | 4     | 0      |
      | 9     | a leader cut off and calls carried out late | 4     | 1      |

  Scenario: A successor that reads the counts anew reports other totals
    Given a window whose total another gateway has recorded
    When a gateway that counts more becomes the leader
    Then it reports the recorded total

  # Each attempt read the store first, also for a total that was known.
  Scenario: A report without an answer waits for the store before it is sent again
    Given a leader whose report of a window had no answer
    When the store falls silent while its authority lasts
    Then the window is reported all the same

  Scenario: A gateway whose token was refused goes on reporting with it
    Given a platform that has seen a higher token
    When a gateway reports 4 windows with its own
    Then the platform was called once, until the token is higher

  Scenario: Counts of many accounts or of a clock that jumps fill the memory
    Then counts of 20 jumps of the clock and 30000 accounts stay within 4 windows of 20000 accounts
