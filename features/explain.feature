Feature: What became of requests is read from the logs alone

  Background:
    Given the logs of two nodes, one after the other, with a line cut short

  Scenario: Requests are counted by route and cause
    When the logs are explained
    Then of "tags" 2 were "complete" with 0.2 s of reading and 0.1 s of generating
    And of "tags" 1 was "refused: the engines have too much to read"
    And of "tags" 1 was "refused: no engine generates"
    And of "tags" 1 was "its caller left while its prompt was read"
    And of "bookings" 1 was "undetermined: a replica broke off"
    And it is said that 1 line could not be read

  Scenario: The course shows refusals beside the split of engines
    When the logs are explained
    Then from second 0 on 3 were asked for with 2 readers and 1 generator
    And from second 2 on 3 were asked for with 1 reader and 1 generator after 1 order
    And the course is drawn
