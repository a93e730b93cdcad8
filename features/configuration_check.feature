Feature: A configuration is checked before it is sent

  Scenario Outline: <change> is found
    Given a configuration of gateways with <change>
    When the command checks it
    Then the <level> at <place> says "<text>"
    And no other error is found

    Examples: Gateways don't take it
      | change                            | level | place                           | text                   |
      | routes.0.goalMs="x"               | error | route "seats", goalMs           | Expected `float`       |
      | routes.1.kind="often"             | error | route "lookups", kind           | unknown kind "often"   |
      | routes.1.host absent              | error | route "lookups"                 | missing required field |
      | limits.maxBodyBytes=[]            | error | limits, maxBodyBytes            | Expected `int`         |
      | routes absent                     | error | whole text                      | routes is missing      |
      | tenants.0.apiKeys="k-secret"      | error | account "north-air", apiKeys    | Expected `array`       |
      | services.0.scale.zonePrices.a="x" | error | service "app", scale.zonePrices | Expected `float`       |

    Examples: Something never matches
      | change                         | level   | place                       | text                |
      | routes.1.pathPrefix="/seats/"  | error   | route "lookups"             | route "seats" above |
      | routes.1.pathPrefix="look/"    | error   | route "lookups", pathPrefix | begin with a slash  |
      | routes.1.host="desk:80"        | error   | route "lookups", host       | without a port      |
      | routes.1.service="ap"          | error   | route "lookups", service    | "ap" isn't declared |
      | routes.1.service absent        | error   | route "lookups", service    | has no service      |
      | services.2={"name": "spare"}   | warning | service "spare"             | no route leads to   |
      | tenants.1.apiKeys=[]           | warning | account "east-rail"         | has no key          |
      | tenants.1.apikeys=["k-secret"] | warning | account "east-rail"         | gateways don't read |
      | routes.0.gaolMs=5              | warning | route "seats", gaolMs       | gateways don't read |
      | routes.0.resumable=true        | warning | route "seats", resumable    | only on streaming   |

    Examples: Limits contradict each other
      | change                           | level   | place                           | text                        |
      | routes.0.goalMs=2001             | error   | route "seats", goalMs           | beyond the timeoutMs        |
      | routes.2.gapAimMs=6001           | error   | route "briefs", gapAimMs        | beyond the timeoutMs        |
      | routes.0.timeoutMs="nan"         | error   | route "seats", timeoutMs        | isn't above 0               |
      | routes.1.attempts=7              | warning | route "lookups", attempts       | more than 6 replicas        |
      | routes.1.attempts=0              | error   | route "lookups", attempts       | below 1                     |
      | routes.2.split.0.weight=0        | error   | route "briefs", split           | add up to zero              |
      | routes.2.split.0.weight=-1       | error   | route "briefs", split[0].weight | isn't a number from 0       |
      | services.0.scale.min=4           | error   | service "app", scale.min        | above the max of 3          |
      | tenants.1.apiKeys=["k-secret-1"] | error   | account "east-rail", apiKeys[0] | account "north-air" has the |
      | tenants.1.apiKeys=[""]           | error   | account "east-rail", apiKeys[0] | an empty key                |
      | tenants.1.name="north-air"       | error   | account "north-air", name       | has this name               |
      | tenants.1.name="k-secret-1"      | error   | tenants[1], name                | the name is also a key      |
      | tenants=[]                       | error   | tenants                         | no account has a key        |
      | limits.maxBodyBytes=0            | error   | limits, maxBodyBytes            | isn't above 0               |
      | version=6                        | error   | version                         | version 7 is in force       |

  Scenario Outline: A syntax error has its line and column
    Given the configuration text <text>
    When the command checks it
    Then the only finding is at line <line>, column <column>

    Examples:
      | text                           | line | column |
      | {"version": 1,\n "routes": [}] | 2    | 13     |
      | {"version": 1,\n "routes":     | 2    | 11     |
      | {"ö": 1,\n "ö": [x]            | 2    | 8      |
      | [                              | 1    | 2      |

  Scenario Outline: <change> is a difference
    Given a configuration of gateways with <change>
    When the command checks it
    Then the difference "<text>" is one of <count>

    Examples:
      | change                                      | text                                        | count |
      | version=9                                   | version: 7 -> 9                             | 1     |
      | routes.0.goalMs=150                         | route "seats", goalMs: 200.0 -> 150.0       | 2     |
      | routes.1.name="finds"                       | route "lookups": removed                    | 3     |
      | services.2={"name": "spare"}                | service "spare": added                      | 2     |
      | services.0.scale.max=5                      | service "app", scale.max: 3 -> 5            | 2     |
      | limits.maxBodyBytes=9                       | limits, maxBodyBytes: 4194304 -> 9          | 2     |
      | tenants.0.priority=3                        | account "north-air", priority: null -> 3    | 2     |
      | tenants.0.apiKeys=["k-secret-1","k-secret"] | account "north-air", apiKeys: 1 key added   | 2     |
      | tenants.0.apiKeys=["k-secret-8"]            | account "north-air", apiKeys: 1 key removed | 3     |
      | tenants absent                              | tenants: requests need no key any more      | 4     |
      | limits.maxBodyBytes=4194304                 | version: 7 -> 8                             | 1     |

  Scenario Outline: Keys are not printed when <change>
    Given a configuration of gateways with <change>
    When the command checks it
    Then nothing printed contains a key

    Examples:
      | change                              |
      | tenants.0.apiKeys=["k-secret-9"]    |
      | tenants.0.apiKeys="k-secret-9"      |
      | tenants.0.apiKeys={"k-secret-9": 1} |
      | tenants.0.k-secret-9=1              |
      | tenants.0="k-secret-9"              |
      | tenants.1.name="k-secret-1"         |
      | routes.0.service="k-secret-1"       |
      | routes.0.kind="k-secret-1"          |
      | routes.0.k-secret-1=true            |

  Scenario: The command and gateways agree on made-up configurations
    Then a made-up configuration is invalid exactly if gateways refuse it
    And a route is shadowed exactly if no request matches it

  Scenario: Checking 3,800 accounts and 2,000 routes takes less than a second
    Given a configuration of gateways for 3800 accounts and 2000 routes
    When the command checks it
    Then it took less than 1 s
