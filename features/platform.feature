Feature: The adapter for the users' platform only translates

  # ---- structure

  Scenario: the doctests of the adapter pass
    When the doctests of the platform's folder are run
    Then there are examples and none fails

  Scenario: no name of the platform appears under src
    Then no header, setting or field of the platform appears under src
    And the check finds such a name

  Scenario: the platform's folder stays small and is not a package
    Then the platform's folder has under 1200 lines, no __init__.py and no module called platform

  # Guards against CONFIG: two of four core processes lost their disks, and no configuration could be read or changed
  # ever after, though two losses were to be borne (issue 37).
  Scenario Outline: the deploy file runs enough core processes to bear <losses> losses on core machines <zones>
    Then the deploy file runs at least <voters> core processes where the zones have "<zones>" core machines

    Examples:
      | zones       | losses | voters |
      | 2 2 1       | 1      | 3      |
      | 3 3 3       | 2      | 5      |
      | 3 2 2 2     | 2      | 5      |
      | 2 2 2 2     | 2      | 5      |
      | 2 2 2 2 1   | 2      | 5      |
      | 2 2 2 1 1 1 | 2      | 5      |
      | 2 3         | 2      | 5      |
      | 3 3         | 2      | 5      |
      | 1 1 3       | 2      | 5      |

  # ---- the operator interface

  Scenario Outline: an invalid configuration is refused with its findings and changes nothing: <kind>
    Given the platform's operator interface of a simulated core
    When the operator puts a configuration, and then one that is invalid: <kind>
    Then the answer is a 4xx that names "<place>"
    And the configuration in force is the first, as it was sent

    Examples:
      | kind                        | place                          |
      | cut short                   |                                |
      | not an object               |                                |
      | no list of routes           | routing_rules                  |
      | unknown backend             | routing_rules.r1.backend       |
      | same host and prefix        | r2                             |
      | weights that add up to 0    | routing_rules.r1.traffic_split |
      | weight below 0              | routing_rules.r1.traffic_split |
      | timeout 0                   | routing_rules.r1.timeout_ms    |
      | no timeout                  | routing_rules.r1.timeout_ms    |
      | infinite timeout            | routing_rules.r1.timeout_ms    |
      | timeout is NaN              |                                |
      | engine size is a text       | backends.b1.engine             |
      | infinite weight             | routing_rules.r1.traffic_split |
      | prefix without slashes      | r1                             |
      | route without a backend     | routing_rules.r1.backend       |
      | no body                     |                                |
      | not in UTF-8                |                                |
      | text cut inside a character |                                |
      | key cut inside a character  |                                |
      | surrogate as raw bytes      |                                |
      | nested 201 levels deep      |                                |
      | nested 450 levels deep      |                                |
      | infinite, unknown field     |                                |
      | duplicate key               | revision                       |
      | unknown route type          | routing_rules.r1.route_type    |
      | revision not higher         | version                        |
      | revision missing            | revision                       |
      | duplicate route name        | routing_rules.1.name           |
      | duplicate backend name      | backends.1.name                |
      | stale If-Match              |                                |
      | non-numeric If-Match        |                                |
      | non-ASCII digit in If-Match |                                |
      | 5000 digits in If-Match     |                                |

  Scenario Outline: an invalid patch is refused and changes nothing: <kind>
    Given the platform's operator interface of a simulated core
    When the operator puts a configuration, and then a patch that is invalid: <kind>
    Then the answer is a 4xx that names "<place>"
    And the configuration in force is the first, as it was sent

    Examples:
      | kind                                | place                    |
      | cut short                           |                          |
      | removes a backend in use            | routing_rules.r1.backend |
      | route to an unknown backend         | routing_rules.r3.backend |
      | same host and prefix                | r3                       |
      | revision not higher                 | version                  |
      | stale If-Match                      |                          |
      | upsert to a non-list field          | upserts.limits           |
      | removal from a non-list field       | removals.limits          |
      | not an object                       |                          |
      | no revision                         | revision                 |
      | duplicate item                      | upserts.backends.1.name  |
      | removals is not an object           | removals                 |
      | removals of a section is not a list | removals.routing_rules   |
      | item without a name                 | upserts.routing_rules.0  |
      | text cut inside a character         |                          |
      | nested 450 levels deep              |                          |
      | infinite, unknown field             |                          |

  # Guards against a configuration that every core accepted into its table and none could write or send on.
  Scenario: a configuration with the deepest accepted nesting is served, and survives a restart of all cores
    Given the platform's operator interface of a simulated core
    When the operator puts a configuration nested 200 levels deep, and every core is killed and restarts
    Then the configuration is read back at every core as it was sent

  # Guards against one malformed entry that ends the polls of the list for good.
  Scenario Outline: a malformed entry of the list of instances is left out: <kind>
    Given a platform whose list of instances has one entry more that is malformed: <kind>
    When the list of instances is polled
    Then it holds the well-formed instances, and the malformed one is counted

    Examples:
      | kind                        |
      | no backend                  |
      | no address                  |
      | text cut inside a character |
      | line break in the name      |
      | port out of range           |
      | infinite capacity           |
      | not an object               |

  Scenario Outline: a page that is no list of instances is a fault, not an error: <kind>
    Given a platform whose list of instances is <kind>
    Then polling the list of instances fails with "garbled"

    Examples:
      | kind              |
      | not in UTF-8      |
      | nested too deeply |
      | a list            |
      | without instances |
      | of objects        |
      | with a cut token  |

  Scenario: of two concurrent changes to one version, one is applied
    Given the platform's operator interface of a simulated core
    When two operators change the same version concurrently, at two cores
    Then one is acknowledged and in force, and the other is answered 412

  Scenario: a retried change is applied once, even after a later change
    Given the platform's operator interface of a simulated core
    When a change is retried at another core, and again after a later change
    Then each time it is acknowledged, and the later change stays in force

  Scenario: a patch adds, replaces and removes named items
    Given the platform's operator interface of a simulated core
    When a patch adds a route and a backend, replaces a route and removes one of each
    Then the configuration read back has exactly these changes
    And the nodes have the routes of that configuration

  Scenario: a store is emptied
    Given the platform's operator interface of a simulated core
    When an unknown machine, a store and, immediately after it, another store are retired
    Then the unknown machine is answered 404, the first store is being retired, and the second is refused
    And the retirement is completed once the store holds no partition

  Scenario: after a store has lost its disk, the new store on its machine is emptied
    Given the platform's operator interface of a simulated core
    When a store loses its disk, restarts, and its machine is retired
    Then the new store is emptied, and the retirement of the machine is completed

  Scenario: unknown requests are answered 404
    Given the platform's operator interface of a simulated core
    Then other paths and methods are answered 404
