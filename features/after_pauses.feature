Feature: A gateway that was paused gives up what has ended meanwhile

  # A reservation lapses at the others after 1.5 s, and its owner ran on it after a freeze.
  Scenario Outline: A suspected request runs twice: its gateway is <paused> for <seconds> s
    Given a request that two crashes are suspected of
    When its gateway reserves a replica and is <paused> for <seconds> s
    Then <runs> of the two gateways that want to run it may

    Examples:
      | paused    | seconds | runs |
      | frozen    | 0.0     | 1    |
      | frozen    | 1.4     | 1    |
      | frozen    | 4.0     | 1    |
      | suspended | 4.0     | 1    |

  # What lay in its socket counted from when it was read, and was taken for news.
  Scenario Outline: A gateway takes for news what it was sent before a freeze: <news>
    Given 3 gateways and a replica with a limit of 5 a second
    When one of them is frozen for 8 s just before it reads <news>
    Then it does not count from when it woke

    Examples:
      | news                          |
      | that the limit has ended      |
      | that the replica is closed    |
      | how recent a relay's copy is  |

  # A limit that nobody renews ends, and a frozen gateway doesn't hear that it is renewed.
  Scenario Outline: A gateway that wakes sends without the limit that it knew: frozen for <seconds> s
    Given 3 gateways and a replica with a limit of 5 a second
    When one of them is frozen for <seconds> s
    Then it has at most <most> permits at once as it wakes
    And it has more than 20 permits once nobody has named the limit for long

    Examples:
      | seconds | most |
      | 6       | 4    |
      | 30      | 4    |

  # All others had been silent for as long as the gateway itself was frozen.
  Scenario: A gateway that was frozen takes running gateways for dead
    Given 3 gateways of which one has died
    When the holder is frozen for 40 s before it marks the entry of the dead one
    Then it marks the entry of no gateway that runs
    And it marks the entry of the dead one later

  # Its permission is measured by one clock, and a part of it asked by the other.
  Scenario: A holder whose machine was once suspended removes entries after its end
    Given 3 gateways on machines that were once suspended for 60 s
    When the holder is cut off from all others for 5 s
    Then it does not remove the entries of others

  # A confirmed role was announced for 5 s, also after another holder had ordered another one.
  Scenario: A former holder opens an engine that another one closes
    Given 3 gateways and an engine whose role a former holder has confirmed
    When another holder closes the engine for 4 s
    Then no gateway takes it for open in the next 3 s
