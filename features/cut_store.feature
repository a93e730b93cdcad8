Feature: A cut answer of the store or the operations API is taken for no whole one

  The clients of both use another HTTP library than the client of replicas. A cut page
  must not look like an empty or short one, as a gateway would drop what it lacks.

  Scenario Outline: A cut answer of the store gives an error: <name>, <framing>, <ends>
    When the store's answers in <framing> to <name> are <ends> after each byte
    Then each gives its whole result or an error, and no write comes twice

    Examples:
      | name   | framing  | ends   |
      | newest | unframed | closed |
      | newest | length   | reset  |
      | read   | unframed | closed |
      | read   | chunks   | closed |
      | put at | unframed | closed |
      | put at | length   | reset  |
      | put    | chunks   | closed |
      | join   | unframed | closed |
      | leave  | length   | closed |

  Scenario Outline: A cut answer of the operations API is no acceptance: <framing>, <ends>
    When the operations API's answers in <framing> are <ends> after each byte
    Then a report counts as accepted only after a whole head, and comes once

    Examples:
      | framing  | ends   |
      | length   | closed |
      | unframed | reset  |
