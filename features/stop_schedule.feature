Feature: The times of a stop depend on the signal alone

  In virtual time: steps that call other systems never return.

  # Both processes waited for such calls before they stopped listening.
  Scenario Outline: Steps that never end don't keep a <process> listening
    Given a <process> with a grace of 8 s whose releases, counts and closes never end
    When it is told to stop
    Then it stops listening <listens> s later
    And its stop ends within its grace

    Examples:
      | process | listens |
      | gateway | 2.9     |
      | node    | 2.9     |

  Scenario Outline: A request of a stopping gateway ends in time: <request>
    Given a gateway with a grace of 8 s, and requests that usually take <usual> s
    When <request> is in progress 1 s after it is told to stop
    Then the request ends with <status> <ends> s after the signal

    Examples:
      | request                           | usual | status | ends |
      | one that has been passed on       | 2     | 504    | 7.3  |
      | one that waits for its turn       | 2     | 503    | 5.3  |
      | one that waits for its turn       | 6.5   | 503    | 1    |
      | one whose answer has begun        | 2     | broken | 7.3  |
      | one that ends by itself after 3 s | 2     | whole  | 4    |
