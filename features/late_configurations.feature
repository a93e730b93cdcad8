Feature: A configuration is in force in time on every gateway in touch with the store

  A version counts as late on a gateway that was in touch for 3 s, 2 s after
  the store confirmed it, whatever happened to connections before that. Whole
  gateways run under virtual time before a store.

  Scenario Outline: A read of the store waits on a connection that has gone silent: <nodes> gateways, <trouble>
    Then in each of <plays> plays no version is late on any of <nodes> gateways with <trouble>

    Examples:
      | nodes | trouble                               | plays |
      | 6     | all connections to the store silent   | 6     |
      | 6     | half the connections silent           | 6     |
      | 6     | a third turned away by the store      | 6     |
      | 9     | one connection in four silent         | 4     |
      | 40    | all connections to the store silent   | 2     |
      | 40    | half the connections silent           | 2     |
      | 40    | a third turned away by the store      | 2     |
      | 40    | gateways that are killed              | 2     |
      | 195   | all connections to the store silent   | 1     |
