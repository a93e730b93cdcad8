@decisions
Feature: What callers receive under load, with the decisions and without

  Each pattern is played to three schedulers before six small engines: the
  plain baseline (round robin), the policy without the named part, and the
  policy. The figure is the share of callers concerned who got the whole
  answer on time; docs/design/decisions.md says how each bound was chosen.

  Scenario Outline: <pattern>: callers get their answers because of <part>
    Given the load pattern "<pattern>"
    When decisions are taken by the baseline, without <part>, and by the policy
    Then only the policy reaches a share of <bound>

    Examples:
      | pattern                                 | part      | bound |
      | a burst                                 | limits    | 0.90  |
      | a hot caller on one node                | fairness  | 0.90  |
      | a hot caller on all nodes               | fairness  | 0.80  |
      | a hot prefix                            | placement | 0.82  |
      | a slow endpoint                         | outliers  | 0.94  |
      | an endpoint that fails at once          | outliers  | 0.87  |
      | a busy engine that looks idle           | loads     | 0.95  |
      | long jobs among short ones              | limits    | 0.90  |
      | overload at twice the capacity          | admission | 0.75  |
      | an account that calls everything urgent | fairness  | 0.70  |
      | a retry storm after an outage           | limits    | 0.80  |

  Scenario: Who is given up on is told at once and when to come back
    Given the load pattern "overload at twice the capacity"
    When decisions are taken by the policy alone
    Then eight in ten of the refused were told within a quarter of their time
    And every refusal came before the deadline, with a spread of times to return
