Feature: Settings are checked before a node starts

  Scenario: A wrong value is named with its key and line
    Given a settings file with "port = 70000" in the section "callers"
    When gypsumfold checks the settings
    Then it exits with 78 and names "callers.port" with its line
