Feature: Gateways order engines' roles one at a time and notice silent engines

  Scenario: The split of engines is ordered once, under a token, by one gateway
    Given a store and six engines of which four generate
    And two ready gateways
    Then in the end one engine generates and five read prompts
    And every order bears a token, the earlier orders and one holder

  Scenario: An engine gets no request while it changes its role, however long that takes
    Given a store and six engines of which four generate, whose change takes 4 seconds
    And two ready gateways
    When callers ask for streams until one engine generates
    Then no engine got a request while it changed its role

  Scenario: A frozen holder that wakes gives no order under its old token
    Given a store and six engines of which four generate
    And two ready gateways
    And in the end one engine generates and five read prompts
    When the holder is frozen until the other may give orders, and the generating engine goes silent
    And the holder wakes
    Then no engine got a lower token after a higher one

  Scenario: The engine that generates goes silent and another one takes over
    Given a store and six engines of which four generate
    And two ready gateways
    And in the end one engine generates and five read prompts
    When the generating engine goes silent under a request
    Then another engine generates in the end
    And a caller that came meanwhile was served or told when to come back

  Scenario: The engine that generates crashes, its entry stays and another one takes over
    Given a store and six engines of which four generate
    And two ready gateways
    And in the end one engine generates and five read prompts
    When the generating engine is killed under requests
    Then another engine generates in the end
    And a caller that came meanwhile was served or told when to come back

  Scenario: After all gateways died new ones serve from the store alone
    Given a store and six engines of which four generate
    And two ready gateways
    And in the end one engine generates and five read prompts
    When all gateways are killed and started again
    Then callers of streams and plain calls are served

  Scenario: An order whose answer is lost is not given twice
    Given a store and six engines of which four generate
    And each engine loses the answer to its next order
    And two ready gateways
    Then in the end one engine generates and five read prompts
    And no engine carried out more than one order
