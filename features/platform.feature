Feature: The folder for the users' platform only translates

  # ---- its form

  Scenario: its examples hold
    When the examples of the platform's folder are run
    Then there are some and none fails

  Scenario: no name of the platform stands in the product
    Then no header, setting or field of the platform appears under src
    And such a name would be found

  Scenario: it stays small and is no package
    Then the platform's folder has under 1200 lines, no package mark and no module called platform

  # ---- what the operator asks

  Scenario Outline: an invalid configuration is refused with its findings and changes nothing: <kind>
    Given the platform's interface of a simulated core
    When the operator puts a configuration, and then one that is invalid: <kind>
    Then the answer is a 4xx that names "<place>"
    And the configuration in force is the first, as it was sent

    Examples:
      | kind                       | place                              |
      | cut short                  |                                    |
      | not an object              |                                    |
      | no routes at all           | routing_rules                      |
      | unknown service            | routing_rules.r1.backend           |
      | same host and prefix       | r2                                 |
      | weights that add up to 0   | routing_rules.r1.traffic_split     |
      | weight below 0             | routing_rules.r1.traffic_split     |
      | timeout 0                  | routing_rules.r1.timeout_ms        |
      | no timeout                 | routing_rules.r1.timeout_ms        |
      | timeout beyond counting    | routing_rules.r1.timeout_ms        |
      | timeout not a number       |                                    |
      | engine of no numbers       | backends.b1.engine                 |
      | weight beyond counting     | routing_rules.r1.traffic_split     |
      | prefix without slashes     | r1                                 |
      | route of no service        | routing_rules.r1.backend           |
      | no body                    |                                    |
      | not in utf-8               |                                    |
      | a key twice                | revision                           |
      | unknown type               | routing_rules.r1.route_type        |
      | revision not above         | version                            |
      | revision missing           | revision                           |
      | same route name twice      | routing_rules.1.name               |
      | same service name twice    | backends.1.name                    |
      | stale If-Match             |                                    |
      | garbled If-Match           |                                    |
      | odd digit in If-Match      |                                    |

  Scenario Outline: an invalid patch is refused and changes nothing: <kind>
    Given the platform's interface of a simulated core
    When the operator puts a configuration, and then a patch that is invalid: <kind>
    Then the answer is a 4xx that names "<place>"
    And the configuration in force is the first, as it was sent

    Examples:
      | kind                          | place                       |
      | cut short                     |                             |
      | removes a service in use      | routing_rules.r1.backend    |
      | route to an unknown service   | routing_rules.r3.backend    |
      | same host and prefix          | r3                          |
      | revision not above            | version                     |
      | stale If-Match                |                             |
      | items for what is no list     | upserts.limits              |
      | names from what is no list    | removals.limits             |
      | not an object                 |                             |
      | no revision                   | revision                    |
      | same item twice               | upserts.backends.1.name     |
      | removals no object            | removals                    |
      | removals no list              | removals.routing_rules      |
      | item without a name           | upserts.routing_rules.0     |

  Scenario: of two that build on one version, one wins
    Given the platform's interface of a simulated core
    When two operators put different configurations on one version at once, at two cores
    Then one is acknowledged and in force, and the other is 412

  Scenario: the same change sent again is taken once, also after a later one
    Given the platform's interface of a simulated core
    When a change is sent again at another core, and again after a later change
    Then each time it is acknowledged, and the later one stays in force

  Scenario: a patch adds, replaces and removes
    Given the platform's interface of a simulated core
    When a patch adds a route and a service, replaces one and removes one
    Then the configuration read back holds just that
    And the nodes have the routes that it means

  Scenario: a store is emptied
    Given the platform's interface of a simulated core
    When an unknown machine, a store, and at once another are to be retired
    Then the unknown is 404, the store is running, and the other is refused
    And the store is completed once it holds nothing

  Scenario: where a store has lost its disk, the one that lives on the machine now is emptied
    Given the platform's interface of a simulated core
    When a store loses its disk, comes back, and its machine is to be retired
    Then the one that lives there now is emptied, and the machine is completed

  Scenario: what is no order is 404
    Given the platform's interface of a simulated core
    Then other paths and methods are answered 404
