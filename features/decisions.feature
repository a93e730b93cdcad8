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

  Scenario: A mix that swings within half a minute is not followed
    Given six engines before a mix that swings every 30 seconds
    When the roles are static, follow every swing, and are planned
    Then planned roles serve at least 0.95 of what static ones do
    And roles that follow every swing serve less than 0.90 of it

  Scenario: A mix that stays for minutes is followed
    Given six engines before a mix that swings every 120 seconds
    When the roles are static, follow every swing, and are planned
    Then planned roles serve at least 1.04 of what static ones do
    And they take at most two thirds of the changes of following every swing

  Scenario: The declared weight of a change buys fewer changes
    Given six engines before a mix that swings every 120 seconds
    When the roles are planned with a weight of 0, 10 and 100
    Then each higher weight makes fewer changes, the highest none

  Scenario: No role changes against a report older than the swing
    Given six engines before a mix that swings every 120 seconds
    When every report is from before the swing, or an engine is changing
    Then no change is planned, though one is with fresh reports

  Scenario: A retry budget bounds what an outage adds
    Given an outage in which each of 1000 attempts fails
    When retries are unlimited and when they are budgeted
    Then unlimited retries double the attempts and budgeted ones add a tenth
