Feature: The stand-ins behave as docs/PROTOCOLS.md says

  Background:
    Given a stand-in platform

  Scenario: The log stand-in loses an answer after the append took effect
    When the next append's answer is lost
    Then the log stand-in holds the record all the same

  Scenario: The log stand-in has a rate, an outage and a retention
    Then a stand-in log with 5 appends a second refuses some of 20 at once
    And a stand-in log in an outage answers 503 and appends nothing
    And a stand-in log that keeps 2 records forgets the first of 3

  Scenario: The engine stand-in streams the computed answer and resumes it
    Given a stand-in engine
    When a dispatch is streamed from the engine stand-in
    Then its tokens are those of the pure function
    And reading on from index 3 gives the rest of the same stream
    And a dispatch with 4 prior tokens gives the rest of the answer

  Scenario: The engine stand-in's stream faults strike once each
    Given a stand-in engine
    Then each stream fault of the engine stand-in shows in one stream

  Scenario: The engine stand-in refuses a stale token, or obeys it
    Given a stand-in engine
    And a stand-in engine that checks no tokens
    Then an order with an old token is refused by the first engine stand-in
    And it is carried out by the second, and recorded as stale

  Scenario: The engine stand-in moves a KV cache to another engine
    Given a stand-in engine
    And a stand-in engine that checks no tokens
    Then a prompt run on the first is decoded by the second without prefill

  Scenario: The plain stand-in counts executions
    Given a stand-in plain service
    When a call is made whose answer is dropped
    Then the plain stand-in has run it once

  Scenario: The fault proxy cuts, delays, silences, swallows and holds
    Given a stand-in plain service
    And a fault proxy before it
    Then a swallowed answer leaves one execution behind the proxy
    And a held request runs when released, though its sender has gone
    And a silenced connection stays silent while a new one works
    And a cut proxy refuses and a healed one works

  Scenario: A leaving endpoint stand-in ends what runs
    Given a stand-in plain service
    When it is asked to stop during a call of 1 second
    Then the call ends whole, and the process after it

  Scenario: The demo shows the whole path and stops all that it started
    Then the demo ends with exit code 0 and a table of what ran
