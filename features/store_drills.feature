Feature: A store that comes back from an older copy is followed as before

  In a drill the store is away for a moment and lacks what was written in the last seconds.
  What operators and replicas wrote is written again; offsets are given out again. Whole
  gateways run under virtual time before such a store.

  Scenario Outline: Gateways go by positions of a log that is gone: <nodes> gateways, <lost> s lost, <away> s away, <trouble>
    Then no change is late at <nodes> gateways after the store has lost <lost> seconds and was away for <away>, with <trouble>

    Examples:
      | nodes | lost | away | trouble                       |
      | 6     | 10   | 1.0  | nothing else                  |
      | 9     | 5    | 0.5  | nothing else                  |
      | 9     | 20   | 0.2  | nothing else                  |
      | 9     | 5    | 0.5  | a second drill 4 s later      |
      | 9     | 5    | 0.5  | entries written again in 2 s  |
      | 9     | 5    | 0.5  | all gateways starting again   |
      | 9     | 5    | 0.5  | a third of them cut off       |
      | 40    | 5    | 0.5  | nothing else                  |
      | 40    | 5    | 0.5  | relays that are killed        |

  Scenario: All gateways read everything at once after a drill
    Then after a drill 40 gateways make no more than 8 calls each in the next 5 seconds

  Scenario: A replica that had left returns from the copy
    Then a replica that was gone before a drill is not used again when a copy brings its entry back

  Scenario: A fencing token is given out twice
    Then the tokens of those who may give orders rise over 2 drills, and no two at once have any

  Scenario: A total is reported twice with other counts
    Then a window that was reported before a drill is not reported with other counts by the next leader

  Scenario: What gateways wrote is lost for good
    Then after a drill the entries of 6 gateways and their suspected requests are in the store again within 8 seconds

  Scenario Outline: The era of the store is misread: <value>
    Then after era 3 an answer whose Store-Era is "<value>" counts as era <era>

    Examples:
      | value   | era |
      | 4       | 4   |
      | 3       | 3   |
      | missing | 3   |
      | soon    | 3   |
      | -1      | 3   |
      | 1e9     | 3   |
      | 9999999 | 3   |

  Scenario: An answer of an earlier era is taken for the newest
    Then an answer of era 2 that comes after one of era 3 is discarded, and a read, a write and a token of era 2 are void

  Scenario: Two eras seem equal
    Then equal copies and ends of an earlier or later era confirm nothing to a gateway that reads

  Scenario: A replica whose entry is gone stays, as a later one at its address answers a probe
    Then a replica whose entry lapses is dropped in time though a report from its address names a later start
