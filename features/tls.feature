Feature: Callers, operators and peers are met with TLS where settings say so

  Scenario: Nodes with certificates of one authority serve over TLS
    Given 2 nodes with TLS for callers, operators and peers
    Then the nodes hear of each other over TLS
    And a caller that trusts the authority is answered over TLS
    And a caller that speaks plain HTTP is not answered
    And a stranger without a certificate gets no nonce from a node
