Feature: A plain service gets a call's body only after its 100

  @promise-5
  Scenario Outline: A replica that <behaviour> has run nothing for certain
    Given a replica that <behaviour>
    When a call with a body of <size> bytes is sent to it
    Then the call is known not to have started
    And nothing of its body has reached the replica

    Examples:
      | behaviour                           | size |
      | never answers                       | 20   |
      | never answers                       | 0    |
      | closes the connection at the head   | 20   |
      | refuses with 503 instead of the 100 | 20   |
      | refuses with 503 instead of the 100 | 0    |
      | sends the 100 after the time limit  | 20   |

  @promise-6
  Scenario Outline: A replica that <behaviour> may have run the call
    Given a replica that <behaviour>
    When a call with a body of 20 bytes is sent to it
    Then the call is undetermined
    And its body has reached the replica <times>

    Examples:
      | behaviour                                  | times |
      | closes the connection after the body       | once  |
      | never answers after the body               | once  |
      | answers half                               | once  |
      | answers half without a length and closes   | once  |
      | answers half without a length and resets   | once  |
      | answers another dispatch                   | once  |
      | answers 200 instead of the 100             | never |

  @promise-6
  Scenario: A redirect is an answer and not followed
    Given a replica that answers the body with a redirect to itself
    When a call with a body of 20 bytes is sent to it
    Then the call is answered with 307
    And its body has reached the replica once

  @promise-5 @promise-6
  Scenario: A call that is no longer permitted when the 100 comes is not sent
    Given a replica that answers
    When a call is sent to it whose permission ends before the 100
    Then the call is known not to have started
    And nothing of its body has reached the replica

  @promise-6
  Scenario: A pooled connection that went silent is replaced by a new one
    Given a replica that answers
    When a call with a body of 20 bytes is sent to it
    And its open connections go silent
    And a call with a body of 21 bytes is sent to it
    Then the call is answered with 200
    And its body has reached the replica once
