Feature: What is known of a stream's origin is bounded, and unknown streams go on nowhere

  A stream's origin, service and software version, is kept under the account and the
  id of the attempt that began it.

  Scenario: A stream whose id was used twice goes on nowhere
    When two streams of one id begin at "v1" and "v2"
    Then no version fits the stream

  Scenario: A stream whose id was used twice is announced once for each use
    When two streams of one id begin at "v1" and "v2" and each has 50 events
    Then 2 announcements were made

  Scenario: A stream that begins before other gateways are known is announced to them
    When a stream begins while no other gateway is known and one is known later
    Then the other gateway is sent its origin

  Scenario: An account can't take up a stream of another account
    When a stream of the account "north" begins at "v1"
    Then the account "south" finds no origin under its id

  Scenario: Made-up streams don't fill the memory
    When 250000 streams begin within a second
    Then at most 100000 origins are remembered

  Scenario Outline: An origin is remembered while its stream may be taken up: <what>
    When a stream begins and <seconds> seconds pass while <what>
    Then its origin is <known>

    Examples:
      | what                  | seconds | known  |
      | nothing happens       | 29      | known  |
      | nothing happens       | 61      | forgotten |
      | the stream is running | 300     | known  |

  Scenario Outline: A stream that nobody remembers is joined to a sole version only: <what>
    Given a service with "v1" for 60 seconds where <what>
    Then a stream that nobody remembers <goes on>

    Examples:
      | what                                         | goes on      |
      | nothing changes                              | goes on at v1 |
      | its replica registers again                  | goes on at v1 |
      | "v2" registers too                           | is refused   |
      | "v2" replaced it a moment ago                | is refused   |
      | "v2" has come and gone a moment ago          | is refused   |
      | all replicas were gone for a moment          | is refused   |
      | a replica started again under its id         | is refused   |
      | the registrations are 3 seconds old          | is refused   |
      | the route led to another service a moment ago | is refused  |

  Scenario: Made-up ids don't load other gateways
    When a caller takes up 1000 made-up streams in a second
    Then the other gateways are asked at most 150 times each

  Scenario: A relay that waits for a dead relay is not taken for silent
    Given a gateway that asks its relay, which asks a relay without power
    When it asks for a stream that nobody knows and then for one that its relay keeps
    Then it is told what began the second one

  Scenario Outline: A stream goes on at the service that began it: <what>
    Given a route that is split between "lm" and "lm-2"
    When a stream of "lm-2" is taken up by 20 attempts and <what>
    Then all of them <end>

    Examples:
      | what                              | end                          |
      | the route stays                   | are tied to "lm-2" and "v1" |
      | the route leads to "lm" only      | are refused as not run       |

  Scenario: A request that is tied to a version does not crash the last engine of it
    Then a request that crashes engines and is tied to one of 3 of a version leaves one of them
