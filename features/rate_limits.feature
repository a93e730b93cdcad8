Feature: All gateways together keep to the rate limit that a replica names

  A replica in need names in its answers the requests a second that it takes from all
  gateways. Whole gateways run under virtual time before replicas that do.

  Scenario Outline: A replica gets more than the limit that it names: <limited> at <rate>, <nodes> gateways, <trouble>
    Then <limited> that name a limit of <rate> a second get no more from <nodes> gateways while <trouble>

    Examples:
      | nodes | limited             | rate | trouble                       |
      | 6     | 1 decode engine     | 4.7  | nothing else happens          |
      | 6     | 1 prefill engine    | 3.5  | nothing else happens          |
      | 6     | 2 plain replicas    | 0.5  | nothing else happens          |
      | 6     | 4 decode engines    | 4.7  | nothing else happens          |
      | 9     | 4 plain replicas    | 3.5  | nothing else happens          |
      | 6     | 1 decode engine     | 4.7  | gateways start again          |
      | 9     | 1 plain replica     | 3.5  | gateways reach other replicas |
      | 20    | 1 decode engine     | 4.7  | nothing else happens          |
      | 40    | 4 plain replicas    | 3.5  | nothing else happens          |
      | 20    | 4 plain replicas    | 3.5  | gateways are divided          |

  Scenario Outline: Callers are refused while a limit is left unused: <limited> at <rate>, callers reach <spread> of <nodes> gateways
    Then at least half of the limit of <limited> at <rate> a second is used by <nodes> gateways of which callers reach <spread>

    Examples:
      | nodes | spread | limited          | rate |
      | 6     | 6      | 4 plain replicas | 3.5  |
      | 6     | 1      | 4 plain replicas | 3.5  |
      | 40    | 2      | 4 plain replicas | 3.5  |

  Scenario: A replica whose limit has ended is used as before
    Then 1 decode engine that named a limit of 1 a second before 6 gateways gets as many requests as others once it names none

  Scenario Outline: A limit that cannot be read changes nothing: <value>
    Then after a limit of 4.7 an answer that names "<value>" leaves 4.7

    Examples:
      | value           |
      | -1              |
      | nan             |
      | 1e3             |
      | 1,5             |
      | inf             |
      | ٣               |
      | 99999999999     |

  Scenario: What a replica said last counts, whatever arrives last
    Then a limit of 3 named in answer to a newer request outlasts one of 9 and none in answer to older ones

  Scenario: Callers wait in vain where all engines limit their requests
    Then of the requests that 4 decode engines at a limit of 1 a second before 6 gateways leave no room for 95 in 100 are refused within 0.5 seconds
