@alone
Feature: Callers within the operators' limits notice no limit of the node

  Limits against misbehaving clients must not meet anybody else: a request of
  any legal size and shape is served in calm, also where its bytes have come
  while the process was not running.

  Background:
    Given a gateway on a small VM, before two replicas

  Scenario Outline: A request with <shape> is served
    When a caller sends a request with <shape>
    Then its answer is the replica's and its body has run unchanged

    Examples:
      | shape                          |
      | the largest body               |
      | a body that takes 4 s          |
      | a body in chunks of one byte   |
      | a head that takes 0.6 s        |
      | 127 short fields               |
      | 129 short fields               |
      | 2000 short fields              |
      | the largest head               |
      | a compressed body              |

  Scenario: A connection is used again after four fifths of its idle time
    When a caller uses a connection again after 2.4 s, three times
    Then its answer is the replica's and its body has run unchanged

  Scenario Outline: The rest of <what> comes while the gateway is frozen
    When the gateway is frozen for 4 s while the rest of <what> comes
    Then its answer is the replica's and its body has run unchanged

    Examples:
      | what             |
      | a head           |
      | a body           |
      | the next request |
