Feature: SIGHUP never ends a gateway

  # Until all modules were imported the signal had its default action.
  Scenario: A gateway that gets SIGHUP again and again while it starts becomes ready
    Given a store and two replicas of the service "app"
    When a gateway starts and gets SIGHUP every 20 ms as soon as it runs its own code
    Then SIGHUP is ignored by when a gateway imports its event loop
    And it becomes ready and has not ended

  Scenario: Settings that change while a gateway starts are in force once it is ready
    Given a store and two replicas of the service "app"
    When a gateway starts and gets SIGHUP every 20 ms as soon as it runs its own code
    And its settings change
    Then it reads them again
