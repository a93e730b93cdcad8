@decisions
Feature: The decisions on the real path

  Scenario: A prompt is processed by one engine and the answer decoded by another
    Given a node before an engine for prefill and one for decoding
    When a caller asks it for a long streamed answer
    Then the answer is whole and exact
    And the decoding engine took the KV cache over from the other

  Scenario: A prefill engine that fails costs no answer
    Given a node before an engine for prefill and one for decoding
    And the engine for prefill refuses to export
    When a caller asks it for a long streamed answer
    Then the answer is whole and exact

  Scenario: A caller beyond what its account may use is refused, with the time
    Given a node before an engine for prefill and one for decoding
    And the account may use 20 tokens a second
    When the caller sends 12 requests one after the other
    Then some are whole and the rest refused as not run, with when to come back

  Scenario: The lease's holder orders a role change where the mix pays for it
    Given a planning node before two slow mixed engines
    When callers keep asking for more prompt tokens than both can process
    Then one engine alone is ordered into the prefill role
