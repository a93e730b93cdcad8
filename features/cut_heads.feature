Feature: An answer that ends early, also inside its head, never looks complete

  A real gateway before replicas whose answers end at chosen bytes. Each cut answer is
  followed by a sound request on the same connection of the caller. Operators of other
  systems saw a replica stop inside its answer's head, and a success without a body.

  # A second run's output came behind that of the first one; within the first
  # one's length both together looked complete.
  Scenario Outline: A generation that may be repeated is not repeated behind its first output: <content>
    Given a gateway before replicas that cut their answers
    When answers of <content> on the routes repeats are cut after each 6th byte of their first run
    Then no answer looks more complete than it is

    Examples:
      | content |
      | events  |
      | json    |
