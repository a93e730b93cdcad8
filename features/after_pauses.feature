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
