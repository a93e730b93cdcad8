@promise-4
Feature: Each caller gets the whole answer to its own request

  Scenario Outline: A stream that is <fault> is mended unseen by its caller
    Given answers from 2 engines through 1 node
    And the next 3 streams of each engine are <fault>
    When 12 callers ask for streamed answers at once
    Then each of the 12 answers is whole, exact and its caller's own
    And each engine ran each dispatch once

    Examples:
      | fault       |
      | truncated   |
      | reset       |
      | silent      |
      | crossed     |
      | skipped     |
      | repeated    |
      | wrong_count |
      | lost        |

  Scenario: Late events and late load reports lose nothing
    Given answers from 2 engines through 1 node
    And each engine's events are late by 0.05 seconds
    When 12 callers ask for streamed answers at once
    Then each of the 12 answers is whole, exact and its caller's own

  Scenario: An engine that is killed in mid-answer is replaced by another
    Given answers from 2 engines through 1 node
    And the engine "lm-0" crashes at token 9
    When 12 callers ask for streamed answers at once
    Then each of the 12 answers is whole, exact and its caller's own

  Scenario: What may not be repeated is not sent to a second engine
    Given answers from 2 engines through 1 node
    And the kind "order" may not be repeated
    And the engine "lm-0" crashes at token 9
    When 12 callers ask for streamed answers of kind "order" at once
    Then each answer is whole and exact or its outcome is not "not-run"
    And no prompt was dispatched twice

  Scenario: Any node resumes a stream whose node was killed
    Given answers from 2 slow engines through 2 nodes
    When a caller's node is killed after 5 events
    And the caller sends its last event's id to the other node
    Then both parts together are the whole and exact answer

  Scenario: A position of another account or of nobody is refused
    Given answers from 2 engines through 1 node
    When a caller sends "forged.7" as its last event's id
    Then it gets status 400 and the outcome "not-run"

  @promise-5
  Scenario Outline: A completion that is said not to have run has not
    Given answers from 2 slow engines through 2 nodes
    And <trouble>
    When 60 callers ask for streamed answers of kind "<kind>" at once
    Then some answers say "not-run" and no engine has a dispatch of those

    Examples:
      | trouble                                    | kind     |
      | briefings are worth nothing after a second | briefing |
      | both engines refuse all dispatches         | briefing |
      | one engine refuses, the other is frozen    | briefing |
