Feature: Messages between gateways leave bandwidth for requests

  A small VM has a link of 10 Mbit/s. Whole gateways run under virtual time
  behind such links, before engines and plain replicas; a request waits at its
  gateway's link behind all that was sent before, and arrives though its caller
  has left.

  Scenario Outline: Requests wait behind news that relays send to all others, until their callers have left: <nodes> gateways, <trouble>
    Then in <plays> plays of <nodes> gateways with <trouble> no request reaches a replica after its caller has left, and none sends others more than half of its link

    Examples:
      | nodes | trouble                                     | plays |
      | 6     | many requests and answers that are reset    | 1     |
      | 72    | many requests and answers that are reset    | 1     |
      | 72    | replicas that are killed                    | 1     |
      | 72    | no other trouble                            | 1     |

  Scenario: A node with a small link relays for dozens where others have large ones
    Then in at least 90 of 100 data centres of 25 nodes with 10 Mbit/s and 2 with 200 one of the two comes first

  Scenario: A summary names the prompts that others gain most by, as far as the link bears it
    Given a relay of 25 nodes behind a link of 10 Mbit/s
    When 200 prompts of 40 shared tokens and 10 of 12000 come between two summaries
    Then the summary names the 10 and at most 150 others, and the link's debt is below 20 milliseconds
