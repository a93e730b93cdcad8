Feature: An answer that comes a second time is taken for no other request's

  A replica may answer a request twice, the second time where the answer to the
  next request on the connection is due.

  Scenario Outline: A late second answer is not taken for the next one: <first>, then <then>
    Given a replica whose answer to <first> comes a second time
    When a node sends it <first> and then <then>
    Then the second one has <result>

    Examples:
      | first                     | then                        | result         |
      | an attempt it rejects     | the same attempt            | its own answer |
      | an attempt to prefill     | the same attempt            | its own answer |
      | an attempt it rejects     | another attempt             | no answer      |
      | a report                  | an order                    | its own answer |
      | an order                  | a report                    | its own answer |
      | an order                  | an order                    | its own answer |
      | a list                    | a report                    | its own answer |
      | a report                  | an attempt without an echo  | no answer      |
      | an attempt without an echo | an attempt without an echo | its own answer |
      | an attempt it rejects     | a report                    | no answer      |

  # What a replica that rests says was not heeded, as its answers named no attempt.
  Scenario: A rejection without an attempt's id is heeded after a call of the node's own
    Given a replica that answers once
    When a node sends it a report and then an attempt it rejects without an echo
    Then the second one is rejected as not run

  Scenario: Requests share a connection where their answers can be told apart
    Given a replica that answers once
    When a node sends it 50 attempts and 10 reports in turn
    Then it has opened 1 connection

  Scenario: A connection is given up before it has to remember too many attempts
    Given a replica that answers once
    When a node sends it 600 attempts and 0 reports in turn
    Then it has opened 2 connections
