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

  Scenario Outline: A replica that leaves behind silent connections is used on: <nodes> gateways, <trouble>
    Then in each of <plays> plays none of <nodes> gateways uses a replica that has left for too long, with <trouble>

    Examples:
      | nodes | trouble                               | plays |
      | 6     | all connections to the store silent   | 4     |
      | 6     | half the connections silent           | 4     |
      | 9     | a third turned away by the store      | 4     |
      | 40    | all connections to the store silent   | 1     |

  Scenario Outline: A silent connection is noticed too late for a contact bound of <contact> seconds
    Then a read of the store that waits behind a pause of 0 to 1.2 seconds is repeated and answered within <contact> seconds of the moment at which its connection falls silent

    Examples:
      | contact |
      | 2       |
      | 3       |
      | 10      |

  Scenario: A read goes over a connection that fell silent while another call had it
    Given a store and two replicas of the service "app"
    And a client of the store behind a proxy of its own that has made 3 calls at once
    When the open connections of that client fall silent
    Then a reader of the client is answered at once

  Scenario: A read waits on though another node has a newer version
    Given a gateway whose read of the configuration has waited on a silent connection for 0.5 s
    When another node announces a newer version, from 0.3 s before on
    Then the read is given up, and the newest records are read on a new connection

  Scenario Outline: A read that the store answers without the records takes them for unwritten: <answer>
    Given a store that answers a read from record 5 with records <first> to <end>, and <given> of them
    Then the read fails, and its topic is read whole

    Examples:
      | answer                                     | first | end | given |
      | the first records were deleted             | 7     | 9   | 2     |
      | the topic ends before the reader's place   | 0     | 3   | 0     |
      | a record was written and is not given      | 0     | 6   | 0     |

  Scenario Outline: A large configuration takes longer over a slow link than the store may take to answer: <link>
    Given a store that sends an answer of 20 parts, one each <gap> s
    When a client that allows 0.4 s of silence reads it
    Then the read <end> within 4 s

    Examples:
      | link                        | gap  | end              |
      | slow, but data keeps coming | 0.08 | gives the answer |
      | silent in the middle        | 9.0  | fails            |

  Scenario: A large configuration that is being received is given up since another node has it
    Given a gateway whose read of the configuration has received data for 0.5 s
    When another node announces a newer version, from 0.3 s before on
    Then the read goes on

