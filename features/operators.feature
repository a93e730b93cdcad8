Feature: Operators steer by gypsumfoldctl

  Scenario: Files are planned, applied, changed, raced and queried
    Given a control fleet of 2 nodes
    When the operator runs "plan" on a file with 2 kinds
    Then it ends with 3 and prints "create kind"
    When the operator runs "apply" on a file with 2 kinds
    Then it ends with 0 and prints "is in force at revision"
    When the operator runs "apply" on a file with 2 kinds
    Then it ends with 0 and prints "no difference"
    When the operator runs "apply --prune" on a file with 1 kinds
    Then it ends with 0 and prints "drop kind"
    When the operator runs "show kinds where urgency < 3 --format csv"
    Then it ends with 0 and prints "kind-0,web,0"
    When the operator runs "show services --format json"
    Then it ends with 0 and prints JSON rows with "name" of "web"
    When the operator runs "state"
    Then it ends with 0 and prints "entry-1"
    When the operator runs "run 'drop service'"
    Then it ends with 7 and prints "line 1, column 13"
    When the operator runs "run 'drop service "web";'"
    Then it ends with 4 and prints "needs service"

  Scenario: A plan that was overtaken changes nothing and shows the difference
    Given a control fleet of 1 nodes
    When the operator runs "apply" on a file with 1 kinds
    And another operator alters the kind between plan and apply
    Then it ends with 4 and prints "7 in force"

  Scenario: The next node is asked when one is gone, and exit codes are true
    Given a control fleet of 2 nodes
    When the first node is killed under the operator's hands
    And the operator runs "apply" on a file with 1 kinds
    Then it ends with 0 and prints "is in force at revision"
    When the log refuses all appends
    And the operator runs "run 'drop kind "kind-0";'"
    Then it ends with 5 and prints "LogDown"
    When the operator's token is wrong
    And the operator runs "show kinds"
    Then it ends with 8 and prints "Unauthorized"
