Feature: A part of prompts that crashes the replicas that run it is stopped

  Whole gateways run under virtual time. Requests that share one part, no two of
  them alike, crash each engine that begins to answer them. Sound requests share
  their route, first part and subjects.

  Scenario Outline: Requests with a part that crashes replicas reach none after it is known: <nodes> gateways, <culprits> at <rate> a second, place <place>, <trouble>
    Then in each of <plays> plays <culprits> crashing parts at <rate> a second and place <place> are stopped before <nodes> gateways with <trouble>, and sound requests are served

    Examples:
      | nodes | culprits | rate | place | trouble                          | plays |
      | 6     | 1        | 0.3  | 1     | no other trouble                 | 1     |
      | 6     | 1        | 1.0  | 2     | no other trouble                 | 1     |
      | 6     | 1        | 3.0  | 1     | no other trouble                 | 1     |
      | 6     | 1        | 10.0 | 1     | no other trouble                 | 1     |
      | 6     | 1        | 3.0  | 0     | no other trouble                 | 1     |
      | 6     | 3        | 1.0  | 1     | no other trouble                 | 1     |
      | 6     | 1        | 3.0  | 1     | output before each crash         | 1     |
      | 9     | 1        | 3.0  | 1     | replicas that are killed         | 1     |
      | 9     | 1        | 1.0  | 1     | data centres that are lost       | 1     |
      | 9     | 1        | 3.0  | 1     | lost datagrams                   | 1     |
      | 9     | 1        | 3.0  | 1     | gateways that are killed         | 1     |
      | 9     | 1        | 3.0  | 1     | all gateways started again       | 1     |
      | 9     | 1        | 3.0  | 1     | a store that is silent           | 1     |
      | 6     | 1        | 3.0  | 1     | a pause of half a minute         | 1     |
      | 40    | 1        | 3.0  | 1     | no other trouble                 | 1     |

  Scenario Outline: No part is refused for replicas that end by themselves: <nodes> gateways, <trouble>
    Then in each of <plays> plays before <nodes> gateways with <trouble> none is refused for its parts

    Examples:
      | nodes | trouble                          | plays |
      | 6     | replicas that are killed         | 2     |
      | 9     | data centres that are lost       | 2     |
      | 9     | replicas that are killed often   | 1     |
      | 9     | all gateways started again       | 1     |
