Feature: The claims on the log let one attempt of a key run at the most

  @promise-5 @promise-6
  Scenario: No interleaving of three nodes runs a claimed key twice
    When claims of three nodes interleave in 2000 runs
    Then no claimed key ran twice and none ran that was said not to have

  @promise-6
  Scenario: A key is judged by its own age
    Given claims kept for 1000 seconds
    Then a key claimed 901 seconds after it was made is void
    And a key claimed 11 seconds before it was made is void
    And a key claimed 899 seconds after it was made may run

  @promise-6
  Scenario: What the log dropped unread cannot be claimed again
    Given claims kept for 1000 seconds
    And the log dropped records before they were read at 500 seconds
    Then a key of second 509 is void and one of 511 may run

  @promise-6
  Scenario: Memory follows the window of the claims
    Given claims kept for 1000 seconds
    When 5000 keys are claimed over 5000 seconds
    Then at the most 1001 keys are in memory

  @promise-6
  Scenario: A claim that arrives after its release does not hold the key
    Given claims kept for 1000 seconds
    When the release of a claim is read before the claim and after it
    Then the key is free for the next claim
