Feature: Examples and the language's page are right

  Scenario Outline: The example of a deployment is valid
    When the example "<deployment>" is checked
    Then it has <engines> engines, <plain> plain replicas and <centres> data centres

    Examples:
      | deployment  | engines | plain | centres |
      | ramp-towage | 6       | 3     | 3       |
      | bimah       | 6       | 4     | 4       |

  Scenario: The language's page agrees with the grammar and the objects
    Then each example on the language's page parses
    And each word of the grammar stands on the language's page
    And the language's page has the tables that the code prints
