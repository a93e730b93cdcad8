Feature: A replica whose removal the store has deleted gets no more work

  The store may delete the history of a topic at any time and keeps the newest record of each
  key, so that a read of all keys may be the first to lack a replica that has left.

  # Only replicas whose entry was older than the newest one that was left counted as gone.
  Scenario Outline: A full read of the topic drops who has left: <what>
    Given a gateway that has read the entries of app-1 at offset 5 and of app-2 at offset 6
    When it reads all keys up to offset <end> where <what>
    Then it uses <used>

    Examples:
      | what                                | end | used             |
      | app-2, the last to write, has left  | 8   | app-1            |
      | app-1 has left                      | 8   | app-2            |
      | both have left                      | 9   | nobody           |
      | nobody has left                     | 7   | app-1 and app-2  |
      | a relay has read app-2 later        | 6   | app-1 and app-2  |

  Scenario: All gateways drop a replica that was the last to write as the history went
    Then in each of 5 plays none of 6 gateways in 3 data centres uses a replica that left just before the history went
