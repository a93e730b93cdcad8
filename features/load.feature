Feature: The load tool judges every answer

  Scenario: The same seed draws the same requests, and the mix swings
    Then two draws of the load tool with seed 7 are the same
    And its mix has more output tokens in the second half than in the first

  Scenario: An answer with one wrong, missing or repeated token is noticed
    Then the load tool calls each of these answers by its name

  Scenario: A load through two nodes is answered right
    Given two nodes before two engines and two plain services
    When the load tool sends 20 requests a second for 3 seconds
    Then it finds every answer right
