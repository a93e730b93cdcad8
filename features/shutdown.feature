@promise-8
Feature: A planned stop of a node is a graceful shutdown

  Readiness fails first, requests that still come during the balancer's
  notice time are served, and whatever is in progress ends whole.

  Background:
    Given a fleet to stop nodes of, with slow answers

  Scenario: Readiness fails first and requests that still come are served
    When node "entry-1" is told to stop, with requests in progress
    Then node "entry-1" is not ready but serves new requests whole
    And these answers close their connections
    And node "entry-2" sees that node "entry-1" is stopping

  Scenario: Requests in progress end whole while nothing new is taken
    Given an idle kept-alive connection to node "entry-1"
    When node "entry-1" is told to stop, with requests in progress
    Then node "entry-1" refuses connections while its stream goes on
    And the kept-alive connection ends without a reset, before the stream
    And all requests in progress end whole
    And node "entry-1" ends by itself with exit code 0
    And no endpoint saw a cancelled or repeated dispatch

  Scenario: A request that never ends is given up at the limit
    Given the engine is stuck
    When node "entry-2" is told to stop, with requests in progress
    Then node "entry-2" logs that it gave a request up
    And each request given up got a final answer with a time to return
    And node "entry-2" ends by itself with exit code 0

  Scenario: Each node in turn is replaced under load, seen by callers
    When callers load all ready nodes while each is stopped and replaced
    Then every one of their answers came whole
    And no endpoint saw a cancelled or repeated dispatch
