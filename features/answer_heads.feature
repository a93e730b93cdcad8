Feature: A head whose status isn't one of HTTP is no answer

  A replica in trouble may send any three digits.

  # Statuses from 600 on were passed on as the replica's answer.
  Scenario Outline: A status of <status> is passed on to nobody: <call>
    When a replica answers <call> with status <status>
    Then the answer has been broken off
    And nothing of what it says of its replica is heeded

    Examples:
      | call           | status |
      | a plain call   | 000    |
      | a plain call   | 099    |
      | a plain call   | 101    |
      | a plain call   | 600    |
      | a plain call   | 999    |
      | a stream       | 000    |
      | a stream       | 600    |
      | a prefill      | 999    |
      | a keyed call   | 600    |

  Scenario Outline: A status of <status> is an answer
    When a replica answers a plain call with status <status>
    Then the answer is whole

    Examples:
      | status |
      | 200    |
      | 404    |
      | 599    |
