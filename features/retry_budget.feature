Feature: All gateways together keep to the site's retry budget

  What counts is what arrives at replicas beyond the first of each request, over
  all gateways. Whole gateways run under virtual time before replicas that reject
  nine in ten requests.

  Scenario Outline: Arrivals beyond the first of their requests exceed the budget: <trouble>, <nodes> gateways at <rate> requests a second
    Then replicas of <nodes> gateways at <rate> requests a second get no more retries than the budget allows while <trouble>

    Examples: Gateways that reach some replicas only
      | nodes | rate | trouble                                        |
      | 9     | 130  | nothing else happens                           |
      | 9     | 130  | 9 gateways reach half of the replicas          |
      | 9     | 130  | 3 gateways reach either half by turns          |
      | 9     | 130  | 9 gateways reach either half by turns          |
      | 20    | 130  | 20 gateways reach other replicas by turns      |

    Examples: Restarts within a window
      | nodes | rate | trouble                                        |
      | 9     | 30   | all gateways start again 2 times, 2.4 s apart  |
      | 9     | 30   | all gateways start again 8 times, 1.0 s apart  |
      | 20    | 130  | all gateways start again 4 times, 2.4 s apart  |
      | 20    | 130  | all gateways start again 8 times, 1.0 s apart  |
      | 9     | 130  | single gateways start again 0.4 s apart        |

    Examples: Both, and a burst that ends
      | nodes | rate | trouble                                        |
      | 9     | 60   | a burst ends and gateways start again          |
      | 9     | 130  | links are cut and gateways start again         |

  Scenario Outline: Retries are refused while the budget is left unused: callers reach <spread> of <nodes> gateways at <rate> requests a second
    Then with <nodes> gateways of which callers reach <spread> at <rate> requests a second at least half of the budget is used

    Examples:
      | nodes | spread | rate |
      | 9     | 9      | 130  |
      | 9     | 1      | 20   |
      | 20    | 2      | 20   |
      | 40    | 2      | 20   |
