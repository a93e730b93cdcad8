Feature: Who left while the store could not be reached gets no more work

  Whole gateways run under virtual time before a store, in one process.

  A gateway that lost the store alone took that for an outage of the store, in
  which entries of running replicas lapse. It kept sending to a replica that had
  left until 3 s after its own path was back, though all other gateways had
  dropped it. Starting gateways divided the retry budget by the nodes that they
  had received messages from, which is too few, and together exceeded it.

  Scenario Outline: A replica leaves while <cut> of <nodes> gateways do not reach the store, 20 times
    Then in each of 20 plays none of <nodes> gateways in <data_centres> data centres uses it once <cut> were cut off and are in touch again

    Examples:
      | cut | nodes | data_centres |
      | 3   | 9     | 3            |
      | 9   | 9     | 3            |
      | 1   | 1     | 1            |
      | 20  | 20    | 2            |

  Scenario: A gateway that does not reach the store learns from the others who leaves, and of a new configuration
    Then in each of 20 plays none of 9 gateways in 3 data centres uses it 2 seconds after its entry went, 3 cut off

  Scenario: A gateway process that is partitioned from the store is told by the others
    Given a store and two replicas of the service "app"
    And three gateways, each with a way of its own to the store
    When one of them is partitioned from the store until it notices
    And the entry of app-1 goes and a new configuration comes
    Then all three know both

  Scenario: A relay that does not reach the store makes nobody believe in who left
    Then in each of 10 plays none of 20 gateways in 2 data centres uses it 2 seconds after its entry went, the relay cut off

  Scenario: A data centre that does not reach the store learns from another who leaves
    Then in each of 5 plays none of 20 gateways in 2 data centres uses it 2 seconds after its entry went, the first data centre cut off

  Scenario Outline: All entries lapse while the store is away, and none is missed: <nodes> gateways
    Then in each of <plays> plays all of <nodes> gateways in <data_centres> data centres use all replicas while the store is away and their entries come back

    Examples:
      | nodes | data_centres | plays |
      | 9     | 3            | 20    |
      | 20    | 2            | 10    |

  Scenario Outline: Gateways that start share the budget of repeats before they know each other: <nodes> nodes
    Then in each of <plays> plays <nodes> gateways in <data_centres> data centres that <start> take no more repeats than the site has

    Examples:
      | nodes | data_centres | plays | start                              |
      | 9     | 3            | 5     | start                              |
      | 9     | 3            | 5     | start again at once                |
      | 9     | 3            | 5     | start with a store that is silent  |
      | 9     | 3            | 5     | do not hear each other             |
      | 40    | 2            | 2     | start                              |
      | 40    | 2            | 2     | start again at once                |
      | 40    | 2            | 2     | do not hear each other             |
      | 9     | 3            | 2     | do not hear each other for long    |
      | 20    | 2            | 1     | do not hear each other for long    |
      | 9     | 3            | 2     | are cut off from all               |
      | 20    | 2            | 1     | are cut off from all               |

  Scenario Outline: A gateway that lives keeps its entry, and one that died loses it: <nodes> nodes
    Gateways that were partitioned from each other, but reached the store,
    removed each other's entries after 30 s of silence and divided the retry
    budget by too few nodes. An entry is now marked as suspected first, and its
    node renews it if it runs.

    Then in each of <plays> plays <nodes> gateways in <data_centres> data centres that do not hear each other for long are all entered, and the dead are not

    Examples:
      | nodes | data_centres | plays |
      | 9     | 3            | 2     |
      | 20    | 2            | 1     |
