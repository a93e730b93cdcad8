Feature: A stream goes on only at the software version that began it

  Replicas of several versions serve side by side. What two versions write does
  not fit together, whether a gateway resumes the stream within its answer or its
  caller takes it up, at any gateway, with the id of the attempt that began it.
  Whole gateways run under virtual time before engines that are released by turns.

  Scenario Outline: Streams that break off are never joined across versions: <nodes> gateways, <trouble>
    Then in each of <plays> plays of a release before <nodes> gateways with <trouble> no stream has events of two versions

    Examples:
      | nodes | trouble                              | plays |
      | 6     | engines that crash                   | 2     |
      | 6     | callers whose connections are reset  | 2     |
      | 6     | gateways that are killed             | 2     |
      | 6     | gateways that are cut from the store | 2     |
      | 6     | gateways that do not hear others     | 2     |
      | 6     | gateways that reach no replica       | 2     |
      | 9     | a data centre that loses power       | 1     |
      | 40    | gateways that are killed             | 1     |
      | 6     | gateways that reach no replica of a version | 2 |

  Scenario Outline: Streams that break off go on about as often as new ones begin: <nodes> gateways, <trouble>
    Then in each of <plays> plays of a release before <nodes> gateways with <trouble> callers take up streams at least half as often as new ones begin

    Examples:
      | nodes | trouble                              | plays |
      | 6     | callers whose connections are reset  | 2     |
      | 6     | gateways that are killed             | 2     |
      | 6     | gateways that reach no replica       | 2     |
      | 9     | a data centre that loses power       | 1     |
      | 40    | callers whose connections are reset  | 1     |
      | 40    | gateways that are killed             | 1     |
      | 40    | a data centre that loses power       | 1     |
      | 6     | gateways that reach no replica of a version | 2 |

  Scenario: Real gateways: a stream that breaks off within an answer is resumed at its version
    Given two gateways before engines of two versions
    When one engine of each version breaks off its next 1 streams and callers read 8 streams at the first gateway
    Then 8 callers have whole streams, each of one version

  Scenario Outline: Real gateways: a stream that its caller takes up elsewhere goes on at its version: <what>
    Given two gateways before engines of two versions
    When callers read the begins of 8 streams at the first gateway and <what>
    Then 8 callers go on at the second gateway, each at the version that began

    Examples:
      | what                            |
      | their connections are reset     |
      | the first gateway is killed     |
      | the first gateway is told to stop |

  Scenario Outline: Decode engines of a version come in pairs: <decoding>, <wanted> wanted
    When <wanted> decode engines are wanted where "<decoding>" decode and "<reading>" prefill
    Then the versions of the decode engines are "<versions>"

    Examples:
      | decoding     | reading     | wanted | versions       |
      | v1           | v2, v1      | 2      | v1, v1         |
      | v1, v1, v2   | v1          | 2      | v1, v1         |
      | v1, v2       | v2, v3      | 3      | v1, v2, v2     |
      | v1, v1, v1, v2, v2 | v3    | 4      | v1, v1, v2, v2 |
      | v1, v1       | v1, v1      | 3      | v1, v1, v1     |

  Scenario: New streams go to a version of which two engines decode unless they are fuller
    Given decode engines of the versions "v1, v2, v2"
    Then new streams go to v2 while its engines are at most 0.2 fuller than that of v1
    And new streams go to v1 once the engines of v2 are 0.4 fuller
