Feature: Requests run only for the client account that holds their key

  A configuration may list client accounts with their keys. The key decides the
  account, stays at the gateway, and is looked up in the configuration in force.

  Rule: At a gateway before real replicas

    Background:
      Given a store and two replicas of the service "app"
      And three engines that read prompts and one that generates
      And a ready gateway
      And the accounts "north-air" with the key "k-north", of urgency 0, and "south-air" with the key "k-south"

    Scenario: A key is passed on to a replica, or the account that a caller names itself
      When a caller with the key "k-north" that names the account "south-air" posts to "/seats/7"
      Then the caller gets the whole sealed answer to its own attempt
      And all that replicas got of it names the account "north-air" and no key

    Scenario: A key is passed on with the second step of a prompt
      When a caller with the key "k-south" asks "/briefs/1" for a stream
      Then the caller gets all events of one engine in order
      And all that replicas got of it names the account "south-air" and no key

    Scenario: A key is passed on when a stream goes on at another engine
      Given a second engine generates
      And the next stream breaks off in the middle of an event
      When a caller with the key "k-south" asks "/swaps/1" for a stream
      Then the stream ran on two engines
      And all that replicas got of it names the account "south-air" and no key

    Scenario Outline: A request without a valid key runs: <key>
      When a caller with the key "<key>" posts to "/seats/7"
      Then the caller gets 401 and the attempt has run nowhere

      Examples:
        | key     |
        | k-other |
        | none    |

    Scenario: A key runs on after it was withdrawn, and the next one is refused
      When the key of "north-air" is replaced by "k-new"
      And a caller with the key "k-north" posts to "/seats/7"
      Then the caller gets 401 and the attempt has run nowhere
      When a caller with the key "k-new" posts to "/seats/7"
      Then the caller gets the whole sealed answer to its own attempt

    Scenario: A public route asks for a key
      Given the route "seats" is public
      When a caller with the key "none" posts to "/seats/7"
      Then the caller gets the whole sealed answer to its own attempt

    Scenario: The route's urgency is used where the account has one
      When a caller with the key "k-north" asks "/briefs/1" for a stream
      Then its stream was generated with urgency 0

    Scenario: A key is written to a log or shown in metrics
      When a caller with the key "k-north" posts to "/seats/7"
      And a caller with the key "k-other" posts to "/seats/7"
      And the key of "north-air" is replaced by "k-new"
      Then neither logs nor metrics show "k-north", "k-other" or "k-new"
      And the refusal is logged with the key's fingerprint and the version

  Rule: At a gateway that may lack the newest configuration

    Scenario Outline: A key is refused for good though its version may be missing: <state>
      Given a gateway in virtual time with the key "k-old", which <state>
      When a request with the key "<key>" comes, and after 0.2 s <later>
      Then the request is <end>

      Examples:
        | state                                     | key   | later                                    | end                     |
        | has the newest version                    | k-new | nothing happens                          | refused for good        |
        | has the newest version                    | k-old | nothing happens                          | admitted                |
        | was told of a newer version               | k-new | the version with the key "k-new" comes   | admitted                |
        | was told of a newer version               | k-old | the version with the key "k-new" comes   | admitted                |
        | was told of a newer version               | k-bad | the version with the key "k-new" comes   | refused for good        |
        | was told of a newer version               | k-new | nothing happens                          | to be sent elsewhere    |
        | cannot reach the store                    | k-new | nothing happens                          | to be sent elsewhere    |
        | cannot reach the store                    | k-old | nothing happens                          | admitted                |
        | is strict and has missed 6 s of changes   | k-old | nothing happens                          | to be sent elsewhere    |

    Scenario: A flood of unknown keys becomes a flood of reads
      Given a gateway in virtual time with the key "k-old", which was told of a newer version
      When 2000 requests with unknown keys come
      Then the store is not called for them, and none is held for more than 0.5 s
