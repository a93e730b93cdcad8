Feature: A replica that starts again under its old id holds nothing of before

  Background:
    Given a node that knows an engine started at 1000
    And state is recorded for that engine

  Scenario Outline: Recorded state outlives <word> of a later start
    When <word> of a start at 2000 comes
    Then no earlier state of the engine is left
    And the engine is used

    Examples:
      | word     |
      | an entry |
      | a report |

  Scenario Outline: <word> of the earlier start that comes late is dropped
    When an entry of a start at 2000 comes
    And <word> of a start at 1000 says that the engine reads and leaves
    Then the engine is used
    And no earlier state of the engine is left

    Examples:
      | word             |
      | an entry         |
      | a report         |
      | a peer's message |
      | a list of caches |

  Scenario: The same start said again ends nothing
    When an entry of a start at 1000 comes
    Then the state of the engine is still there

  Scenario: A kept prompt is read again where its engine has started again
    Given a request whose prompt the engine has read
    When an entry of a start at 2000 comes
    Then the request's prompt is to be read again

  Scenario Outline: A prompt that is read again takes a repeat of its own: <left> left
    Each repeat of a request takes one of the spare repeats that the site has.
    A request's prompt was read, the engine that had read it started again, and
    the engine that was to generate refused the request. The next attempt took
    one repeat and made two calls, as the prompt had to be read again: after one
    call-repeated came a second prompt-placed and a second call-placed.

    Given the site has <left> spare repeats, and another engine generates
    When a request's prompt is read, its engine starts again and the other one refuses the request
    Then the request makes at most <left> calls more than without a failure
    And it is <end>

    Examples:
      | left | end          |
      | 0    | not answered |
      | 1    | answered     |
      | 2    | answered     |

  Scenario: A late entry of before is dropped although the replica was gone
    When an entry of a start at 2000 comes
    And the engine's entry goes
    And an entry of a start at 1000 comes
    Then the engine is not known
