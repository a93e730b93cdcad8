Feature: The pages say what the code does

  Scenario Outline: The page of <page> is what the code prints
    Then docs/<file> is what "gypsumfold.catalogues <page>" prints

    Examples:
      | page    | file       |
      | events  | EVENTS.md  |
      | metrics | METRICS.md |

  Scenario: Every event and metric is used
    Then each defined event and metric is used by some module

  Scenario: Nothing of one machine stands in the repository
    Then no tracked file names a folder of one machine
