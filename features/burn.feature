Feature: Operators read whether objectives hold

  Scenario: Burn rates follow the workbook's rules
    Given an objective of 99.0 percent with 1 bad answer in 5 for 70 minutes
    Then the report pages for the windows 60 and 360 and tickets for 4320
    When the last 6 minutes were good
    Then the rule of 60 minutes no longer alerts

  Scenario: A repeated append does not count twice
    Then hypothesis finds no repeats or orders that change the burn report

  Scenario: The report survives the loss of every node
    Given a burn fleet with an objective of 0.5 for urgency 5
    When 6 briefings are answered and 2 fail
    And every node is stopped and new ones are started
    Then the burn report of a new node counts 6 good and 2 bad
    And gypsumfold's page of it needs no other file
