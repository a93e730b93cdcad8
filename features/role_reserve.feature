Feature: Spare decode engines, and refusals while there is none

  Each failure is one after which the decode engines that are left must have
  room for the running streams; without the reserve they have not.

  Scenario Outline: The streams have room after a failure: <engines> engines, <failure>
    Given <engines> engines in 4 data centres, <spares> spares and data centres that may be lost: <survive>
    And streams that fill <streams> engines while prompts wait
    When the failure is "<failure>"
    Then decode engines with room for the streams are left all the time
    And the spares are back after 30 seconds, in several data centres

    Examples:
      | engines | spares | survive | streams | failure                    |
      | 15      | 1      | no      | 0.3     | a crash                    |
      | 45      | 2      | no      | 0.5     | crashes of 2               |
      | 45      | 0      | yes     | 1.0     | a lost data centre         |
      | 90      | 1      | yes     | 3.0     | a lost data centre         |
      | 45      | 1      | no      | 0.5     | an order carried out late  |
      | 45      | 1      | no      | 0.5     | an order never carried out |
      | 45      | 1      | no      | 0.5     | a leader that is replaced  |
      | 45      | 1      | yes     | 0.5     | a release                  |

  Scenario Outline: A service with enough engines keeps spares: <engines> engines, prompts wait: <wait>
    Given <engines> engines in 4 data centres, 2 spares and data centres that may be lost: no
    And streams that fill 0.3 engines, and prompts wait: <wait>
    When the split is planned for 90 seconds
    Then there are <kept> spares

    Examples:
      | engines | wait | kept |
      | 6       | no   | 2    |
      | 6       | yes  | 0    |
      | 15      | yes  | 1    |
      | 29      | yes  | 2    |
      | 45      | yes  | 2    |
      | 90      | yes  | 2    |

  Scenario: Spares are added although the number that is missing changes
    Given 45 engines in 4 data centres, 2 spares and data centres that may be lost: no
    And streams that fill 1.1 and 1.3 engines in turn, for 2 seconds each
    When 2 decode engines are lost for good after 60 seconds
    And the split is planned for 90 seconds
    Then there are 1 spares
    And a shortage was reported

  Scenario Outline: A spare is added if the need for it keeps coming back: <seconds> of every <period> s
    Given 45 engines in 4 data centres, 1 spares and data centres that may be lost: no
    And streams that fill 0.7 engines for <seconds> of every <period> seconds from second 60, else 0.5
    When the split is planned for 90 seconds
    Then there are <kept> spares

    Examples:
      | seconds | period | kept |
      | 4.5     | 6.5    | 2    |
      | 4.0     | 8.0    | 1    |

  Scenario: Spreading does not make a plan slow
    When 4 of 2900 engines are picked with and without spreading
    Then spreading takes at most 5 times as long

  Scenario: A number of spares out of bounds is refused
    Then settings with 0 or 64 spares are valid, with -1, 65 or 5000 not

  Scenario: Spares add no role changes to a load that swings
    When a load swings for 300 seconds before 45 engines, seeds 1 to 3
    Then with 1 spare there are at most 4 more role changes of a seed, the first ones included

  Scenario Outline: A request is refused once no decode engine can be back in time: <case>
    Given the last engine was lost <lost> seconds ago and a change takes 3 seconds
    When role changes that end in "<ends>" are known to a request whose caller waits <waits> seconds
    Then it is <end>

    Examples:
      | case                     | lost | ends | waits | end                      |
      | a late order             | 2.5  |      | 2.4   | told to come back by 3.0 |
      | one that is long enough  | 2.5  |      | 4.0   | held                     |
      | before orders are known  | 1.1  |      | 3.5   | held                     |
      | a change ends in time    | 9.0  | 1.5  | 2.4   | held                     |
      | a change ends too late   | 2.5  | 2.25 | 2.4   | told to come back by 2.25 |
      | a change takes too long  | 9.0  | -2.0 | 2.4   | told to come back by 3.0 |

  Scenario Outline: A retry is taken only for an attempt that reaches an engine: <error>, for <waits> s
    Then a caller that waits <waits> s for an engine that fails with <error> takes <taken> retries, and <runs> runs end in <end>

    Examples:
      | waits | error           | taken | runs | end          |
      | 2     | AnswerBroken    | 0     | 1    | AnswerFailed |
      | 2     | EndpointRefused | 0     | 1    | Unavailable  |
      | 8     | AnswerBroken    | 1     | 2    | AnswerFailed |

  Scenario: Gateways place prompts on after the loss of a decode engine
    Given 6 gateways with a spare decode engine, of which engines change roles
    When a decode engine crashes after 40 seconds
    Then no request waits for a decode engine
