Feature: Operators' statements are parsed, checked and printed

  Scenario: Every statement parses to itself again when printed
    Then any statement survives being printed and parsed

  Scenario: Any text gets statements or a typed error
    Then any text is parsed or refused with a statement error

  Scenario Outline: A wrong statement is named with its place
    When the statement <text> is parsed
    Then it is refused at line <line>, column <column>, expecting <expected>

    Examples:
      | text                                    | line | column | expected    |
      | create servic "a";                      | 1    | 8      | service     |
      | create service "a" set protocl = "x";   | 1    | 24     | protocol    |
      | drain "a";                              | 1    | 7      | 'endpoint'  |
      | show kinds where urgency;               | 1    | 25     | a comparison|
      | order endpoint "a" role idle;           | 1    | 25     | prefill     |
      | drop service "a" drain                  | 1    | 18     | ';'         |

  Scenario: Any settings text gets settings or a typed error
    Then any settings text is parsed or refused with a settings error
