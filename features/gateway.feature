Feature: A gateway passes each request on once and gives each caller its own answer

  The gateway runs as on the users' platform: configuration and replicas are
  known from the store alone, and replicas misbehave as they may there.

  Background:
    Given a store and two replicas of the service "app"
    And three engines that read prompts and one that generates
    And a ready gateway

  Scenario: Method, path, query, body and attempt id reach the replica unchanged
    When a caller posts "plan" to "/seats/a%2Fb//c;d?x=%41&y=+" with headers that only nodes may set
    Then the caller gets the whole sealed answer to its own attempt
    And the replica got the method, target, body and attempt id unchanged
    And the replica got no header that only nodes may set from the caller

  Scenario: A prompt is read by one engine and its tokens made by another
    When a caller asks "/briefs/1" for a stream with the prompt "aa:4000,bb:300"
    Then the caller gets all events of one engine in order
    And one engine read the prompt and the generating engine took its cache

  Scenario: Prompts with the same beginning are read by the same engine
    When 12 callers in turn ask "/briefs/1" with the beginning "aa:8000"
    Then one engine read all of the prompts

  Scenario Outline: An answer that is not the caller's own never reaches it: <fault>
    Given the replicas' next 1 answers are "<fault>"
    When a caller posts "hold" to "/seats/7"
    Then the caller gets <status> without a seal
    And the attempt has run once in all

    Examples:
      | fault    | status |
      | crossed  | 502    |
      | unsealed | 502    |
      | reset    | 502    |
      | halved   | 502    |

  Scenario: Bytes behind an answer do not become the next caller's answer
    Given the replicas' next 6 answers are "stray"
    When 12 callers in turn post to "/seats/7", each after the stray bytes are there
    Then each of them got the sealed answer to its own attempt

  Scenario Outline: A call that may be repeated is: <fault>
    Given the replicas' next 1 answers are "<fault>"
    When a caller gets "/lookups/7"
    Then the caller gets the whole sealed answer to its own attempt

    Examples:
      | fault    |
      | reset    |
      | crossed  |
      | unsealed |
      | halved   |
      | failing  |
      | refused  |

  Scenario: A call that no replica has run may go to another though it may run only once
    Given the replicas' next 1 answers are "refused"
    When a caller posts "hold" to "/seats/7"
    Then the caller gets the whole sealed answer to its own attempt
    And the attempt has run once in all

  Scenario: What nobody runs is refused with the time to come back
    Given the replicas' next 40 answers are "refused"
    When a caller posts "hold" to "/seats/7"
    Then the caller gets 503 with a Retry-After within a third of its time
    And the attempt has run 0 times in all

  Scenario: A prompt that was read is taken by another engine where the first cannot be reached
    Given a second engine generates
    And the first engine that generates crashes while its entry stays
    When 6 callers in turn ask "/briefs/1" with the beginning "aa:8000"
    Then each run took the cache of a prompt that was read once

  Scenario: A stream that may be resumed goes on at another engine
    Given a second engine generates
    And the next stream breaks off in the middle of an event
    When a caller asks "/swaps/1" for a stream with the prompt "aa:4000,bb:300"
    Then the caller gets all events of one engine in order
    And the stream ran on two engines

  Scenario: A stream that may be resumed goes on at the same engine where there is no other
    Given the next stream breaks off in the middle of an event
    When a caller asks "/swaps/1" for a stream with the prompt "aa:4000,bb:300"
    Then the caller gets all events of one engine in order

  Scenario: A stream that its caller has resumed is resumed again, and an event comes twice
    Given a second engine generates
    And the next stream breaks off in the middle of an event
    When a caller that has event 1 asks "/swaps/1" for the rest of a stream with the prompt "aa:4000,bb:300"
    Then the caller gets the events from 2 on, none twice

  Scenario: A stream that may not be resumed looks broken to its caller
    Given the next stream breaks off in the middle of an event
    When a caller asks "/briefs/1" for a stream with the prompt "aa:4000,bb:300"
    Then the answer is cut off
    And the attempt has run once in all

  Scenario: A request hidden in another one does not run
    When bytes with two framings and a second request inside are sent
    Then they are answered 400 and no replica ran anything

  Scenario: A final answer comes when the route's time is over
    Given each plain call takes 20 seconds
    When a caller that waits 10 seconds posts "hold" to "/seats/7"
    Then the caller gets 504 without a seal
    And the replica was told to take no longer than the route's time

  Scenario: A caller that leaves takes its run with it
    Given each plain call takes 20 seconds
    When a caller posts to "/seats/7" and leaves when it runs
    Then the replica's run ends as left

  Scenario Outline: A replica that leaves gets no more work: <how>
    When "app-1" is <how> and the gateway knows
    And 12 callers in turn post to "/seats/7"
    Then each of them got the sealed answer to its own attempt
    And "app-1" got none of them

    Examples:
      | how                |
      | marked as leaving  |
      | removed            |

  Scenario: An engine that starts again under its id holds nothing of before
    Given a caller's prompt "aa:8000,bb:300" was read at "/briefs/1"
    When the engine that read it starts again under its id and the gateway knows
    And a caller asks "/briefs/1" for a stream with the prompt "aa:8000,cc:300"
    Then the caller gets all events of one engine in order
    And the gateway had all 8300 tokens of its prompt read

  Scenario: A late entry of an engine's earlier start says nothing of it
    Given a caller's prompt "aa:8000,bb:300" was read at "/briefs/1"
    And the engine that read it starts again under its id and the gateway knows
    When a late entry of its earlier start says that it leaves, and more entries come
    And a caller asks "/briefs/1" for a stream with the prompt "aa:8000,cc:300"
    Then the caller gets all events of one engine in order
    And the same engine read its prompt

  Scenario: Entries that name no replica harm no other
    When entries come that nobody could use, between good ones
    And 12 callers in turn post to "/seats/7"
    Then each of them got the sealed answer to its own attempt
    And each unusable entry was logged once

  Scenario: An address that belongs to another replica by now runs nothing there
    Given "app-1" is registered under the address of "app-2"
    When 12 callers in turn post to "/seats/7"
    Then each of them got the sealed answer to its own attempt
    And every attempt has run once in all
    And every run was meant for the replica that ran it

  Scenario: An older configuration never replaces a newer one
    When a route "/added/" comes in a newer version and is missing in an older one after it
    Then a caller of "/added/1" is served

  Scenario: The store may be away or forget without a request noticing
    When the store is busy and then forgets its history
    And 6 callers in turn post to "/seats/7"
    Then each of them got the sealed answer to its own attempt
    And a new route is in force once the store is back

  Scenario: A gateway without a configuration says that it cannot serve yet
    Given the store is silent
    When another gateway starts
    Then it answers 503 and is not ready

  Scenario: A stop answers what was taken and closes idle connections
    Given a stream takes 4.5 seconds
    When the gateway is told to stop while a stream runs and a connection is idle
    Then the caller gets all events of one engine in order
    And the idle connection was closed while the stream still ran

  Scenario: The settings file is read again on SIGHUP, and a wrong one changes nothing
    When the settings file is spoilt and SIGHUP comes
    Then the gateway logs that the file was rejected
    And a caller posts and is served

  Scenario: A request that has crashed three replicas is refused by every gateway at once
    Given three more replicas of the service "app", all of which crash on "boom"
    And a second gateway that knows the others
    When a caller posts "boom" to "/seats/7" at both gateways by turns until three replicas have crashed
    Then both gateways refuse "boom" to "/seats/7" at once, as not run
    And both gateways pass "hold" to "/seats/7" on to a replica that is left

  # The rejection's repetition bears the attempt's id, so it was taken for the
  # answer to the attempt's next send, and the attempt was sent once more.
  Scenario: A stream does not run twice where its rejection comes a second time
    Given the engine that generates rejects the next stream and repeats that answer late
    When a caller asks "/briefs/1" for a stream with the prompt "aa:4000,bb:300"
    Then the caller gets all events of one engine in order
    And the attempt has run once in all

  # The read of all registrations ended at the entry, again and again.
  Scenario: An entry that is out of range keeps no gateway from knowing which replica leaves
    Given another writer's entry has 340282366920938463463374607431768211455 slots
    When "app-1" is marked as leaving and the gateway knows
    And 12 callers in turn post to "/seats/7"
    Then each of them got the sealed answer to its own attempt
    And "app-1" got none of them
    And a gateway that starts now gets ready
