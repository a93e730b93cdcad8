Feature: What gateways tell each other leaves their links to requests

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
