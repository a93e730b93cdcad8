Feature: Streams that are taken up after all gateways were killed at once

  What gateways remember of streams is gone then. A stream goes on where all that
  may still live began at one software version, and is refused at once where they
  may have begun at several; it is never joined from two.

  Scenario Outline: No stream is joined from two versions: <versions>, back after <dark> s, callers <how>
    Then in each of 1 plays with <versions> and all gateways killed for <dark> s, callers that <how> have streams of one version

    Examples:
      | versions                          | dark | how                  |
      | one version                       | 0.5  | name their attempt   |
      | one version                       | 2.7  | name no attempt      |
      | a second version that has come    | 0.5  | name their attempt   |
      | a second version that has come    | 2.7  | name no attempt      |
      | a release halfway                 | 0.5  | name their attempt   |
      | a release halfway                 | 0.5  | name no attempt      |
      | an old version that has just gone | 0.5  | name their attempt   |
      | an old version that has just gone | 0.5  | name no attempt      |
      | an old version that goes meanwhile | 2.7 | name their attempt   |
      | an old version that goes meanwhile | 2.7 | name no attempt      |

  # For 30 s after such a kill nobody knew for how long there had been one version.
  Scenario Outline: Streams of a service with one version go on after such a kill: <nodes> gateways, back after <dark> s, callers <how>
    Then in each of 2 plays of <nodes> gateways with one version, all killed for <dark> s, callers that <how> take up streams at least half as often as new ones begin

    Examples:
      | nodes | dark | how                |
      | 6     | 0.5  | name their attempt |
      | 6     | 2.7  | name their attempt |
      | 6     | 0.5  | name no attempt    |
      | 6     | 2.7  | name no attempt    |
      | 20    | 0.5  | name their attempt |

  # A caller that names no attempt was joined to the version that was there alone.
  Scenario Outline: A stream whose caller names no attempt goes on at a sole version only: <what>
    Given a service with "v1" for 60 seconds where <what>
    Then a stream whose caller names no attempt <goes on>

    Examples:
      | what                                         | goes on       |
      | nothing changes                              | goes on at v1 |
      | "v2" registers too                           | is refused    |
      | "v2" replaced it a moment ago                | is refused    |
      | "v2" has come and gone a moment ago          | is refused    |
      | the registrations are 3 seconds old          | is refused    |

  Scenario Outline: A gateway that starts alone takes over only what is still so: <what>
    When a gateway stores that "lm" has had "v1" for <age> s and one starts where <what>
    Then it knows one version for at least <known> s

    Examples:
      | what                                  | age | known |
      | nothing has changed                   | 60  | 55    |
      | nothing has changed                   | 4   | 0     |
      | "v2" is registered too                | 60  | 0     |
      | "v2" has come and gone meanwhile      | 60  | 0     |
      | the store has returned from a copy    | 60  | 0     |
      | the record can't be read              | 60  | 0     |
      | the record is of the future           | 60  | 0     |

  Scenario: A gateway that starts writes nothing before it has read what is stored
    When a gateway starts while the store is away for 5 s and "lm" has had "v1" for 60 s
    Then the store still says so 10 s later

  Scenario: A node that has started with the whole system knows that no stream began before
    Then a stream that nobody remembers goes on at a service of one version from its start

  Scenario Outline: Real gateways: all are killed at once and callers take streams up: <versions>, callers <how>
    Given two gateways before engines of <versions>
    When callers that <how> read the begins of 8 streams and all gateways are killed and start again
    Then the streams <end>

    Examples:
      | versions     | how                | end                                    |
      | one version  | name their attempt | go on to their end                     |
      | one version  | name no attempt    | go on to their end                     |
      | two versions | name their attempt | are refused at once, and none is mixed |
      | two versions | name no attempt    | are refused at once, and none is mixed |
