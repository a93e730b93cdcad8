Feature: A gateway that is out of step joins no stream to another software version

  In virtual time. A new version comes and goes while one gateway hears nothing of it. Streams
  that have begun on it through other gateways are taken up at that one as well.

  # A view of the replicas that was up to 2 s old vouched for there being one version.
  Scenario Outline: No stream is joined from two versions: <nodes> gateways, one <how>, the version comes after <comes> s for <stays> s
    Then in each of 3 plays before <nodes> gateways of which one is <how>, a version that comes <comes> s later for <stays> s is never mixed with another

    Examples:
      | nodes | how                              | comes | stays |
      | 6     | cut off from everything but replicas | 0.0 | 0.6 |
      | 6     | cut off from everything but replicas | 0.3 | 0.8 |
      | 6     | cut off from the store           | 0.0   | 0.6   |
      | 6     | cut off from the other gateways  | 0.0   | 0.6   |
      | 12    | cut off from everything but replicas | 0.0 | 0.6 |

  Scenario Outline: A stream that nobody remembers is joined to a sole version only as of now: <what>
    Given a service with "v1" for 60 seconds where nothing changes
    When the registrations were last known 0.5 s ago and <what>
    Then a stream that nobody remembers <goes on>

    Examples:
      | what                               | goes on       |
      | a read of the store confirms them  | goes on at v1 |
      | the store doesn't answer           | is refused    |
      | a read of the store shows "v2"     | is refused    |
