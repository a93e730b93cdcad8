@alone
Feature: A gateway bears crowds of clients that misbehave

  Processes have run out of memory and of descriptors, and event loops have
  stood still, through bodies that stop short, unpack to many times their
  size or come in tiny chunks, through heads that don't end, and through
  connections that nobody uses. Each crowd stays while an ordinary caller
  calls. The bounds are those of the VM.

  Background:
    Given a gateway on a small VM, before two replicas

  Scenario Outline: A crowd of <crowd> at <place>
    When a crowd of "<crowd>" comes to "<place>"
    Then an ordinary caller is served
    And the gateway says that it is ready
    And the gateway lives within its memory and descriptors

    Examples:
      | crowd               | place    |
      | stopped bodies      | a route  |
      | stopped bodies      | no route |
      | stopped bodies      | ready    |
      | stopped bodies      | peers    |
      | stopped bodies      | metrics  |
      | trickled bodies     | a route  |
      | trickled bodies     | no route |
      | trickled bodies     | ready    |
      | trickled bodies     | peers    |
      | trickled bodies     | metrics  |
      | chunked bodies      | a route  |
      | chunked bodies      | no route |
      | chunked bodies      | ready    |
      | chunked bodies      | peers    |
      | chunked bodies      | metrics  |
      | tiny chunks         | a route  |
      | tiny chunks         | no route |
      | tiny chunks         | ready    |
      | tiny chunks         | peers    |
      | tiny chunks         | metrics  |
      | compressed bodies   | a route  |
      | compressed bodies   | no route |
      | compressed bodies   | ready    |
      | compressed bodies   | peers    |
      | compressed bodies   | metrics  |
      | unpacking bodies    | a route  |
      | unpacking bodies    | no route |
      | unpacking bodies    | ready    |
      | unpacking bodies    | peers    |
      | unpacking bodies    | metrics  |
      | bodies behind a GET | a route  |
      | bodies behind a GET | no route |
      | bodies behind a GET | ready    |
      | bodies behind a GET | peers    |
      | bodies behind a GET | metrics  |
      | oversized bodies    | a route  |
      | oversized bodies    | no route |
      | oversized bodies    | ready    |
      | oversized bodies    | peers    |
      | oversized bodies    | metrics  |
      | endless heads       | a route  |
      | endless heads       | no route |
      | endless heads       | ready    |
      | endless heads       | peers    |
      | endless heads       | metrics  |
      | half heads          | a route  |
      | half heads          | no route |
      | half heads          | ready    |
      | half heads          | peers    |
      | half heads          | metrics  |
      | silent connections  | a route  |
      | silent connections  | no route |
      | silent connections  | ready    |
      | silent connections  | peers    |
      | silent connections  | metrics  |
      | many fields         | a route  |
      | many fields         | no route |
      | many fields         | ready    |
      | many fields         | peers    |
      | many fields         | metrics  |
      | requests ahead      | a route  |
      | requests ahead      | no route |
      | requests ahead      | ready    |
      | requests ahead      | peers    |
      | requests ahead      | metrics  |
      | unfinished fields   | a route  |
      | unfinished fields   | no route |
      | unfinished fields   | ready    |
      | unfinished fields   | peers    |
      | unfinished fields   | metrics  |

  Scenario: A crowd of whole bodies before slow replicas
    Given replicas that take 1.5 s for each request
    When a crowd of "whole bodies" comes to "a route"
    And the crowd has gone
    And replicas answer as before
    Then an ordinary caller is served
    And the gateway says that it is ready
    And the gateway lives within its memory and descriptors

  Scenario: A crowd that doesn't read long answers
    Given replicas whose answers have 2048 KiB
    When a crowd of "unread answers" comes to "a route"
    And replicas answer as before
    Then an ordinary caller is served
    And the gateway says that it is ready
    And the gateway lives within its memory and descriptors

  # The next bytes were read from a replica while the caller had not taken the last ones.
  Scenario Outline: A crowd that doesn't read what engines pour without end: <what> at <place>
    Given a gateway on a small VM with 1024 descriptors
    And engines that pour <what> without end
    When a crowd of "unread streams" comes to "<place>"
    Then an ordinary caller is served
    And the gateway says that it is ready
    And the gateway lives within its memory and descriptors

    Examples:
      | what      | place             |
      | events    | a stream route    |
      | events    | a resumable route |
      | one event | a stream route    |
      | one event | a resumable route |

  Scenario Outline: Unfinished fields at <place> of a VM with many descriptors
    Given a gateway on a small VM with 1024 descriptors
    When a crowd of "unfinished fields" comes to "<place>"
    Then an ordinary caller is served
    And the gateway lives within its memory and descriptors

    Examples:
      | place   |
      | a route |
      | ready   |
      | peers   |
      | metrics |

  Scenario: Several crowds at once
    When a crowd of "stopped bodies" comes to "a route"
    And a crowd of "half heads" comes to "ready"
    And a crowd of "chunked bodies" comes to "peers"
    And a crowd of "unpacking bodies" comes to "metrics"
    And a crowd of "tiny chunks" comes to "no route"
    Then an ordinary caller is served
    And the gateway says that it is ready
    And the gateway lives within its memory and descriptors

  Scenario Outline: A crowd of <crowd> at the holder of the authority
    Given the gateway holds the authority
    When a crowd of "<crowd>" comes to "<place>"
    Then an ordinary caller is served
    And the gateway has kept the authority
    And the gateway lives within its memory and descriptors

    Examples:
      | crowd              | place   |
      | unpacking bodies   | ready   |
      | tiny chunks        | a route |
      | silent connections | peers   |

  Scenario: A crowd while the gateway stops
    When a crowd of "stopped bodies" comes to "a route"
    Then the gateway lives within its memory and descriptors
    And the gateway ends by itself once it is told to stop
